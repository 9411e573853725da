#include "spread/Freshness.h"

#include <algorithm>

namespace dandelion {

void Freshness::OnConfirmed(Version aVersion, TimePoint aAsOf, int64_t aRevision)
{
  if (aVersion <= inForce_) {
    confirmedAt_ = std::max(confirmedAt_, aAsOf);
    revision_ = std::max(revision_, aRevision);
    return;
  }
  if (aVersion > pendingVersion_) {
    pendingVersion_ = aVersion;
    pendingAt_ = aAsOf;
    pendingRevision_ = aRevision;
  } else if (aVersion == pendingVersion_) {
    pendingAt_ = std::max(pendingAt_, aAsOf);
    pendingRevision_ = std::max(pendingRevision_, aRevision);
  }
}

void Freshness::OnVersionInForce(Version aVersion)
{
  inForce_ = std::max(inForce_, aVersion);
  if (pendingVersion_ <= inForce_) {
    confirmedAt_ = std::max(confirmedAt_, pendingAt_);
    revision_ = std::max(revision_, pendingRevision_);
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
