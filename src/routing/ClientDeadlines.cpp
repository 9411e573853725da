#include "routing/ClientDeadlines.h"

#include <algorithm>

namespace dandelion {

namespace {

/// A deadline is the usual one if at least this many calls are known and one in
/// `kUsualShareDivisor` of them has it. Under overload two of three attempts may be repeated ones;
/// calls that upstreams make inherit deadlines that are all different.
constexpr size_t kMinSamples = 8;
constexpr size_t kUsualShareDivisor = 4;

} // namespace

Duration ClientDeadlines::Observe(const std::string& aPolicy, std::optional<Duration> aTimeLeft)
{
  if (!aTimeLeft.has_value()) {
    return Duration::zero();
  }
  Recent& recent = byPolicy_[aPolicy];
  int64_t timeLeftMs = ToMilliseconds(*aTimeLeft);
  recent.timesLeftMs[recent.count++ % kSamples] = timeLeftMs;
  std::optional<int64_t> usual = UsualTimeLeftMs(recent);
  return usual.has_value() ? milliseconds(std::max<int64_t>(0, *usual - timeLeftMs))
                           : Duration::zero();
}

std::optional<int64_t> ClientDeadlines::UsualTimeLeftMs(const Recent& aRecent)
{
  size_t known = std::min(aRecent.count, kSamples);
  auto end = aRecent.timesLeftMs.begin() + static_cast<std::ptrdiff_t>(known);
  std::optional<int64_t> usual;
  std::ptrdiff_t highest = 0;
  for (auto sample = aRecent.timesLeftMs.begin(); sample != end; ++sample) {
    std::ptrdiff_t count = std::count(aRecent.timesLeftMs.begin(), end, *sample);
    if (count > highest) {
      highest = count;
      usual = *sample;
    }
  }
  bool isUsual = known >= kMinSamples && static_cast<size_t>(highest) * kUsualShareDivisor >= known;
  return isUsual ? usual : std::nullopt;
}

} // namespace dandelion
