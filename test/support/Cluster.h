/// Real processes for tests and benchmarks: a store, upstreams, nodes beside them, and the paid
/// link between two regions, on loopback addresses of their own.
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
  /// Nodes in all; they are dealt out in turn to the zones of both regions.
  int nodes = 4;
  int zonesPerRegion = 2;
  /// Services s0, s1, ...; they are dealt out in turn to the nodes of each zone.
  int services = 2;
  /// Regions are joined by the link's stand-in, not directly.
  bool hasPaidLink = false;
  int64_t upstreamSlots = 6;
  int64_t serviceTimeMs = 1;
  bool startsUpstreams = true;
  /// Settings of each node beside the usual ones, as JSON.
  std::string extraSettings = "{}";
  /// Keys of the nodes and of the operators; empty for none.
  std::string nodeKey = {};
  std::string operatorKey = {};
};

struct CallResult
{
  bool isAnswered = false;
  /// The request may have arrived, the answer did not arrive whole.
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

  /// Starts all processes and waits until every node knows every other.
  void Start();

  /// The same, then submits `FirstNote` through the first node; false unless it is accepted and
  /// comes in force everywhere.
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
  /// Starts a node's process again; its settings name some neighbours as seeds.
  void Restart(int aNode);
  /// Asks for a planned stop.
  void Terminate(int aNode);
  /// Waits for the process to end; its exit code.
  int WaitForExit(int aNode);
  /// The exit code of a process that has ended by now; -1 where a signal ended it.
  std::optional<int> ExitCode(int aNode);

  /// Posts faults to the store's or the link's stand-in.
  void SetStoreFaults(const std::string& aJson);
  void SetLinkFaults(const std::string& aJson);
  void SetUpstreamTraits(int aNode, const std::string& aJson);
  Json StoreStats();
  Json LinkStats();

  /// Submits a note through a node, with a time limit there. A lost answer gives an empty object.
  Json Submit(int aNode, const Json& aNote, Duration aTimeLimit = seconds(10));
  Json StatusOf(int aNode, const std::string& aId);
  Json VersionOf(int aNode);
  std::string MetricsOf(int aNode);
  /// Requests to operators' addresses are signed with this key from now on; none for "".
  void SetOperatorKey(const std::string& aKey) { shape_.operatorKey = aKey; }
  /// Members that a node sees as alive.
  int CountAliveSeenBy(int aNode);
  /// Waits until the note is in force everywhere, as a node sees it.
  bool WaitInForce(int aNode, const std::string& aId, Duration aLimit = seconds(30));

  CallResult Call(int aNode,
                  const std::string& aMethod,
                  const std::string& aPath,
                  const std::string& aCallId = "",
                  const HttpHeaders& aHeaders = {});
  /// Begins a call and does not wait; `aDone` runs during later waits.
  void BeginCall(int aNode,
                 const std::string& aMethod,
                 const std::string& aPath,
                 const std::string& aCallId,
                 std::function<void(const CallResult&)> aDone);
  /// Ids of the calls that the upstream beside a node has begun.
  std::vector<std::string> JournalOf(int aNode);

  /// Calls that the upstream beside a node has seen cancelled.
  int64_t CountCancelledCalls(int aNode);

  /// Runs the loop until the condition holds; false where it does not within the limit.
  bool WaitUntil(const std::function<bool()>& aCondition, Duration aLimit = seconds(30));
  void Wait(Duration aTime);

  /// A first note: the services of the cluster, a route "/s0", "/s1", ... to each.
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
  std::string addressPrefix_;
  std::string folder_;
  std::string build_;
  Loop loop_;
  HttpClient client_;
  pid_t store_ = 0;
  pid_t link_ = 0;
  std::vector<NodeProcesses> nodes_;
};

/// A note that changes the slots of one service.
Json ChangeNote(const std::string& aId, const std::string& aService, int aSlots);

} // namespace dandelion::testing

#endif
