/// Starts a cluster of processes for tests and benchmarks: a store, upstreams, a node for each
/// upstream, and the paid link between two regions, on loopback addresses that no other test uses.
#ifndef DANDELION_TEST_SUPPORT_CLUSTER_H
#define DANDELION_TEST_SUPPORT_CLUSTER_H

#include "wire/Wire.h"

#include <functional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace dandelion::testing {

struct ClusterShape
{
  /// Total number of nodes, assigned round robin to the zones of both regions.
  int nodes = 4;
  int zonesPerRegion = 2;
  /// Number of services s0, s1, ..., assigned round robin to the nodes of each zone.
  int services = 2;
  /// Connects the regions through the simulated link instead of directly.
  bool hasPaidLink = false;
  int64_t upstreamSlots = 6;
  int64_t serviceTimeMs = 1;
  bool startsUpstreams = true;
  /// Settings added to those of every node, as JSON.
  std::string extraSettings = "{}";
  /// Keys of the nodes and of the operators; empty for none.
  std::string nodeKey = {};
  std::string operatorKey = {};
};

struct CallResult
{
  bool isAnswered = false;
  /// The request may have arrived, but no complete answer was received.
  bool isLost = false;
  int status = 0;
  std::string outcome;
  std::string error;
  std::string upstream;
  std::string callId;
  std::string body;
};

class Cluster
{
public:
  explicit Cluster(ClusterShape aShape);
  ~Cluster();
  Cluster(const Cluster&) = delete;
  Cluster& operator=(const Cluster&) = delete;

  /// Settings of each node that replace those of the shape; called before `Start`.
  void SetExtraSettings(std::function<Json(int)> aSettingsOf)
  {
    extraSettingsOf_ = std::move(aSettingsOf);
  }

  /// Starts all processes and waits up to 60 s until every node sees all nodes as alive.
  void Start();

  /// Calls `Start` and submits `FirstNote` through the first node. False unless the note is
  /// accepted and comes in force everywhere.
  bool StartWithFirstNote();

  int Size() const { return shape_.nodes; }
  Endpoint OperatorEndpointOf(int aNode) const { return { IpOf(aNode), 7003 }; }
  Endpoint FrontOf(int aNode) const { return { IpOf(aNode), 7001 }; }
  Endpoint UpstreamOf(int aNode) const { return { IpOf(aNode), 8080 }; }
  std::string IdOf(int aNode) const;
  std::string ServiceOf(int aNode) const;
  std::string RegionOf(int aNode) const;
  pid_t PidOf(int aNode) const { return nodes_[static_cast<size_t>(aNode)].node; }

  void Kill(int aNode);
  void Suspend(int aNode);
  void Resume(int aNode);
  /// Starts a node's process again, with the other nodes of its region as seeds.
  void Restart(int aNode);
  /// Requests a planned stop (SIGTERM).
  void Terminate(int aNode);
  /// Waits up to 60 s for the process to exit and returns its exit code; -1 if a signal ended it or
  /// it still runs.
  int WaitForExit(int aNode);
  /// Returns the exit code if the process has exited; -1 if a signal ended it.
  std::optional<int> ExitCode(int aNode);

  /// Sets the faults of the simulated store or link.
  void SetStoreFaults(const std::string& aJson);
  void SetLinkFaults(const std::string& aJson);
  void SetUpstreamTraits(int aNode, const std::string& aJson);
  Json StoreStats();
  Json LinkStats();

  /// Submits a note through a node, which applies the time limit. Returns an empty object if the
  /// answer is lost.
  Json Submit(int aNode, const Json& aNote, Duration aTimeLimit = seconds(10));
  Json StatusOf(int aNode, const std::string& aId);
  Json VersionOf(int aNode);
  std::string MetricsOf(int aNode);
  /// Signs all further requests to operator endpoints with this key; an empty key disables signing.
  void SetOperatorKey(const std::string& aKey) { shape_.operatorKey = aKey; }
  /// Returns the number of members that a node reports as alive; 0 if the node is not ready.
  int CountAliveSeenBy(int aNode);
  /// Waits until a node reports the note as in force everywhere; false if it does not within
  /// `aLimit`.
  bool WaitInForce(int aNode, const std::string& aId, Duration aLimit = seconds(30));

  CallResult Call(int aNode,
                  const std::string& aMethod,
                  const std::string& aPath,
                  const std::string& aCallId = "",
                  const HttpHeaders& aHeaders = {});
  /// Starts a call without waiting for it; `aDone` runs during a later wait.
  void BeginCall(int aNode,
                 const std::string& aMethod,
                 const std::string& aPath,
                 const std::string& aCallId,
                 std::function<void(const CallResult&)> aDone);
  /// Returns the IDs of the calls that a node's upstream has started.
  std::vector<std::string> JournalOf(int aNode);

  /// Returns the number of calls that were cancelled at a node's upstream.
  int64_t CountCancelledCalls(int aNode);

  /// The loop that waits run, for servers of the test itself.
  Loop& EventLoop() { return loop_; }
  /// Runs the loop until the condition holds; false if it does not within `aLimit`.
  bool WaitUntil(const std::function<bool()>& aCondition, Duration aLimit = seconds(30));
  void Wait(Duration aTime);

  /// Returns a note that adds the services of the cluster, with a route "/s0", "/s1", ... to each.
  Json FirstNote() const;

private:
  struct NodeProcesses
  {
    pid_t node = 0;
    pid_t upstream = 0;
  };

  std::string IpOf(int aNode) const;

  std::string ZoneOf(int aNode) const;
  std::string StoreIpFor(int aNode) const;
  void WriteSettings(int aNode, bool aHasSeeds);
  void StartNode(int aNode);
  void StartLink();
  pid_t Spawn(const std::string& aName, std::vector<std::string> aArguments);
  HttpResult Send(const Endpoint& aServer, const HttpRequest& aRequest, Duration aLimit);
  Json SendForJson(const Endpoint& aServer, const HttpRequest& aRequest, Duration aLimit);
  static void KillAndReap(pid_t& aPid, int aSignal);

  ClusterShape shape_;
  std::function<Json(int)> extraSettingsOf_;
  std::string addressPrefix_;
  std::string folder_;
  std::string build_;
  Loop loop_;
  HttpClient client_;
  pid_t store_ = 0;
  pid_t link_ = 0;
  std::vector<NodeProcesses> nodes_;
};

/// Returns a note that changes the slots of one service.
Json ChangeNote(const std::string& aId, const std::string& aService, int aSlots);

} // namespace dandelion::testing

#endif
