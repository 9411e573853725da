#include "spread/Freshness.h"

#include <algorithm>

namespace dandelion {

void Freshness::OnConfirmed(Version aVersion, TimePoint aAsOf)
{
  if (aVersion <= inForce_) {
    confirmedAt_ = std::max(confirmedAt_, aAsOf);
  } else if (aVersion >= pendingVersion_) {
    pendingAt_ = aVersion > pendingVersion_ ? aAsOf : std::max(pendingAt_, aAsOf);
    pendingVersion_ = aVersion;
  }
}

void Freshness::OnVersionInForce(Version aVersion)
{
  inForce_ = std::max(inForce_, aVersion);
  if (pendingVersion_ <= inForce_) {
    confirmedAt_ = std::max(confirmedAt_, pendingAt_);
  }
}

bool Freshness::ShouldSend(TimePoint aAsOf)
{
  if (lastSentAsOf_.has_value() && aAsOf - *lastSentAsOf_ < kMinConfirmationInterval) {
    return false;
  }
  lastSentAsOf_ = aAsOf;
  return true;
}

} // namespace dandelion
