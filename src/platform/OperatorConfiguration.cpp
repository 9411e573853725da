#include "platform/OperatorConfiguration.h"

#include "codec/Codec.h"

#include "absl/strings/ascii.h"

namespace dandelion {

namespace platform {

namespace {

constexpr size_t kMaxConfigurationBytes = 4 * 1024 * 1024;

/// Whether a route's calls may be retried.
enum class CallKind
{
  Safe,
  Unsafe,
  /// Calls with large answers; retried like safe calls.
  Download,
};

struct SplitFields
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
  /// Maximum time that a caller waits for the answer.
  int64_t timeoutMs = 0;
  int64_t targetMs = 0;
  int64_t maxAttempts = 1;
  int64_t priority = 1;
  std::string service;
  std::vector<SplitFields> split;
};

struct ServiceFields
{
  std::string name;
  std::string healthPath;
};

struct LimitFields
{
  int64_t headerBytes = CallerLimits().maxHeaderBytes;
  int64_t bodyBytes = CallerLimits().maxBodyBytes;
  int64_t headerTimeoutMs = CallerLimits().headerTimeoutMs;
  int64_t idleTimeoutMs = CallerLimits().idleTimeoutMs;
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
void VisitFields(Visitor& aVisitor, SplitFields& aShare)
{
  aVisitor.Field("service", aShare.service, MaxTextBytes{ kMaxNameBytes });
  aVisitor.Field("weight", aShare.weight, IntegerRange{ 0, kMaxWeight });
}

template<class Visitor>
void VisitFields(Visitor& aVisitor, RouteFields& aRoute)
{
  aVisitor.Field("name", aRoute.name, MaxTextBytes{ kMaxNameBytes });
  aVisitor.Field("host", aRoute.host, MaxTextBytes{ kMaxPathBytes });
  aVisitor.Field("path-prefix", aRoute.prefix, MaxTextBytes{ kMaxPathBytes });
  aVisitor.Field("kind", aRoute.kind);
  aVisitor.Field("timeout", aRoute.timeoutMs, IntegerRange{ 1, kMaxTimeoutMs });
  aVisitor.OptionalField("target-latency", aRoute.targetMs, IntegerRange{ 0, kMaxTimeoutMs });
  aVisitor.OptionalField("max-attempts", aRoute.maxAttempts, IntegerRange{ 1, INT64_MAX });
  aVisitor.OptionalField("priority", aRoute.priority, IntegerRange{ 0, INT64_MAX });
  aVisitor.OptionalField("service", aRoute.service);
  aVisitor.OptionalField("split", aRoute.split);
}

template<class Visitor>
void VisitFields(Visitor& aVisitor, ServiceFields& aService)
{
  aVisitor.Field("name", aService.name, MaxTextBytes{ kMaxNameBytes });
  aVisitor.OptionalField("health-path", aService.healthPath);
}

template<class Visitor>
void VisitFields(Visitor& aVisitor, LimitFields& aLimits)
{
  aVisitor.OptionalField("max-header-bytes", aLimits.headerBytes, IntegerRange{ 1, INT64_MAX });
  aVisitor.OptionalField("max-body-bytes", aLimits.bodyBytes, IntegerRange{ 0, INT64_MAX });
  aVisitor.OptionalField(
    "header-timeout", aLimits.headerTimeoutMs, IntegerRange{ 1, kMaxTimeoutMs });
  aVisitor.OptionalField("idle-timeout", aLimits.idleTimeoutMs, IntegerRange{ 1, kMaxTimeoutMs });
}

template<class Visitor>
void VisitFields(Visitor& aVisitor, ConfigurationFields& aFields)
{
  aVisitor.Field("version", aFields.version, IntegerRange{ 1, INT64_MAX });
  aVisitor.Field("routes", aFields.routes);
  aVisitor.Field("services", aFields.services);
  aVisitor.OptionalField("limits", aFields.limits);
}

TrafficClass ClassOf(const RouteFields& aRoute)
{
  // The bounds separate the users' latency targets: 120 ms for certificate checks, 400 ms for
  // lookups, 1500 ms for reports.
  constexpr int64_t kMaxCertificateTargetMs = 200;
  constexpr int64_t kMinBackgroundTargetMs = 1000;
  if (aRoute.kind == CallKind::Download) {
    return TrafficClass::Bulk;
  }
  if (aRoute.targetMs > 0 && aRoute.targetMs <= kMaxCertificateTargetMs) {
    return TrafficClass::Certificate;
  }
  return aRoute.targetMs >= kMinBackgroundTargetMs ? TrafficClass::Background
                                                   : TrafficClass::Interactive;
}

/// Makes the policy of a route. Routes with the same kind, timeout, latency target, priority and
/// attempts share one, because its name is made of these.
PolicySpec ToPolicy(const RouteFields& aRoute)
{
  PolicySpec policy;
  policy.trafficClass = ClassOf(aRoute);
  policy.timeoutMs = aRoute.timeoutMs;
  policy.attempts = std::min(aRoute.maxAttempts, kMaxAttempts);
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
  for (const SplitFields& share : aRoute.split) {
    route.split.push_back(WeightedService{ share.service, share.weight });
  }
  route.service = aRoute.split.empty() ? aRoute.service : aRoute.split.front().service;
  return route;
}

absl::Status CheckPrefix(const RouteFields& aRoute)
{
  bool isDelimited = aRoute.prefix.front() == '/' && aRoute.prefix.back() == '/';
  if (isDelimited) {
    return absl::OkStatus();
  }
  return MakeError(ErrorKind::InvalidNote,
                   fmt::format("route \"{}\" has path-prefix \"{}\"; begin and end it with '/'",
                               aRoute.name,
                               aRoute.prefix));
}

/// Inserts an object unless its name is taken. A complete configuration does not say in which
/// version an object changed, so that version stays 0.
template<class Spec>
absl::Status Insert(VersionedMap<Spec>& aMap, Spec aSpec)
{
  std::string name = aSpec.name;
  if (!aMap.emplace(name, Versioned<Spec>{ std::move(aSpec), 0 }).second) {
    return MakeError(ErrorKind::AlreadyExists,
                     fmt::format("\"{}\" is defined twice in the configuration; keep one", name));
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
    configuration.policies.emplace(policy.name, Versioned<PolicySpec>{ policy, 0 });
  }
  configuration.limits = CallerLimits{ aFields.limits.headerBytes,
                                       aFields.limits.bodyBytes,
                                       aFields.limits.headerTimeoutMs,
                                       aFields.limits.idleTimeoutMs };
  absl::Status check = CheckConfiguration(configuration);
  if (!check.ok()) {
    return check;
  }
  return configuration;
}

} // namespace

absl::StatusOr<Configuration> ReadConfiguration(const std::string& aText)
{
  auto json = ParseJson(aText, kMaxConfigurationBytes);
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
