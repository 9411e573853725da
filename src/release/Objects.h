/// The objects that release notes add, change and withdraw: services, policies and routes.
#ifndef DANDELION_RELEASE_OBJECTS_H
#define DANDELION_RELEASE_OBJECTS_H

#include "kernel/Kernel.h"

#include <cstdint>
#include <string>
#include <vector>

namespace dandelion {

/// Position of a release note in the log; the empty configuration has version 0.
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
};

template<>
struct EnumNames<ObjectKind>
{
  static constexpr EnumName<ObjectKind> kTable[] = {
    { ObjectKind::Service, "service" },
    { ObjectKind::Policy, "policy" },
    { ObjectKind::Route, "route" },
  };
};

constexpr size_t kLongestName = 63;
constexpr size_t kLongestPath = 512;
constexpr int64_t kMostSlots = 4096;
constexpr int64_t kLongestTimeoutMs = 3600 * 1000;
constexpr int64_t kMostAttempts = 5;

/// A set of upstreams that answer the same calls.
struct ServiceSpec
{
  static constexpr ObjectKind kKind = ObjectKind::Service;
  std::string name;
  /// Calls that one upstream runs at a time.
  int64_t slots = 4;
  /// Time over which a new upstream is given its full share.
  int64_t coldStartMs = 0;
};

/// How calls are carried.
struct PolicySpec
{
  static constexpr ObjectKind kKind = ObjectKind::Policy;
  std::string name;
  TrafficClass trafficClass = TrafficClass::Interactive;
  int64_t timeoutMs = 10000;
  /// Attempts for one call, the first one included.
  int64_t attempts = 3;
  /// Calls may use upstreams in the other region when their own region has none.
  bool crossRegion = false;
  /// Calls of every method may be sent again after an unknown outcome.
  bool idempotent = false;
};

/// Which calls go to which service, under which policy. The longest matching prefix wins.
struct RouteSpec
{
  static constexpr ObjectKind kKind = ObjectKind::Route;
  std::string name;
  std::string pathPrefix;
  std::string service;
  std::string policy;
};

template<class Visitor>
void VisitFields(Visitor& aVisitor, ServiceSpec& aService)
{
  aVisitor.Field("name", aService.name, TextUpTo{ kLongestName });
  aVisitor.OptionalField("slots", aService.slots, Between{ 1, kMostSlots });
  aVisitor.OptionalField("cold_start_ms", aService.coldStartMs, Between{ 0, kLongestTimeoutMs });
}

template<class Visitor>
void VisitFields(Visitor& aVisitor, PolicySpec& aPolicy)
{
  aVisitor.Field("name", aPolicy.name, TextUpTo{ kLongestName });
  aVisitor.OptionalField("class", aPolicy.trafficClass);
  aVisitor.OptionalField("timeout_ms", aPolicy.timeoutMs, Between{ 1, kLongestTimeoutMs });
  aVisitor.OptionalField("attempts", aPolicy.attempts, Between{ 1, kMostAttempts });
  aVisitor.OptionalField("cross_region", aPolicy.crossRegion);
  aVisitor.OptionalField("idempotent", aPolicy.idempotent);
}

template<class Visitor>
void VisitFields(Visitor& aVisitor, RouteSpec& aRoute)
{
  aVisitor.Field("name", aRoute.name, TextUpTo{ kLongestName });
  aVisitor.Field("path_prefix", aRoute.pathPrefix, TextUpTo{ kLongestPath });
  aVisitor.Field("service", aRoute.service, TextUpTo{ kLongestName });
  aVisitor.Field("policy", aRoute.policy, TextUpTo{ kLongestName });
}

} // namespace dandelion

#endif
