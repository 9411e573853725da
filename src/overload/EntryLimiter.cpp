#include "overload/EntryLimiter.h"

#include <cmath>

namespace dandelion {

namespace {

/// Weight of one call in the smoothed share.
constexpr double kSampleWeight = 0.2;
/// Without calls the share halves in this time, so that room that has come back is found within two
/// seconds.
constexpr Duration kHalfLife = milliseconds(500);

double Decay(Duration aAge)
{
  return std::exp2(-std::chrono::duration<double>(aAge) / std::chrono::duration<double>(kHalfLife));
}

} // namespace

void EntryLimiter::OnCallEnded(const std::string& aService,
                               const std::string& aPolicy,
                               bool aWasRefused,
                               TimePoint aNow)
{
  Share& share = shares_[std::make_pair(aService, aPolicy)];
  share.refused *= Decay(aNow - share.at);
  share.refused += kSampleWeight * ((aWasRefused ? 1.0 : 0.0) - share.refused);
  share.at = aNow;
}

double EntryLimiter::RefusedShare(const std::string& aService,
                                  const std::string& aPolicy,
                                  TimePoint aNow) const
{
  auto found = shares_.find(std::make_pair(aService, aPolicy));
  return found == shares_.end() ? 0 : found->second.refused * Decay(aNow - found->second.at);
}

} // namespace dandelion
