#include "wire/CallHeaders.h"

#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_split.h"
#include "absl/strings/strip.h"

#include <algorithm>
#include <array>

namespace dandelion {

namespace {

constexpr std::array<const char*, 6> kCallHeaders = {
  kOutcomeHeader, kErrorHeader, kRetriedHeader, kDeadlineHeader, kClassHeader, kRetriesLeftHeader,
};
/// Larger values are clamped: they serve no purpose and would overflow the clock.
constexpr int64_t kMaxTimeLeftMs = 24 * 3600 * 1000;
constexpr int64_t kMaxRetriesLeft = 100;

absl::Status InvalidHeader(std::string_view aHeader,
                           const std::string& aValue,
                           const std::string& aRemedy)
{
  return MakeError(
    ErrorKind::Usage,
    fmt::format("header \"{}\" is \"{}\"; {}", aHeader, aValue.substr(0, 40), aRemedy));
}

absl::Status ReadNumber(const HttpHeaders& aHeaders,
                        std::string_view aName,
                        int64_t aMax,
                        std::optional<int64_t>& aValue)
{
  std::string text = FindHeader(aHeaders, aName);
  if (text.empty()) {
    return absl::OkStatus();
  }
  int64_t value = 0;
  if (!absl::SimpleAtoi(text, &value) || value < 0) {
    return InvalidHeader(aName, text, "give a whole number, 0 or more");
  }
  aValue = std::min(value, aMax);
  return absl::OkStatus();
}

} // namespace

absl::StatusOr<InheritedLimits> ReadLimits(const HttpHeaders& aHeaders,
                                           const CallHeaderNames& aHeaderNames)
{
  InheritedLimits limits;
  std::optional<int64_t> timeLeftMs;
  absl::Status status = ReadNumber(aHeaders, aHeaderNames.deadline, kMaxTimeLeftMs, timeLeftMs);
  if (!status.ok() && !aHeaderNames.ignoresInvalidLimits) {
    return status;
  }
  if (timeLeftMs.has_value()) {
    limits.timeLeft = milliseconds(*timeLeftMs);
  }
  if (!aHeaderNames.propagatesLimits) {
    return limits;
  }
  status = ReadNumber(aHeaders, kRetriesLeftHeader, kMaxRetriesLeft, limits.retriesLeft);
  if (!status.ok()) {
    return status;
  }
  std::string className = FindHeader(aHeaders, kClassHeader);
  limits.trafficClass = FromName<TrafficClass>(className);
  if (!className.empty() && !limits.trafficClass.has_value()) {
    return InvalidHeader(kClassHeader, className, "give one of " + AllNames<TrafficClass>());
  }
  return limits;
}

HttpHeaders MakeLimitHeaders(const OpenCall& aCall, const CallHeaderNames& aHeaderNames)
{
  HttpHeaders headers = { { aHeaderNames.deadline, std::to_string(aCall.deadlineMs) } };
  if (aHeaderNames.propagatesLimits) {
    headers.emplace_back(kClassHeader, std::string(NameOf(aCall.trafficClass)));
    headers.emplace_back(kRetriesLeftHeader, std::to_string(aCall.retriesLeft));
  }
  return headers;
}

bool CallHeaderNames::IsReserved(std::string_view aName) const
{
  absl::string_view name(aName.data(), aName.size());
  for (const std::string* reserved :
       { &deadline, &targetUpstream, &callerService, &account, &refusal }) {
    if (absl::EqualsIgnoreCase(name, *reserved)) {
      return true;
    }
  }
  return IsCallHeader(aName);
}

bool IsHopByHopHeader(std::string_view aName, std::string_view aConnection)
{
  constexpr std::array<const char*, 9> kHopByHopHeaders = {
    "connection", "keep-alive", "transfer-encoding", "content-length", "upgrade",
    "te",         "trailer",    "proxy-connection",  "expect",
  };
  absl::string_view name(aName.data(), aName.size());
  auto isSame = [&](absl::string_view aHopByHopHeader) {
    return absl::EqualsIgnoreCase(name, absl::StripAsciiWhitespace(aHopByHopHeader));
  };
  if (std::any_of(kHopByHopHeaders.begin(), kHopByHopHeaders.end(), isSame)) {
    return true;
  }
  absl::string_view connection(aConnection.data(), aConnection.size());
  for (absl::string_view named : absl::StrSplit(connection, ',')) {
    if (isSame(named)) {
      return true;
    }
  }
  return false;
}

bool IsCallHeader(std::string_view aName)
{
  absl::string_view name(aName.data(), aName.size());
  auto isSame = [&](const char* aHeader) { return absl::EqualsIgnoreCase(name, aHeader); };
  return std::any_of(kCallHeaders.begin(), kCallHeaders.end(), isSame);
}

} // namespace dandelion
