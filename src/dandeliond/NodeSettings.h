/// Settings of a node, read from JSON with comments and checked whole before the start.
#ifndef DANDELION_DANDELIOND_NODE_SETTINGS_H
#define DANDELION_DANDELIOND_NODE_SETTINGS_H

#include "admission/Admission.h"
#include "wire/Wire.h"

#include <string>
#include <vector>

namespace dandelion {

enum class LanesName
{
  One,
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

/// Where a node runs: which store it speaks to, where configurations come from, and how callers,
/// upstreams and whoever starts the process speak to it.
enum class EnvironmentName
{
  /// Release notes in the log of an etcd store.
  Standalone,
  /// Whole configurations in the platform's store; upstreams report themselves.
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

/// Bounds of what all nodes together may add to the calls of a service by repeats.
struct RetrySettings
{
  double ratio = 0.1;
  double burst = 10;
};

/// What the node's machine can carry.
struct MachineSettings
{
  /// Part of a processor core.
  double cpuShare = 1;
  double linkMbps = 1000;
};

struct StoreSettings
{
  std::vector<Endpoint> servers;
  /// The region in which the store stands; empty where that is not known.
  std::string region;
  int64_t timeoutMs = 1000;
};

/// Keys that keep strangers out. A new one is put last everywhere, then first, then alone.
struct KeySettings
{
  /// Between nodes.
  std::vector<std::string> nodes;
  /// Of operators' requests.
  std::vector<std::string> operators;
};

struct NodeSettings
{
  /// Name of the slot; it stays the same when the instance is replaced.
  std::string id;
  std::string region;
  std::string zone;
  /// The service whose upstream stands beside the node.
  std::string service;
  Endpoint upstream;
  /// Where callers come in.
  Endpoint front;
  /// Where `dandelion` comes in.
  Endpoint operators;
  /// Where other nodes come in, TCP and UDP.
  Endpoint peers;
  /// Where nodes of other regions come in, where addresses are translated between regions.
  std::optional<Endpoint> peersFromOtherRegions;
  StoreSettings store;
  /// First contacts for a start while the store is down.
  std::vector<Endpoint> seeds;
  KeySettings keys;
  LogLevel logLevel = LogLevel::Info;
  /// How the upstream of a call is chosen, how calls wait beside it, whether late calls are sent
  /// twice, and whether long and short calls have links of their own.
  ChoiceName choice = ChoiceName::LeastExpectedTime;
  QueueOrderName queue = QueueOrderName::ClassLanes;
  HedgeName hedge = HedgeName::Late;
  LanesName lanes = LanesName::ByClass;
  /// Longest time a planned stop waits for calls in progress.
  int64_t drainMs = 30000;
  /// Time from the request to stop until the process is killed, in seconds; 0 where it is not.
  double graceS = 0;
  /// How long a node that stops still takes callers' requests, until they have been sent elsewhere.
  int64_t stopNoticeMs = 0;
  EnvironmentName environment = EnvironmentName::Standalone;
  /// Where it is asked whether the node takes work.
  std::optional<Endpoint> readiness;
  /// Where the upstream reports itself.
  std::optional<Endpoint> reports;
  RetrySettings retries;
  MachineSettings machine;
  /// The whole mesh starts for the first time.
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
  aVisitor.Field("id", aSettings.id, MaxTextBytes{ kMaxNameBytes });
  aVisitor.Field("region", aSettings.region, MaxTextBytes{ kMaxNameBytes });
  aVisitor.Field("zone", aSettings.zone, MaxTextBytes{ kMaxNameBytes });
  aVisitor.Field("service", aSettings.service, MaxTextBytes{ kMaxNameBytes });
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
  aVisitor.OptionalField("first_start", aSettings.isFirstStart);
}

/// Parses and checks settings. The error lists every fault with its path and the remedy.
absl::StatusOr<NodeSettings> ParseNodeSettings(const std::string& aText);

/// Reads a settings file.
absl::StatusOr<NodeSettings> LoadNodeSettings(const std::string& aPath);

} // namespace dandelion

#endif
