/// Fault soak: runs a cluster of processes under a seeded schedule of faults and checks what
/// callers and upstreams observe.
#ifndef DANDELION_TEST_SUPPORT_SOAK_H
#define DANDELION_TEST_SUPPORT_SOAK_H

#include "support/Cluster.h"

#include <map>
#include <random>
#include <set>

namespace dandelion::testing {

struct SoakPlan
{
  uint64_t seed = 1;
  int nodes = 6;
  /// Faults are injected during this time; then all faults are cleared.
  Duration duration = seconds(8);
};

class Soak
{
public:
  explicit Soak(const SoakPlan& aPlan);

  /// Runs the schedule. Returns one line for each violated invariant, followed by the injected
  /// faults; empty if no invariant was violated.
  std::vector<std::string> Run();

private:
  enum class Fault
  {
    KillNode,
    SuspendNode,
    StopNode,
    StoreDown,
    StoreSlow,
    StoreLosesAnswers,
    CutLink,
    StallLink,
    SlowUpstream,
    ChangeConfiguration,
  };
  /// State of the process of one node.
  struct NodeState
  {
    bool isDown = false;
    bool isSuspended = false;
    bool isStopping = false;
    /// The newest version that this process has reported.
    int64_t version = 0;
  };
  struct SentCall
  {
    int front = 0;
    bool isIdempotent = false;
    /// The front's process was killed or suspended during the call, so a lost connection is no
    /// violation.
    bool mayBeLost = false;
    bool isDone = false;
    CallResult result;
  };

  void BeginCalls(int aFront);
  void SendNext(int aFront, bool aIsIdempotent);
  void Inject(Fault aFault);
  void Stop(int aNode);
  void ReapStopped();
  void Recover(int aNode);
  void AllowLostCalls(int aNode);
  void ClearFaults();
  void CheckVersions();
  void CheckCalls();
  void CheckService();
  int RandomNode() { return static_cast<int>(random_() % static_cast<uint64_t>(plan_.nodes)); }
  void ReportViolation(const std::string& aText) { violations_.push_back(aText); }

  SoakPlan plan_;
  std::mt19937_64 random_;
  Cluster cluster_;
  std::vector<NodeState> nodeStates_;
  std::map<std::string, SentCall> sent_;
  bool isFinished_ = false;
  int nextCall_ = 0;
  int nextNote_ = 0;
  std::vector<std::string> violations_;
  std::vector<std::string> schedule_;
};

} // namespace dandelion::testing

#endif
