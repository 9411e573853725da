#include "wire/CallHeaders.h"

#include "absl/strings/match.h"
#include "absl/strings/numbers.h"

#include <algorithm>
#include <array>

namespace dandelion {

namespace {

constexpr std::array<const char*, 6> kCallHeaders = {
  kOutcomeHeader, kErrorHeader, kRetriedHeader, kDeadlineHeader, kClassHeader, kRepeatsHeader,
};
/// Longer time limits than this have no use and would overflow a clock.
constexpr int64_t kLongestTimeMs = 24 * 3600 * 1000;
constexpr int64_t kMostRepeats = 100;

absl::Status Unreadable(const char* aHeader, const std::string& aValue, const std::string& aRemedy)
{
  return MakeError(
    ErrorKind::Usage,
    fmt::format("header \"{}\" is \"{}\"; {}", aHeader, aValue.substr(0, 40), aRemedy));
}

absl::Status ReadNumber(const HttpHeaders& aHeaders,
                        const char* aName,
                        int64_t aMost,
                        std::optional<int64_t>& aValue)
{
  std::string text = FindHeader(aHeaders, aName);
  if (text.empty()) {
    return absl::OkStatus();
  }
  int64_t value = 0;
  if (!absl::SimpleAtoi(text, &value) || value < 0) {
    return Unreadable(aName, text, "give a whole number, 0 or more");
  }
  aValue = std::min(value, aMost);
  return absl::OkStatus();
}

} // namespace

absl::StatusOr<InheritedLimits> ReadLimits(const HttpHeaders& aHeaders)
{
  InheritedLimits limits;
  std::optional<int64_t> timeLeftMs;
  absl::Status status = ReadNumber(aHeaders, kDeadlineHeader, kLongestTimeMs, timeLeftMs);
  if (!status.ok()) {
    return status;
  }
  if (timeLeftMs.has_value()) {
    limits.timeLeft = milliseconds(*timeLeftMs);
  }
  status = ReadNumber(aHeaders, kRepeatsHeader, kMostRepeats, limits.repeatsLeft);
  if (!status.ok()) {
    return status;
  }
  std::string className = FindHeader(aHeaders, kClassHeader);
  limits.trafficClass = FromName<TrafficClass>(className);
  if (!className.empty() && !limits.trafficClass.has_value()) {
    return Unreadable(kClassHeader, className, "give one of " + AllNames<TrafficClass>());
  }
  return limits;
}

HttpHeaders MakeLimitHeaders(const OpenCall& aCall)
{
  return { { kDeadlineHeader, std::to_string(aCall.deadlineMs) },
           { kClassHeader, std::string(NameOf(aCall.trafficClass)) },
           { kRepeatsHeader, std::to_string(aCall.repeatsLeft) } };
}

bool IsCallHeader(std::string_view aName)
{
  absl::string_view name(aName.data(), aName.size());
  auto isSame = [&](const char* aHeader) { return absl::EqualsIgnoreCase(name, aHeader); };
  return std::any_of(kCallHeaders.begin(), kCallHeaders.end(), isSame);
}

} // namespace dandelion
