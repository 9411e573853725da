/// The objects that release notes add, change and withdraw: services, policies and routes.
#ifndef DANDELION_RELEASE_OBJECTS_H
#define DANDELION_RELEASE_OBJECTS_H

#include "kernel/Kernel.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace dandelion {

/// Position of a release note in the log. The empty configuration has version 0.
using Version = uint64_t;

enum class TrafficClass
{
  Short,
  Certificate,
  Interactive,
  Bulk,
  Background,
};

template<>
struct EnumNames<TrafficClass>
{
  static constexpr EnumName<TrafficClass> kTable[] = {
    { TrafficClass::Short, "short" },
    { TrafficClass::Certificate, "certificate" },
    { TrafficClass::Interactive, "interactive" },
    { TrafficClass::Bulk, "bulk" },
    { TrafficClass::Background, "background" },
  };
};

enum class ObjectKind
{
  Service,
  Policy,
  Route,
  Account,
};

template<>
struct EnumNames<ObjectKind>
{
  static constexpr EnumName<ObjectKind> kTable[] = {
    { ObjectKind::Service, "service" },
    { ObjectKind::Policy, "policy" },
    { ObjectKind::Route, "route" },
    { ObjectKind::Account, "account" },
  };
};

constexpr size_t kMaxNameBytes = 63;
constexpr size_t kMaxPathBytes = 512;
constexpr int64_t kMaxSlots = 4096;
constexpr int64_t kMaxTimeoutMs = 3600 * 1000;
constexpr int64_t kMaxAttempts = 5;
constexpr int64_t kLowestPriority = 100;
constexpr int64_t kMaxWeight = 1000000;
/// Highest cap and burst of an account.
constexpr int64_t kMaxRatePerS = 1000000000;
/// Length of a key digest: SHA-256 in hexadecimal digits.
constexpr size_t kKeyDigestDigits = 64;

/// A set of upstreams that serve the same calls.
struct ServiceSpec
{
  static constexpr ObjectKind kKind = ObjectKind::Service;
  std::string name;
  /// Maximum number of calls that one upstream runs concurrently.
  int64_t slots = 4;
  /// Time until a new upstream receives its full share of calls.
  int64_t coldStartMs = 0;
  /// Path of an upstream's health check; empty if it has none.
  std::string healthPath = {};
};

/// Traffic class, timeout, retry rules and priority of calls.
struct PolicySpec
{
  static constexpr ObjectKind kKind = ObjectKind::Policy;
  std::string name;
  TrafficClass trafficClass = TrafficClass::Interactive;
  int64_t timeoutMs = 10000;
  /// Maximum number of attempts for one call, including the first.
  int64_t attempts = 3;
  /// Calls may use upstreams in the other region if their own region has none.
  bool crossRegion = false;
  /// Calls of every HTTP method may be retried after an unknown outcome.
  bool idempotent = false;
  /// No call may run twice, whatever its HTTP method. Takes precedence over `idempotent`.
  bool atMostOnce = false;
  /// Latency target: time within which an answer is most useful to the caller; 0 if only the
  /// timeout applies.
  int64_t targetMs = 0;
  /// Priority among the calls that wait for a slot; 0 is the highest.
  int64_t priority = 1;
};

/// How a route's prefix is matched against a path.
enum class PathMatching
{
  /// "/a" and "/a/" both match "/a" and "/a/b".
  BySegments,
  /// The path begins with the prefix, byte for byte.
  Literal,
};

template<>
struct EnumNames<PathMatching>
{
  static constexpr EnumName<PathMatching> kTable[] = {
    { PathMatching::BySegments, "by-segments" },
    { PathMatching::Literal, "literal" },
  };
};

/// A service and its weight in a route that distributes its calls over several services.
struct WeightedService
{
  std::string service;
  int64_t weight = 1;
};

