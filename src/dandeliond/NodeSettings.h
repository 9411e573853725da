/// Settings of a node, read from JSON with comments. All of them are validated before the start.
#ifndef DANDELION_DANDELIOND_NODE_SETTINGS_H
#define DANDELION_DANDELIOND_NODE_SETTINGS_H

#include "admission/Admission.h"
#include "wire/Wire.h"

#include <string>
#include <vector>

namespace dandelion {

/// Whether calls of all traffic classes share one link to a peer.
enum class LanesName
{
  One,
  /// Bulk and background calls have a link of their own, and large messages are sent in fragments.
  ByClass,
};

template<>
struct EnumNames<LanesName>
{
  static constexpr EnumName<LanesName> kTable[] = {
    { LanesName::One, "one" },
    { LanesName::ByClass, "by-class" },
  };
};

/// Where a node runs. Selects the protocol of the store, the source of configurations, the headers
/// of calls, and how upstreams and the readiness check communicate with the node.
enum class EnvironmentName
{
  /// Configurations are release notes in a log in an etcd store.
  Standalone,
  /// Whole configurations are read from the platform's store; upstreams report their own state.
  Platform,
};

template<>
struct EnumNames<EnvironmentName>
{
  static constexpr EnumName<EnvironmentName> kTable[] = {
    { EnvironmentName::Standalone, "standalone" },
    { EnvironmentName::Platform, "platform" },
  };
};

/// Limits of the retries that may be added to the calls of a service: by all nodes together on the
/// platform, by each node elsewhere.
struct RetrySettings
{
  /// Retries as a share of the calls.
  double ratio = 0.1;
  /// Retries in a row beyond that share.
  double burst = 10;
};

constexpr int64_t kMaxMemoryMb = 1024 * 1024;
constexpr int64_t kMaxDescriptors = 1024 * 1024;

/// Capacity of the machine that the node runs on.
struct MachineSettings
{
  /// Processor time as a share of one core.
  double cpuShare = 1;
  double linkMbps = 1000;
  /// Memory of the machine in MiB and its limit of open descriptors; 0 sets no limit here.
  int64_t memoryMb = 0;
  int64_t maxFds = 0;
};

/// Bounds of the calls that a bad version of an upstream may get while it is rolled out.
struct RolloutSettings
{
  /// Share of the calls of the service until the deadline, and calls beyond that share.
  double exposeShare = 0.1;
  double exposeSlack = 50;
  /// Time from the 50th bad answer until no call is sent to the version any more.
  double rollbackMs = 5000;
};

/// How the quotas of client accounts are enforced.
struct CapSettings
{
  /// A cap limits the calls in any window of this length. It is the reference for the tolerance;
  /// the caps themselves are enforced continuously.
  double windowS = 5;
  /// Calls beyond the cap in a window: as a share of the cap, and a number.
  double overage = 0.1;
  double slack = 20;
};

/// When calls may leave their zone. Without these settings they go to the earliest expected finish,
/// wherever that is.
struct ZoneSharingSettings
{
  /// How long a call may be expected to wait locally before it may leave the zone, or the region.
  int64_t zoneWaitMs = 20;
  int64_t regionWaitMs = 60;
  /// Kilobytes of answers that one node's calls may send between regions in a second.
  int64_t regionKbPerS = 250;
};

struct StoreSettings
{
  std::vector<Endpoint> servers;
  /// The region of the store; empty if unknown.
  std::string region;
  int64_t timeoutMs = 1000;
};

/// Shared keys that authenticate messages and requests. To replace a key, append the new one to the
/// list of every node, then move it to the front everywhere, then remove the old one.
struct KeySettings
{
  /// Authenticate messages between nodes.
  std::vector<std::string> nodes;
  /// Authenticate requests of operators.
  std::vector<std::string> operators;
};

/// Limit of the names that the environment gives to a node and its upstream. They may be longer
/// than the names in release notes.
constexpr size_t kMaxIdentityBytes = 255;

struct NodeSettings
{
  /// Name of the slot, which stays the same when the instance is replaced.
  std::string id;
  std::string region;
  std::string zone;
  /// The service of the upstream beside the node.
  std::string service;
  Endpoint upstream;
  /// Address that accepts requests of callers.
  Endpoint front;
  /// Address that accepts requests of the `dandelion` tool.
  Endpoint operators;
  /// Address that other nodes connect to, TCP and UDP.
  Endpoint peers;
  /// Address that nodes of other regions connect to, if addresses are translated between regions.
  std::optional<Endpoint> peersFromOtherRegions;
  StoreSettings store;
  /// Nodes to contact at a start while the store is unavailable.
  std::vector<Endpoint> seeds;
  KeySettings keys;
  LogLevel logLevel = LogLevel::Info;
  /// How the upstream of a call is chosen, in which order calls are queued for it, whether slow
  /// calls are hedged, and whether bulk and background calls have a link of their own.
  ChoiceName choice = ChoiceName::LeastExpectedTime;
  QueueOrderName queue = QueueOrderName::ClassLanes;
  HedgeName hedge = HedgeName::Late;
  LanesName lanes = LanesName::ByClass;
  /// Longest time a planned stop waits for calls in progress.
  int64_t drainMs = 30000;
  /// Time from the request to stop until the process is killed, in seconds; 0 if it is not killed.
  double graceS = 0;
  /// How long a stopping node still accepts requests of callers, until they are directed to other
  /// nodes.
  int64_t stopNoticeMs = 0;
  EnvironmentName environment = EnvironmentName::Standalone;
  /// Address that answers readiness checks.
  std::optional<Endpoint> readiness;
  /// Address that receives the reports of the upstream.
  std::optional<Endpoint> reports;
  RetrySettings retries;
  MachineSettings machine;
  /// Without them, versions of upstreams are ignored and orders of rollouts are not read.
  std::optional<RolloutSettings> rollouts;
  /// Caps of accounts are enforced only where this is set.
  std::optional<CapSettings> caps;
  /// Needs the choice `EarliestFinish`.
  std::optional<ZoneSharingSettings> zoneSharing;
  /// The whole mesh is started for the first time.
  bool isFirstStart = false;
};

template<class Visitor>
void VisitFields(Visitor& aVisitor, StoreSettings& aSettings)
{
  aVisitor.Field("servers", aSettings.servers);
  aVisitor.OptionalField("region", aSettings.region);
  aVisitor.OptionalField("timeout_ms", aSettings.timeoutMs, IntegerRange{ 10, 60000 });
}

template<class Visitor>
void VisitFields(Visitor& aVisitor, RetrySettings& aSettings)
{
  aVisitor.OptionalField("ratio", aSettings.ratio);
  aVisitor.OptionalField("slack", aSettings.burst);
}

template<class Visitor>
void VisitFields(Visitor& aVisitor, MachineSettings& aSettings)
{
  aVisitor.OptionalField("cpu_share", aSettings.cpuShare);
  aVisitor.OptionalField("link_mbps", aSettings.linkMbps);
  aVisitor.OptionalField("memory_mb", aSettings.memoryMb, IntegerRange{ 0, kMaxMemoryMb });
  aVisitor.OptionalField("max_fds", aSettings.maxFds, IntegerRange{ 0, kMaxDescriptors });
}

template<class Visitor>
void VisitFields(Visitor& aVisitor, RolloutSettings& aSettings)
{
  aVisitor.OptionalField("expose_share", aSettings.exposeShare);
  aVisitor.OptionalField("expose_slack", aSettings.exposeSlack);
  aVisitor.OptionalField("rollback_ms", aSettings.rollbackMs);
}

template<class Visitor>
void VisitFields(Visitor& aVisitor, CapSettings& aSettings)
{
  aVisitor.OptionalField("window_s", aSettings.windowS);
  aVisitor.OptionalField("overage", aSettings.overage);
  aVisitor.OptionalField("slack", aSettings.slack);
}

template<class Visitor>
void VisitFields(Visitor& aVisitor, ZoneSharingSettings& aSettings)
{
  aVisitor.OptionalField("zone_wait_ms", aSettings.zoneWaitMs, IntegerRange{ 1, 60000 });
  aVisitor.OptionalField("region_wait_ms", aSettings.regionWaitMs, IntegerRange{ 1, 60000 });
  aVisitor.OptionalField("region_kb_per_s", aSettings.regionKbPerS, IntegerRange{ 0, 10000000 });
}

template<class Visitor>
void VisitFields(Visitor& aVisitor, KeySettings& aSettings)
{
  aVisitor.OptionalField("nodes", aSettings.nodes);
  aVisitor.OptionalField("operators", aSettings.operators);
}

template<class Visitor>
void VisitFields(Visitor& aVisitor, NodeSettings& aSettings)
{
  aVisitor.Field("id", aSettings.id, MaxTextBytes{ kMaxIdentityBytes });
  aVisitor.Field("region", aSettings.region, MaxTextBytes{ kMaxIdentityBytes });
  aVisitor.Field("zone", aSettings.zone, MaxTextBytes{ kMaxIdentityBytes });
  aVisitor.Field("service", aSettings.service, MaxTextBytes{ kMaxIdentityBytes });
  aVisitor.Field("upstream", aSettings.upstream);
  aVisitor.Field("front", aSettings.front);
  aVisitor.Field("operators", aSettings.operators);
  aVisitor.Field("peers", aSettings.peers);
  aVisitor.OptionalField("peers_from_other_regions", aSettings.peersFromOtherRegions);
  aVisitor.Field("store", aSettings.store);
  aVisitor.OptionalField("seeds", aSettings.seeds);
  aVisitor.OptionalField("keys", aSettings.keys);
  aVisitor.OptionalField("log_level", aSettings.logLevel);
  aVisitor.OptionalField("choice", aSettings.choice);
  aVisitor.OptionalField("queue", aSettings.queue);
  aVisitor.OptionalField("hedge", aSettings.hedge);
  aVisitor.OptionalField("lanes", aSettings.lanes);
  aVisitor.OptionalField("drain_ms", aSettings.drainMs, IntegerRange{ 0, 3600000 });
  aVisitor.OptionalField("grace_s", aSettings.graceS);
  aVisitor.OptionalField("stop_notice_ms", aSettings.stopNoticeMs, IntegerRange{ 0, 3600000 });
  aVisitor.OptionalField("environment", aSettings.environment);
  aVisitor.OptionalField("readiness", aSettings.readiness);
  aVisitor.OptionalField("reports", aSettings.reports);
  aVisitor.OptionalField("retries", aSettings.retries);
  aVisitor.OptionalField("machine", aSettings.machine);
  aVisitor.OptionalField("rollouts", aSettings.rollouts);
  aVisitor.OptionalField("caps", aSettings.caps);
  aVisitor.OptionalField("zone_sharing", aSettings.zoneSharing);
  aVisitor.OptionalField("first_start", aSettings.isFirstStart);
}

/// Parses and validates settings. Returns `InvalidSettings` with the path and the remedy of every
/// error; addresses and keys are validated only if all fields can be read.
absl::StatusOr<NodeSettings> ParseNodeSettings(const std::string& aText);

/// Reads, parses and validates a settings file. Errors: `InvalidSettings`.
absl::StatusOr<NodeSettings> LoadNodeSettings(const std::string& aPath);

} // namespace dandelion

#endif
