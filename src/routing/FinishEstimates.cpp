#include "routing/FinishEstimates.h"

#include <algorithm>
#include <cmath>

namespace dandelion {

namespace {

/// Typical round trips within a zone, within a region and between regions. The users' sizing table
/// gives 0.5 ms between zones and 20 ms between regions, one way.
constexpr Duration kSameZoneRoundTrip = microseconds(400);
constexpr Duration kSameRegionRoundTrip = milliseconds(1);
constexpr Duration kCrossRegionRoundTrip = milliseconds(40);
/// Delay that costs users about as much as sending a kilobyte of an answer over the paid links out
/// of the zone, and out of the region.
constexpr Duration kCrossZoneCostPerKilobyte = milliseconds(4);
constexpr Duration kCrossRegionCostPerKilobyte = milliseconds(14);
/// Answers of at least this mean size count as large.
constexpr double kLargeAnswerBytes = 16 * 1024;
/// Approximate time that a failed attempt costs its caller.
constexpr Duration kFailureCost = milliseconds(800);
constexpr Duration kFailureRateHalfLife = seconds(2);
/// Weight of one attempt in the smoothed failure rate, and of one answer in the statistics of a
/// cost class.
constexpr double kFailureSampleWeight = 0.2;
constexpr double kCostClassSampleWeight = 0.05;
/// Weight of one answer in the smoothed network round trip.
constexpr double kRoundTripSampleWeight = 0.3;
/// Without a new answer, the excess of an upstream's service time over the mean, and its network
/// round trip, halve in this time.
constexpr Duration kEstimateHalfLife = seconds(2);
/// Weight of one attempt in the smoothed expectation and in the smoothed error of expectations. An
/// error halves in `kErrorHalfLife` without a new answer, so that the upstream is tried again.
constexpr double kErrorSampleWeight = 0.3;
constexpr Duration kErrorHalfLife = seconds(5);
constexpr double kMaxError = 10;
/// Service time assumed for a cost class without samples.
constexpr Duration kUnknownServiceTime = milliseconds(1);

double HalfLives(Duration aAge, Duration aHalfLife)
{
  return std::chrono::duration<double>(aAge) / std::chrono::duration<double>(aHalfLife);
}

Duration Scaled(Duration aTime, double aFactor)
{
  return Duration(static_cast<int64_t>(aFactor * static_cast<double>(aTime.count())));
}

/// Network round trip that is typical of the distance to a member.
Duration TypicalRoundTrip(const Member& aMember, const Member& aSelf)
{
  if (aMember.id == aSelf.id) {
    return Duration::zero();
  }
  if (aMember.zone == aSelf.zone) {
    return kSameZoneRoundTrip;
  }
  return aMember.region == aSelf.region ? kSameRegionRoundTrip : kCrossRegionRoundTrip;
}

} // namespace

void FinishEstimates::OnAttemptStarted(const std::string& aMember)
{
  UpstreamStats& stats = upstreamStats_[aMember];
  ++stats.lastEstimate.attemptsSince;
  for (auto& [costClass, received] : stats.estimates) {
    ++received.attemptsSince;
  }
}

void FinishEstimates::OnChosen(const std::string& aMember,
                               const std::string& aCostClass,
                               Duration aFinish)
{
  Accuracy& accuracy = upstreamStats_[aMember].accuracy[aCostClass];
  bool isFirst = accuracy.expected == Duration::zero();
  accuracy.expected += Scaled(aFinish - accuracy.expected, isFirst ? 1 : kErrorSampleWeight);
}

void FinishEstimates::RecordLatency(UpstreamStats& aStats,
                                    const AttemptResult& aResult,
                                    TimePoint aNow)
{
  auto found = aStats.accuracy.find(aResult.costClass);
  // Refusals are quick and say nothing about the latency of answers.
  if (found == aStats.accuracy.end() || aResult.hasFailed || aResult.answerBytes == 0) {
    return;
  }
  double expected = static_cast<double>(std::max<int64_t>(1, found->second.expected.count()));
  double sample =
    std::clamp(static_cast<double>(aResult.latency.count()) / expected, 1 / kMaxError, kMaxError);
  found->second.error += kErrorSampleWeight * (sample - found->second.error);
  found->second.measuredAt = aNow;
}

double FinishEstimates::ErrorOf(const UpstreamStats& aStats,
                                const std::string& aCostClass,
                                TimePoint aNow)
{
  auto found = aStats.accuracy.find(aCostClass);
  if (found == aStats.accuracy.end()) {
    return 1;
  }
  double weight = std::exp2(-HalfLives(aNow - found->second.measuredAt, kErrorHalfLife));
  return 1 + weight * (found->second.error - 1);
}

void FinishEstimates::OnAttemptEnded(const std::string& aMember,
                                     const AttemptResult& aResult,
                                     TimePoint aNow)
{
  UpstreamStats& stats = upstreamStats_[aMember];
  double decayed =
    stats.failureRate * std::exp2(-HalfLives(aNow - stats.failureRateAt, kFailureRateHalfLife));
  stats.failureRate = decayed + kFailureSampleWeight * ((aResult.hasFailed ? 1.0 : 0.0) - decayed);
  stats.failureRateAt = aNow;
  RecordLatency(stats, aResult, aNow);
  if (!aResult.queueEstimate.has_value()) {
    // The attempt waits there no longer, although the queue is not known.
    auto endAttempt = [](ReceivedEstimate& aReceived) {
      aReceived.attemptsSince = std::max<int64_t>(0, aReceived.attemptsSince - 1);
    };
    endAttempt(stats.lastEstimate);
    for (auto& [costClass, received] : stats.estimates) {
      endAttempt(received);
    }
    return;
  }
  stats.lastEstimate = ReceivedEstimate{ *aResult.queueEstimate, aNow, 0 };
  stats.estimates[aResult.costClass] = stats.lastEstimate;
  if (aResult.networkRoundTrip.has_value()) {
    Duration& roundTrip = stats.networkRoundTrip[aResult.costClass];
    roundTrip += Scaled(*aResult.networkRoundTrip - roundTrip, kRoundTripSampleWeight);
  }
  RecordServiceTime(stats, aResult);
}

void FinishEstimates::RecordServiceTime(UpstreamStats& aStats, const AttemptResult& aResult)
{
  Duration serviceTime = aResult.queueEstimate->serviceTime;
  aStats.serviceTime[aResult.costClass] = serviceTime;
  CostClassStats& classStats = costClassStats_[aResult.costClass];
  bool isFirst = classStats.serviceTime == Duration::zero();
  classStats.serviceTime +=
    Scaled(serviceTime - classStats.serviceTime, isFirst ? 1 : kCostClassSampleWeight);
  if (aResult.answerBytes > 0) {
    double weight = classStats.answerBytes == 0 ? 1 : kCostClassSampleWeight;
    classStats.answerBytes +=
      weight * (static_cast<double>(aResult.answerBytes) - classStats.answerBytes);
  }
}

ExpectedFinish FinishEstimates::For(const Member& aMember,
                                    const Member& aSelf,
                                    const std::string& aCostClass,
                                    TimePoint aNow) const
{
  ExpectedFinish expected;
  auto found = upstreamStats_.find(aMember.id);
  const UpstreamStats* stats = found == upstreamStats_.end() ? nullptr : &found->second;
  Duration serviceTime = ServiceTime(stats, aCostClass, aNow);
  expected.serviceTime = serviceTime;
  Duration roundTrip = TypicalRoundTrip(aMember, aSelf);
  expected.transferCost = TransferCost(aMember, aSelf, aCostClass);
  if (stats == nullptr) {
    expected.finish = serviceTime + roundTrip;
    return expected;
  }
  roundTrip = std::max(roundTrip, RoundTrip(*stats, aCostClass, aNow));
  expected.finish = serviceTime + roundTrip + QueueDelay(*stats, aCostClass, serviceTime, aNow);
  if (HasLargeAnswers(aCostClass)) {
    expected.finish += std::max(
      Duration::zero(), stats->lastEstimate.estimate.linkDelay - (aNow - stats->lastEstimate.at));
  }
  double failures =
    stats->failureRate * std::exp2(-HalfLives(aNow - stats->failureRateAt, kFailureRateHalfLife));
  expected.failureCost = Scaled(kFailureCost, failures);
  expected.error = ErrorOf(*stats, aCostClass, aNow);
  return expected;
}

std::optional<Duration> FinishEstimates::QueueDelayAt(const std::string& aMember,
                                                      const std::string& aCostClass,
                                                      TimePoint aNow) const
{
  auto stats = upstreamStats_.find(aMember);
  if (stats == upstreamStats_.end()) {
    return std::nullopt;
  }
  return QueueDelay(stats->second, aCostClass, ServiceTime(&stats->second, aCostClass, aNow), aNow);
}

double FinishEstimates::AnswerBytes(const std::string& aCostClass) const
{
  auto classStats = costClassStats_.find(aCostClass);
  return classStats == costClassStats_.end() ? 0 : classStats->second.answerBytes;
}

bool FinishEstimates::HasLargeAnswers(const std::string& aCostClass) const
{
  return AnswerBytes(aCostClass) >= kLargeAnswerBytes;
}

Duration FinishEstimates::QueueDelay(const UpstreamStats& aStats,
                                     const std::string& aCostClass,
                                     Duration aServiceTime,
                                     TimePoint aNow)
{
  auto ofClass = aStats.estimates.find(aCostClass);
  const ReceivedEstimate& received =
    ofClass == aStats.estimates.end() ? aStats.lastEstimate : ofClass->second;
  // The queue is assumed to have shortened by the time since the estimate. Attempts that this node
  // has started since then wait behind it.
  Duration queueDelay =
    std::max(Duration::zero(), received.estimate.queueDelay - (aNow - received.at));
  int64_t slots = std::max<int64_t>(1, received.estimate.slots);
  int64_t behind = std::max<int64_t>(0, received.attemptsSince - received.estimate.freeSlots);
  return queueDelay + aServiceTime * behind / slots;
}

Duration FinishEstimates::RoundTrip(const UpstreamStats& aStats,
                                    const std::string& aCostClass,
                                    TimePoint aNow)
{
  auto known = aStats.networkRoundTrip.find(aCostClass);
  if (known == aStats.networkRoundTrip.end()) {
    return Duration::zero();
  }
  return Scaled(known->second,
                std::exp2(-HalfLives(aNow - aStats.lastEstimate.at, kEstimateHalfLife)));
}

Duration FinishEstimates::ServiceTime(const UpstreamStats* aStats,
                                      const std::string& aCostClass,
                                      TimePoint aNow) const
{
  auto classStats = costClassStats_.find(aCostClass);
  Duration mean =
    classStats == costClassStats_.end() ? kUnknownServiceTime : classStats->second.serviceTime;
  if (aStats == nullptr) {
    return mean;
  }
  auto known = aStats->serviceTime.find(aCostClass);
  if (known == aStats->serviceTime.end()) {
    return mean;
  }
  // The difference from the mean decays, so that an upstream that was slow is tried again.
  double weight = std::exp2(-HalfLives(aNow - aStats->lastEstimate.at, kEstimateHalfLife));
  return mean + Scaled(known->second - mean, weight);
}

Duration FinishEstimates::TransferCost(const Member& aMember,
                                       const Member& aSelf,
                                       const std::string& aCostClass) const
{
  if (aMember.zone == aSelf.zone) {
    return Duration::zero();
  }
  constexpr double kBytesPerKilobyte = 1024;
  bool isCrossRegion = aMember.region != aSelf.region;
  return Scaled(isCrossRegion ? kCrossRegionCostPerKilobyte : kCrossZoneCostPerKilobyte,
                AnswerBytes(aCostClass) / kBytesPerKilobyte);
}

} // namespace dandelion