/// Assigns calls to a service and a policy by host and path. The longest matching prefix wins.
struct RouteSpec
{
  static constexpr ObjectKind kKind = ObjectKind::Route;
  std::string name;
  std::string pathPrefix;
  /// Service that receives the calls; the first service of the split if there is one.
  std::string service;
  std::string policy;
  /// Host of the calls, in lower case and without a port; empty matches every host.
  std::string host = {};
  PathMatching matching = PathMatching::BySegments;
  /// Calls are distributed in proportion to the weights. If empty, all calls go to `service`.
  std::vector<WeightedService> split = {};
  /// Calls need no key of a client account. Without accounts in the configuration no call needs
  /// one.
  bool isAnonymous = false;
};

/// A client account: who sends calls, and how many.
struct AccountSpec
{
  static constexpr ObjectKind kKind = ObjectKind::Account;
  std::string name;
  /// SHA-256 digests of its API keys in lower-case hexadecimal digits; the keys themselves are not
  /// kept.
  std::vector<std::string> keyDigests;
  /// Priority of its calls in place of the policy's; 0 is the highest.
  std::optional<int64_t> priority;
  /// Calls a second that it may send through all nodes together; 0 for no limit.
  int64_t ratePerS = 0;
  /// Calls that it may send at once beyond the rate.
  int64_t burst = 0;
};

template<class Visitor>
void VisitFields(Visitor& aVisitor, ServiceSpec& aService)
{
  aVisitor.Field("name", aService.name, MaxTextBytes{ kMaxNameBytes });
  aVisitor.OptionalField("slots", aService.slots, IntegerRange{ 1, kMaxSlots });
  aVisitor.OptionalField("cold_start_ms", aService.coldStartMs, IntegerRange{ 0, kMaxTimeoutMs });
  aVisitor.OptionalField("health_path", aService.healthPath);
}

template<class Visitor>
void VisitFields(Visitor& aVisitor, PolicySpec& aPolicy)
{
  aVisitor.Field("name", aPolicy.name, MaxTextBytes{ kMaxNameBytes });
  aVisitor.OptionalField("class", aPolicy.trafficClass);
  aVisitor.OptionalField("timeout_ms", aPolicy.timeoutMs, IntegerRange{ 1, kMaxTimeoutMs });
  aVisitor.OptionalField("attempts", aPolicy.attempts, IntegerRange{ 1, kMaxAttempts });
  aVisitor.OptionalField("cross_region", aPolicy.crossRegion);
  aVisitor.OptionalField("idempotent", aPolicy.idempotent);
  aVisitor.OptionalField("at_most_once", aPolicy.atMostOnce);
  aVisitor.OptionalField("target_ms", aPolicy.targetMs, IntegerRange{ 0, kMaxTimeoutMs });
  aVisitor.OptionalField("priority", aPolicy.priority, IntegerRange{ 0, kLowestPriority });
}

template<class Visitor>
void VisitFields(Visitor& aVisitor, WeightedService& aPart)
{
  aVisitor.Field("service", aPart.service, MaxTextBytes{ kMaxNameBytes });
  aVisitor.Field("weight", aPart.weight, IntegerRange{ 0, kMaxWeight });
}

template<class Visitor>
void VisitFields(Visitor& aVisitor, RouteSpec& aRoute)
{
  aVisitor.Field("name", aRoute.name, MaxTextBytes{ kMaxNameBytes });
  aVisitor.Field("path_prefix", aRoute.pathPrefix, MaxTextBytes{ kMaxPathBytes });
  aVisitor.Field("service", aRoute.service, MaxTextBytes{ kMaxNameBytes });
  aVisitor.Field("policy", aRoute.policy, MaxTextBytes{ kMaxNameBytes });
  aVisitor.OptionalField("host", aRoute.host);
  aVisitor.OptionalField("matching", aRoute.matching);
  aVisitor.OptionalField("split", aRoute.split);
  aVisitor.OptionalField("anonymous", aRoute.isAnonymous);
}

template<class Visitor>
void VisitFields(Visitor& aVisitor, AccountSpec& aAccount)
{
  aVisitor.Field("name", aAccount.name, MaxTextBytes{ kMaxNameBytes });
  aVisitor.OptionalField("key_digests", aAccount.keyDigests);
  aVisitor.OptionalField("priority", aAccount.priority);
  aVisitor.OptionalField("rate_per_s", aAccount.ratePerS);
  aVisitor.OptionalField("burst", aAccount.burst);
}

} // namespace dandelion

#endif
