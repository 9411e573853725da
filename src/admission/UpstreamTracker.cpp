#include "admission/UpstreamTracker.h"

#include <algorithm>
#include <utility>

namespace dandelion {

namespace {

/// Slots assumed for an upstream that passed the health check and has sent no report.
constexpr int64_t kSlotsBeforeFirstReport = 2;
/// Versions may turn bad 3 s after the start of their upstream. Its first report may be sent
/// before.
constexpr Duration kMinWarmupTime = milliseconds(3500);

} // namespace

UpstreamTracker::UpstreamTracker(std::string aService)
  : service_(std::move(aService))
{
}

bool UpstreamTracker::IsSameIncarnation(const UpstreamReport& aReport) const
{
  return aReport.id == id_ && (!aReport.startTimeMs.has_value() || !startTimeMs_.has_value() ||
                               *aReport.startTimeMs == *startTimeMs_);
}

bool UpstreamTracker::IsStale(const UpstreamReport& aReport) const
{
  if (!condition_.has_value() || sequence_ < 0) {
    return false;
  }
  if (IsSameIncarnation(aReport)) {
    // An incarnation that is draining or gone never returns to an earlier condition. A report of an
    // earlier condition was delayed on its way.
    bool isLeaving = *condition_ != UpstreamCondition::Ready;
    bool isEarlierCondition = aReport.condition < *condition_;
    bool isOld = aReport.sequence.has_value() && *aReport.sequence <= sequence_;
    return (isLeaving && isEarlierCondition) || isOld;
  }
  return aReport.startTimeMs.has_value() && startTimeMs_.has_value() &&
         *aReport.startTimeMs <= *startTimeMs_;
}

ReportVerdict UpstreamTracker::HandleReport(const UpstreamReport& aReport, TimePoint aNow)
{
  bool isGone = aReport.condition == UpstreamCondition::Gone;
  if (!isGone && aReport.service != service_) {
    return ReportVerdict::WrongService;
  }
  if (isGone && !id_.empty() && aReport.id != id_) {
    return ReportVerdict::Stale;
  }
  if (IsStale(aReport)) {
    return ReportVerdict::Stale;
  }
  bool acceptedWork = AcceptsWork();
  bool isSame =
    IsSameIncarnation(aReport) && condition_ == aReport.condition &&
    (isGone || (slots_ == aReport.slots && softwareVersion_ == aReport.softwareVersion));
  if (!isGone) {
    bool isFirst = !IsSameIncarnation(aReport) || !softwareVersion_.has_value();
    warmAt_ = std::max(isFirst ? aNow + kMinWarmupTime : warmAt_, aNow + aReport.warmupLeft);
    softwareVersion_ = aReport.softwareVersion;
  }
  bool isOtherThanHealthy = sequence_ < 0 && !id_.empty() && aReport.id != id_;
  if (isOtherThanHealthy) {
    // Nothing tells yet which of the two started later.
    isConfirmed_ = false;
  }
  id_ = aReport.id;
  startTimeMs_ = aReport.startTimeMs.has_value() ? aReport.startTimeMs : startTimeMs_;
  sequence_ = aReport.sequence.value_or(sequence_ < 0 ? 0 : sequence_);
  condition_ = aReport.condition;
  if (!isGone) {
    slots_ = aReport.slots;
  }
  return isSame && acceptedWork == AcceptsWork() ? ReportVerdict::Unchanged
                                                 : ReportVerdict::Applied;
}

void UpstreamTracker::HandleHealthCheck(const HealthCheckResult& aResult)
{
  if (isConfirmed_ || aResult.status != HealthStatus::Healthy) {
    return;
  }
  if (AwaitsHealthCheck() && aResult.id != id_) {
    // The report was late: another upstream runs. Its reports must not be compared with that one.
    *this = UpstreamTracker(service_);
    return;
  }
  if (!condition_.has_value()) {
    id_ = aResult.id;
    slots_ = kSlotsBeforeFirstReport;
    condition_ = UpstreamCondition::Ready;
  }
  isConfirmed_ = condition_ == UpstreamCondition::Ready;
}

bool UpstreamTracker::HandleLeaving(const std::string& aId)
{
  if (aId != id_ || condition_ != UpstreamCondition::Ready) {
    return false;
  }
  if (sequence_ < 0) {
    // Without a report, a later one cannot be told from an earlier one. The health check can.
    *this = UpstreamTracker(service_);
  } else {
    condition_ = UpstreamCondition::Draining;
  }
  return true;
}

bool UpstreamTracker::AcceptsWork() const
{
  return condition_ == UpstreamCondition::Ready && isConfirmed_;
}

} // namespace dandelion
