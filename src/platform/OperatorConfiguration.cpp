#include "platform/OperatorConfiguration.h"

#include "codec/Codec.h"

#include "absl/strings/ascii.h"

namespace dandelion {

namespace platform {

namespace {

constexpr size_t kMostBytes = 4 * 1024 * 1024;

/// What may be repeated.
enum class CallKind
{
  Safe,
  Unsafe,
  /// Large answers; repeated as safe calls are.
  Download,
};

struct PartFields
{
  std::string service;
  int64_t weight = 0;
};

struct RouteFields
{
  std::string name;
  std::string host;
  std::string prefix;
  CallKind kind = CallKind::Unsafe;
  /// Longest time that a caller is kept waiting.
  int64_t timeoutMs = 0;
  int64_t targetMs = 0;
  int64_t mostAttempts = 1;
  int64_t priority = 1;
  std::string service;
  std::vector<PartFields> split;
};

struct ServiceFields
{
  std::string name;
  std::string healthPath;
};

struct LimitFields
{
  int64_t headerBytes = CallerLimits().mostHeaderBytes;
  int64_t bodyBytes = CallerLimits().mostBodyBytes;
  int64_t headTimeMs = CallerLimits().headTimeMs;
  int64_t idleTimeMs = CallerLimits().idleTimeMs;
};

struct ConfigurationFields
{
  int64_t version = 0;
  std::vector<RouteFields> routes;
  std::vector<ServiceFields> services;
  LimitFields limits;
};

} // namespace

} // namespace platform

template<>
struct EnumNames<platform::CallKind>
{
  static constexpr EnumName<platform::CallKind> kTable[] = {
    { platform::CallKind::Safe, "safe" },
    { platform::CallKind::Unsafe, "unsafe" },
    { platform::CallKind::Download, "download" },
  };
};

namespace platform {

namespace {

template<class Visitor>
void VisitFields(Visitor& aVisitor, PartFields& aPart)
{
  aVisitor.Field("service", aPart.service, TextUpTo{ kLongestName });
  aVisitor.Field("weight", aPart.weight, Between{ 0, kMostWeight });
}

template<class Visitor>
void VisitFields(Visitor& aVisitor, RouteFields& aRoute)
{
  aVisitor.Field("name", aRoute.name, TextUpTo{ kLongestName });
  aVisitor.Field("host", aRoute.host, TextUpTo{ kLongestPath });
  aVisitor.Field("path-prefix", aRoute.prefix, TextUpTo{ kLongestPath });
  aVisitor.Field("kind", aRoute.kind);
  aVisitor.Field("timeout", aRoute.timeoutMs, Between{ 1, kLongestTimeoutMs });
  aVisitor.OptionalField("target-latency", aRoute.targetMs, Between{ 0, kLongestTimeoutMs });
  aVisitor.OptionalField("max-attempts", aRoute.mostAttempts, Between{ 1, INT64_MAX });
  aVisitor.OptionalField("priority", aRoute.priority, Between{ 0, INT64_MAX });
  aVisitor.OptionalField("service", aRoute.service);
  aVisitor.OptionalField("split", aRoute.split);
}

template<class Visitor>
void VisitFields(Visitor& aVisitor, ServiceFields& aService)
{
  aVisitor.Field("name", aService.name, TextUpTo{ kLongestName });
  aVisitor.OptionalField("health-path", aService.healthPath);
}

template<class Visitor>
void VisitFields(Visitor& aVisitor, LimitFields& aLimits)
{
  aVisitor.OptionalField("max-header-bytes", aLimits.headerBytes, Between{ 1, INT64_MAX });
  aVisitor.OptionalField("max-body-bytes", aLimits.bodyBytes, Between{ 0, INT64_MAX });
  aVisitor.OptionalField("header-timeout", aLimits.headTimeMs, Between{ 1, kLongestTimeoutMs });
  aVisitor.OptionalField("idle-timeout", aLimits.idleTimeMs, Between{ 1, kLongestTimeoutMs });
}

template<class Visitor>
void VisitFields(Visitor& aVisitor, ConfigurationFields& aFields)
{
  aVisitor.Field("version", aFields.version, Between{ 1, INT64_MAX });
  aVisitor.Field("routes", aFields.routes);
  aVisitor.Field("services", aFields.services);
  aVisitor.OptionalField("limits", aFields.limits);
}

TrafficClass ClassOf(const RouteFields& aRoute)
{
  // Targets of the users' tables: certificate checks 120 ms, lookups 400 ms, reports 1500 ms.
  constexpr int64_t kShortTargetMs = 200;
  constexpr int64_t kPatientTargetMs = 1000;
  if (aRoute.kind == CallKind::Download) {
    return TrafficClass::Bulk;
  }
  if (aRoute.targetMs > 0 && aRoute.targetMs <= kShortTargetMs) {
    return TrafficClass::Certificate;
  }
  return aRoute.targetMs >= kPatientTargetMs ? TrafficClass::Background : TrafficClass::Interactive;
}

/// Routes that agree in all of this share one policy.
PolicySpec ToPolicy(const RouteFields& aRoute)
{
  PolicySpec policy;
  policy.trafficClass = ClassOf(aRoute);
  policy.timeoutMs = aRoute.timeoutMs;
  policy.attempts = std::min(aRoute.mostAttempts, kMostAttempts);
  policy.crossRegion = true;
  policy.idempotent = aRoute.kind != CallKind::Unsafe;
  policy.atMostOnce = aRoute.kind == CallKind::Unsafe;
  policy.targetMs = aRoute.targetMs;
  policy.priority = std::min(aRoute.priority, kLowestPriority);
  policy.name = fmt::format("{}-{}-{}-{}-{}",
                            NameOf(aRoute.kind),
                            policy.timeoutMs,
                            policy.targetMs,
                            policy.priority,
                            policy.attempts);
  return policy;
}

RouteSpec ToRoute(const RouteFields& aRoute, const std::string& aPolicy)
{
  RouteSpec route;
  route.name = aRoute.name;
  route.host = absl::AsciiStrToLower(aRoute.host);
  route.pathPrefix = aRoute.prefix;
  route.matching = PathMatching::Literal;
  route.policy = aPolicy;
  for (const PartFields& part : aRoute.split) {
    route.split.push_back(WeightedService{ part.service, part.weight });
  }
  route.service = aRoute.split.empty() ? aRoute.service : aRoute.split.front().service;
  return route;
}

absl::Status CheckPrefix(const RouteFields& aRoute)
{
  bool isWhole = aRoute.prefix.front() == '/' && aRoute.prefix.back() == '/';
  if (isWhole) {
    return absl::OkStatus();
  }
  return MakeError(ErrorKind::InvalidNote,
                   fmt::format("route \"{}\" has path-prefix \"{}\"; begin and end it with '/'",
                               aRoute.name,
                               aRoute.prefix));
}

/// A whole configuration does not tell when an object changed, so that stays 0.
template<class Spec>
absl::Status Insert(HeldMap<Spec>& aMap, Spec aSpec)
{
  std::string name = aSpec.name;
  if (!aMap.emplace(name, Held<Spec>{ std::move(aSpec), 0 }).second) {
    return MakeError(ErrorKind::AlreadyExists,
                     fmt::format("\"{}\" stands twice in the configuration; keep one", name));
  }
  return absl::OkStatus();
}

absl::StatusOr<Configuration> Translate(const ConfigurationFields& aFields)
{
  Configuration configuration;
  configuration.version = static_cast<Version>(aFields.version);
  for (const ServiceFields& service : aFields.services) {
    ServiceSpec spec;
    spec.name = service.name;
    spec.healthPath = service.healthPath;
    absl::Status status = Insert(configuration.services, spec);
    if (!status.ok()) {
      return status;
    }
  }
  for (const RouteFields& route : aFields.routes) {
    absl::Status status = CheckPrefix(route);
    if (!status.ok()) {
      return status;
    }
    PolicySpec policy = ToPolicy(route);
    status = Insert(configuration.routes, ToRoute(route, policy.name));
    if (!status.ok()) {
      return status;
    }
    configuration.policies.emplace(policy.name, Held<PolicySpec>{ policy, 0 });
  }
  configuration.limits = CallerLimits{ aFields.limits.headerBytes,
                                       aFields.limits.bodyBytes,
                                       aFields.limits.headTimeMs,
                                       aFields.limits.idleTimeMs };
  absl::Status closed = CheckClosed(configuration);
  if (!closed.ok()) {
    return closed;
  }
  return configuration;
}

} // namespace

absl::StatusOr<Configuration> ReadConfiguration(const std::string& aText)
{
  auto json = ParseJson(aText, kMostBytes);
  if (!json.ok()) {
    return json.status();
  }
  auto fields = FromJson<ConfigurationFields>(*json, ErrorKind::InvalidNote, UnknownKeys::Ignored);
  if (!fields.ok()) {
    return fields.status();
  }
  return Translate(*fields);
}

} // namespace platform

} // namespace dandelion
