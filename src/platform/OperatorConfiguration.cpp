#include "platform/OperatorConfiguration.h"

#include "codec/Codec.h"
#include "wire/Wire.h"

#include "absl/strings/ascii.h"

#include <algorithm>
#include <cmath>

namespace dandelion {

namespace platform {

namespace {

constexpr size_t kMaxConfigurationBytes = 4 * 1024 * 1024;

/// The store has accepted the configuration and fleet-wide agreement depends on it, so its texts
/// and numbers are limited by its size only.
constexpr MaxTextBytes kAnyText{ kMaxConfigurationBytes };
constexpr IntegerRange kAnyPositive{ 1, INT64_MAX };
constexpr IntegerRange kAnyNonNegative{ 0, INT64_MAX };

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
  bool isAnonymous = false;
};

/// A client account. Its numbers may be fractional.
struct AccountFields
{
  std::string name;
  std::vector<std::string> keys;
  std::optional<double> priority;
  double ratePerS = 0;
  double burst = 0;
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
  std::vector<AccountFields> accounts;
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
  aVisitor.Field("service", aShare.service, kAnyText);
  aVisitor.Field("weight", aShare.weight, kAnyNonNegative);
}

template<class Visitor>
void VisitFields(Visitor& aVisitor, RouteFields& aRoute)
{
  aVisitor.Field("name", aRoute.name, kAnyText);
  aVisitor.Field("host", aRoute.host, kAnyText);
  aVisitor.Field("path-prefix", aRoute.prefix, kAnyText);
  aVisitor.Field("kind", aRoute.kind);
  aVisitor.Field("timeout", aRoute.timeoutMs, kAnyPositive);
  aVisitor.OptionalField("target-latency", aRoute.targetMs, kAnyNonNegative);
  aVisitor.OptionalField("max-attempts", aRoute.maxAttempts, kAnyPositive);
  aVisitor.OptionalField("priority", aRoute.priority, kAnyNonNegative);
  aVisitor.OptionalField("service", aRoute.service);
  aVisitor.OptionalField("split", aRoute.split);
  aVisitor.OptionalField("anonymous", aRoute.isAnonymous);
}

template<class Visitor>
void VisitFields(Visitor& aVisitor, AccountFields& aAccount)
{
  aVisitor.Field("name", aAccount.name, kAnyText);
  aVisitor.OptionalField("api-keys", aAccount.keys);
  aVisitor.OptionalField("priority", aAccount.priority);
  aVisitor.OptionalField("rate-per-s", aAccount.ratePerS);
  aVisitor.OptionalField("burst", aAccount.burst);
}

template<class Visitor>
void VisitFields(Visitor& aVisitor, ServiceFields& aService)
{
  aVisitor.Field("name", aService.name, kAnyText);
  aVisitor.OptionalField("health-path", aService.healthPath);
}

template<class Visitor>
void VisitFields(Visitor& aVisitor, LimitFields& aLimits)
{
  aVisitor.OptionalField("max-header-bytes", aLimits.headerBytes, kAnyPositive);
  aVisitor.OptionalField("max-body-bytes", aLimits.bodyBytes, kAnyNonNegative);
  aVisitor.OptionalField("header-timeout", aLimits.headerTimeoutMs, kAnyPositive);
  aVisitor.OptionalField("idle-timeout", aLimits.idleTimeoutMs, kAnyPositive);
}

template<class Visitor>
void VisitFields(Visitor& aVisitor, ConfigurationFields& aFields)
{
  aVisitor.Field("version", aFields.version, kAnyPositive);
  aVisitor.Field("routes", aFields.routes);
  aVisitor.Field("services", aFields.services);
  aVisitor.OptionalField("tenants", aFields.accounts);
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
  policy.timeoutMs = std::min(aRoute.timeoutMs, kMaxTimeoutMs);
  policy.attempts = std::min(aRoute.maxAttempts, kMaxAttempts);
  policy.crossRegion = true;
  policy.idempotent = aRoute.kind != CallKind::Unsafe;
  policy.atMostOnce = aRoute.kind == CallKind::Unsafe;
  policy.targetMs = std::min(aRoute.targetMs, kMaxTimeoutMs);
  policy.priority = std::min(aRoute.priority, kLowestPriority);
  policy.name = fmt::format("{}-{}-{}-{}-{}",
                            NameOf(aRoute.kind),
                            policy.timeoutMs,
                            policy.targetMs,
                            policy.priority,
                            policy.attempts);
  return policy;
}

/// Returns the shares with weights of at most `kMaxWeight`, in about the same proportions. A share
/// that has a weight keeps one.
std::vector<WeightedService> ToSplit(const std::vector<SplitFields>& aShares)
{
  int64_t highest = 0;
  for (const SplitFields& share : aShares) {
    highest = std::max(highest, share.weight);
  }
  int64_t divisor = std::max<int64_t>(1, highest / kMaxWeight + (highest % kMaxWeight > 0 ? 1 : 0));
  std::vector<WeightedService> split;
  for (const SplitFields& share : aShares) {
    int64_t weight = share.weight == 0 ? 0 : std::max<int64_t>(1, share.weight / divisor);
    split.push_back(WeightedService{ share.service, weight });
  }
  return split;
}

RouteSpec ToRoute(const RouteFields& aRoute, const std::string& aPolicy)
{
  RouteSpec route;
  route.name = aRoute.name;
  route.host = absl::AsciiStrToLower(aRoute.host);
  route.pathPrefix = aRoute.prefix;
  route.matching = PathMatching::Literal;
  route.policy = aPolicy;
  route.isAnonymous = aRoute.isAnonymous;
  route.split = ToSplit(aRoute.split);
  route.service = aRoute.split.empty() ? aRoute.service : aRoute.split.front().service;
  return route;
}

/// Converts a number of a cap. It is rounded up, so that a fractional cap never becomes 0, which
/// means no limit. A negative number stays negative, and the check of the configuration rejects it.
int64_t ToCap(double aNumber)
{
  return static_cast<int64_t>(std::clamp(aNumber < 0 ? std::floor(aNumber) : std::ceil(aNumber),
                                         -1.0,
                                         static_cast<double>(kMaxRatePerS)));
}

absl::Status CheckAccountName(const std::string& aName)
{
  // The name is sent to upstreams in a header.
  auto isVisible = [](char aCharacter) { return aCharacter >= ' ' && aCharacter < 0x7f; };
  if (!aName.empty() && std::all_of(aName.begin(), aName.end(), isVisible)) {
    return absl::OkStatus();
  }
  return MakeError(ErrorKind::InvalidNote,
                   "a tenant has an empty name, or one with control or non-ASCII characters; "
                   "give it a name of visible ASCII characters");
}

/// Makes an account. Keys are replaced by their digests; an empty key stays empty, and the check of
/// the configuration rejects it.
AccountSpec ToAccount(const AccountFields& aAccount)
{
  AccountSpec account;
  account.name = aAccount.name;
  for (const std::string& key : aAccount.keys) {
    account.keyDigests.push_back(key.empty() ? "" : DigestOfKey(key));
  }
  if (aAccount.priority.has_value()) {
    account.priority = static_cast<int64_t>(
      std::clamp(std::floor(*aAccount.priority), -1.0, static_cast<double>(kLowestPriority)));
  }
  account.ratePerS = ToCap(aAccount.ratePerS);
  account.burst = ToCap(aAccount.burst);
  return account;
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
  for (const AccountFields& account : aFields.accounts) {
    absl::Status status = CheckAccountName(account.name);
    if (status.ok()) {
      status = Insert(configuration.accounts, ToAccount(account));
    }
    if (!status.ok()) {
      return status;
    }
  }
  configuration.limits = CallerLimits{ aFields.limits.headerBytes,
                                       aFields.limits.bodyBytes,
                                       std::min(aFields.limits.headerTimeoutMs, kMaxTimeoutMs),
                                       std::min(aFields.limits.idleTimeoutMs, kMaxTimeoutMs) };
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
