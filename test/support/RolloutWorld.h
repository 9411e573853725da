/// One service in virtual time while a version order runs: upstreams of two versions, their gates,
/// judges, a store, and messages that are lost, repeated and reordered. Load: independent calls at
/// a fixed rate, each to an upstream that is open, chosen evenly; the policies share them 6 to 3
/// to 1.
#ifndef DANDELION_TEST_SUPPORT_ROLLOUT_WORLD_H
#define DANDELION_TEST_SUPPORT_ROLLOUT_WORLD_H

#include "versions/Versions.h"

#include <functional>
#include <memory>
#include <queue>
#include <random>

namespace dandelion::testing {

enum class Fault
{
  None,
  Errors,
  Slow,
  /// Errors from 3 s after the start of the upstream.
  Later,
  /// Errors while more calls run at the upstream than half of the mean after the rollout.
  UnderLoad,
  /// Errors of the second policy only.
  OnePolicy,
};

constexpr Fault kBadFaults[] = { Fault::Errors,
                                 Fault::Slow,
                                 Fault::Later,
                                 Fault::UnderLoad,
                                 Fault::OnePolicy };

struct RolloutWorldSettings
{
  Fault targetFault = Fault::None;
  Fault oldFault = Fault::None;
  int upstreamsPerVersion = 4;
  double callsPerSecond = 80;
  Duration duration = seconds(12);
  size_t judges = 1;
  /// Probability that a message is lost, and that it is delivered twice; delays are up to 80 ms.
  double lossRate = 0;
  double duplicateRate = 0;
  std::optional<Duration> storeDownAt = {};
  std::optional<Duration> restartAt = {};
  uint64_t seed = 1;
};

class RolloutWorld
{
public:
  explicit RolloutWorld(RolloutWorldSettings aSettings);

  /// Runs until some time after the order's deadline.
  void Run();

  /// Checked at every call.
  bool hasExceededExposure = false;
  bool hasExceededRollback = false;
  int64_t serviceCalls = 0;
  int64_t targetCalls = 0;
  int64_t badAnswers = 0;
  /// Calls that found no open upstream while an upstream of either version was running.
  int64_t refusedCalls = 0;
  int64_t storeCalls = 0;
  std::optional<RolloutRecord> record;
  /// When the store got the final stage.
  std::optional<Duration> decidedAt;

private:
  struct Upstream
  {
    std::string id;
    std::string version;
    Fault fault = Fault::None;
    uint64_t incarnation = 1;
    Duration startsAt = Duration::zero();
    bool isUp = false;
    int running = 0;
    VersionGate gate;
    UpstreamCounts counts;
    Duration warmSince = Duration::zero();
  };
  struct Event
  {
    Duration at;
    uint64_t number;
    std::function<void()> run;
    bool operator<(const Event& aOther) const
    {
      return std::tie(aOther.at, aOther.number) < std::tie(at, number);
    }
  };

  TimePoint Now() const { return TimePoint() + seconds(1000) + now_; }
  bool Chance(double aProbability);
  Duration Between(int64_t aMinMs, int64_t aMaxMs);
  void After(Duration aDelay, std::function<void()> aRun);
  void Deliver(const std::function<void()>& aRun);
  bool IsStoreDown() const { return settings_.storeDownAt && now_ >= *settings_.storeDownAt; }
  void StartUpstream(size_t aIndex);
  void StartJudges();
  void RestartAll();
  void SendReports();
  void TickJudges();
  void SendCall();
  void EndCall(size_t aIndex, uint64_t aIncarnation, const std::string& aPolicy, Duration aStart);
  double MeanRunning() const;
  bool Fails(const Upstream& aUpstream, const std::string& aPolicy, int aRunning);
  Duration ServiceTime(const Upstream& aUpstream, const std::string& aPolicy);
  void Execute(size_t aJudge, const RolloutEffects& aEffects);
  void Write(size_t aJudge, const WriteRolloutState& aWrite);

  RolloutWorldSettings settings_;
  RolloutBounds bounds_;
  RolloutOrder order_;
  std::mt19937_64 random_;
  std::priority_queue<Event> events_;
  uint64_t nextNumber_ = 0;
  Duration now_ = Duration::zero();
  std::vector<std::unique_ptr<Upstream>> upstreams_;
  std::vector<std::shared_ptr<RolloutJudge>> judges_;
  int64_t recordRevision_ = 0;
  std::optional<Duration> fiftiethBadAt_;
};

} // namespace dandelion::testing

#endif
