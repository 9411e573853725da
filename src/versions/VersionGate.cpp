#include "versions/VersionGate.h"

#include <algorithm>

namespace dandelion {

void VersionGate::OnUpstream(const std::optional<std::string>& aVersion,
                             const std::string& aUpstreamId,
                             TimePoint aNow)
{
  upstreamId_ = aUpstreamId;
  if (aVersion == version_) {
    return;
  }
  version_ = aVersion;
  // At a first start no order can name the version that the upstream starts with.
  versionSeenAt_ = isFirstVersionKnown_ ? informedAsOf_ : aNow;
  isFirstVersionKnown_ = false;
  admitted_ = 0;
  maxCalls_ = 0;
  isPermitOpen_ = false;
  isUnlimited_ = false;
}

void VersionGate::OnMembers(bool aIsSameVersionRunning, bool aIsOtherVersionRunning, TimePoint aNow)
{
  isSameVersionRunning_ = aIsSameVersionRunning;
  isOtherVersionRunning_ = aIsOtherVersionRunning;
  if (isOtherVersionRunning_) {
    aloneSince_.reset();
  } else if (!aloneSince_.has_value()) {
    aloneSince_ = aNow;
  }
}

void VersionGate::AssumeNoOrder(TimePoint aNow)
{
  isInformed_ = true;
  informedAsOf_ = aNow;
  isFirstVersionKnown_ = !version_.has_value();
}

void VersionGate::OnPermit(const RolloutPermit& aPermit, TimePoint aNow)
{
  if (aPermit.orderRevision < order_) {
    return;
  }
  if (aPermit.ageMs >= 0) {
    isInformed_ = true;
    informedAsOf_ = std::max(informedAsOf_, aNow - milliseconds(aPermit.ageMs));
  }
  if (aPermit.orderRevision == 0) {
    return;
  }
  isInformed_ = true;
  if (aPermit.orderRevision > order_) {
    order_ = aPermit.orderRevision;
    target_ = aPermit.targetVersion;
    stage_ = RolloutStage::Canary;
    isStageStored_ = false;
    isPermitOpen_ = false;
    isUnlimited_ = false;
    closedVersion_.reset();
  }
  ApplyStage(aPermit);
  if (aPermit.stage < stage_) {
    // A judge that has not learned the stage yet.
    return;
  }
  permittedAt_ = aNow;
  isPermitOpen_ = aPermit.isOpen;
  isUnlimited_ = aPermit.maxCalls < 0;
  maxCalls_ = std::max(maxCalls_, aPermit.maxCalls);
}

void VersionGate::ApplyStage(const RolloutPermit& aPermit)
{
  bool isStored = aPermit.ageMs >= 0;
  bool isDecided = IsFinal(stage_) && isStageStored_;
  // What the store holds overrules a verdict that it does not hold.
  bool isOverruled = isStored && !isStageStored_ && IsFinal(aPermit.stage);
  if (!isDecided && (aPermit.stage >= stage_ || isOverruled)) {
    isStageStored_ = isStored || (isStageStored_ && aPermit.stage == stage_);
    stage_ = aPermit.stage;
  }
  if (stage_ == RolloutStage::Closing && version_.has_value() && !IsTarget()) {
    closedVersion_ = version_;
    closedUpstreamId_ = upstreamId_;
  }
}

bool VersionGate::IsAlone(TimePoint aNow) const
{
  return aloneSince_.has_value() && aNow - *aloneSince_ >= kAloneTime;
}

bool VersionGate::NeedsAnswer() const
{
  if (!isInformed_) {
    return true;
  }
  bool isNamed = order_ != 0 && (IsTarget() || !IsFinal(stage_));
  if (isNamed || !version_.has_value()) {
    return false;
  }
  bool isEstablished = isSameVersionRunning_ && !isOtherVersionRunning_;
  return informedAsOf_ < versionSeenAt_ && !isEstablished;
}

bool VersionGate::IsOrderRunning() const
{
  return order_ != 0 && !(IsFinal(stage_) && isStageStored_);
}

bool VersionGate::IsUnprovenOpen(TimePoint aNow) const
{
  if (!IsFresh(aNow)) {
    return IsAlone(aNow);
  }
  return isPermitOpen_ && (isUnlimited_ || admitted_ < maxCalls_);
}

bool VersionGate::IsOpen(TimePoint aNow) const
{
  if (order_ == 0) {
    return !NeedsAnswer() || IsAlone(aNow);
  }
  switch (stage_) {
    case RolloutStage::Canary:
    case RolloutStage::Opening:
      return version_.has_value() && (!IsTarget() || IsUnprovenOpen(aNow));
    case RolloutStage::Closing:
      // The version is proven. While no judge can be heard, both versions stay open.
      return version_.has_value() && (IsTarget() || !IsFresh(aNow));
    case RolloutStage::Completed: {
      bool isOld = closedVersion_.has_value() && closedVersion_ == version_ &&
                   closedUpstreamId_ == upstreamId_;
      return (!isOld && !NeedsAnswer()) || IsAlone(aNow);
    }
    case RolloutStage::RolledBack:
      return version_.has_value() && !IsTarget() && (!NeedsAnswer() || IsAlone(aNow));
  }
  return false;
}

} // namespace dandelion
