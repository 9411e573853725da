#include "routing/UpstreamChoice.h"

#include <algorithm>
#include <cmath>

namespace dandelion {

namespace {

/// Ejection time after a first failure. It doubles with each consecutive failure, up to
/// `kMaxDoublings` times.
constexpr Duration kInitialEjection = milliseconds(250);
constexpr int kMaxDoublings = 5;
/// Weights of a slower and of a faster sample in the smoothed latency.
constexpr double kRisingLatencyWeight = 0.5;
constexpr double kFallingLatencyWeight = 0.1;
/// Without a sample the smoothed latency halves in this time, so that a slow upstream is tried
/// again.
constexpr Duration kLatencyHalfLife = seconds(5);
/// Latency assumed for an upstream without samples.
constexpr Duration kUnknownLatency = milliseconds(1);
/// Upstreams first seen within this time after the node started are not treated as new.
constexpr Duration kStartupGrace = seconds(5);
/// Largest factor by which the expected answer time of a new upstream is raised.
constexpr double kMaxColdStartFactor = 20;

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
/// Limit of the random addition to each cost: upstreams that differ by less share the calls.
constexpr Duration kTieJitter = milliseconds(3);

double HalfLives(Duration aAge, Duration aHalfLife)
{
  return std::chrono::duration<double>(aAge) / std::chrono::duration<double>(aHalfLife);
}

double Smoothed(double aOld, double aSample)
{
  double weight = aSample > aOld ? kRisingLatencyWeight : kFallingLatencyWeight;
  return aOld + weight * (aSample - aOld);
}

} // namespace

ChoiceStrategy MakeChoiceStrategy(ChoiceName aName)
{
  switch (aName) {
    case ChoiceName::Random:
      return RandomChoice{};
    case ChoiceName::TwoChoices:
      return TwoChoices{};
    case ChoiceName::LeastExpectedTime:
      return LeastExpectedTime{};
    case ChoiceName::EarliestFinish:
      return EarliestFinish{};
  }
  return LeastExpectedTime{};
}

UpstreamChoice::UpstreamChoice(ChoiceStrategy aStrategy, uint64_t aSeed, TimePoint aNow)
  : strategy_(aStrategy)
  , random_(aSeed)
  , createdAt_(aNow)
{
}

const Member* UpstreamChoice::Choose(const MemberTable& aTable,
                                     const Member& aSelf,
                                     const ChoiceQuery& aQuery,
                                     TimePoint aNow)
{
  Candidates all;
  for (const auto& [id, member] : aTable.All()) {
    if (member.service == aQuery.service && AcceptsWork(member) && aQuery.tried.count(id) == 0) {
      all.push_back(&member);
    }
  }
  if (std::holds_alternative<EarliestFinish>(strategy_)) {
    RemoveEjected(all, aNow);
    return PickEarliestFinish(all, aSelf, aQuery, aNow);
  }
  Candidates near = NearestUpstreams(all, aSelf, aQuery.mayCrossRegion);
  RemoveEjected(near, aNow);
  return near.empty() ? nullptr : PickOfTwo(near, aQuery.coldStart, aNow);
}

const Member* UpstreamChoice::PickEarliestFinish(const Candidates& aCandidates,
                                                 const Member& aSelf,
                                                 const ChoiceQuery& aQuery,
                                                 TimePoint aNow)
{
  // Large answers saturate the link between the regions and block all other traffic.
  bool staysInRegion = HasLargeAnswers(aQuery.costClass) && HasUpstreamInRegion(aCandidates, aSelf);
  const Member* best = nullptr;
  double bestCost = 0;
  Duration bestFinish = Duration::zero();
  for (const Member* member : aCandidates) {
    if (staysInRegion && member->region != aSelf.region) {
      continue;
    }
    auto found = upstreamStats_.find(member->id);
    const UpstreamStats* stats = found == upstreamStats_.end() ? nullptr : &found->second;
    Duration serviceTime = ExpectedServiceTime(stats, aQuery.costClass, aNow);
    Duration roundTrip = TypicalRoundTrip(*member, aSelf);
    if (stats != nullptr) {
      roundTrip = std::max(roundTrip, ObservedRoundTrip(*stats, aQuery.costClass, aNow));
    }
    Duration finish = serviceTime + roundTrip;
    double failures = 0;
    if (stats != nullptr) {
      finish += ExpectedQueueDelay(*stats, aQuery.costClass, serviceTime, aNow);
      if (HasLargeAnswers(aQuery.costClass)) {
        finish +=
          std::max(Duration::zero(),
                   stats->lastEstimate.estimate.linkDelay - (aNow - stats->lastEstimate.at));
      }
      failures = stats->failureRate *
                 std::exp2(-HalfLives(aNow - stats->failureRateAt, kFailureRateHalfLife));
    }
    Duration transferCost = TransferCost(*member, aSelf, aQuery.costClass);
    double cost = static_cast<double>((finish + transferCost).count()) +
                  failures * static_cast<double>(kFailureCost.count());
    // Without this jitter all callers would choose the same one of several equal upstreams.
    cost += static_cast<double>(random_() % static_cast<uint64_t>(kTieJitter.count()));
    if (best == nullptr || cost < bestCost) {
      best = member;
      bestCost = cost;
      bestFinish = finish;
    }
  }
  return aQuery.mustMeetTarget && bestFinish > aQuery.timeLeft ? nullptr : best;
}

bool UpstreamChoice::HasLargeAnswers(const std::string& aCostClass) const
{
  auto classStats = costClassStats_.find(aCostClass);
  return classStats != costClassStats_.end() && classStats->second.answerBytes >= kLargeAnswerBytes;
}

bool UpstreamChoice::HasUpstreamInRegion(const Candidates& aCandidates, const Member& aSelf)
{
  return std::any_of(aCandidates.begin(), aCandidates.end(), [&](const Member* aMember) {
    return aMember->region == aSelf.region;
  });
}

Duration UpstreamChoice::ExpectedQueueDelay(const UpstreamStats& aStats,
                                            const std::string& aCostClass,
                                            Duration aServiceTime,
                                            TimePoint aNow) const
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

Duration UpstreamChoice::ObservedRoundTrip(const UpstreamStats& aStats,
                                           const std::string& aCostClass,
                                           TimePoint aNow) const
{
  auto known = aStats.networkRoundTrip.find(aCostClass);
  if (known == aStats.networkRoundTrip.end()) {
    return Duration::zero();
  }
  double weight = std::exp2(-HalfLives(aNow - aStats.lastEstimate.at, kEstimateHalfLife));
  return Duration(static_cast<int64_t>(weight * static_cast<double>(known->second.count())));
}

Duration UpstreamChoice::ExpectedServiceTime(const UpstreamStats* aStats,
                                             const std::string& aCostClass,
                                             TimePoint aNow) const
{
  auto classStats = costClassStats_.find(aCostClass);
  Duration meanServiceTime =
    classStats == costClassStats_.end() ? kUnknownLatency : classStats->second.serviceTime;
  if (aStats == nullptr) {
    return meanServiceTime;
  }
  auto known = aStats->serviceTime.find(aCostClass);
  if (known == aStats->serviceTime.end()) {
    return meanServiceTime;
  }
  // The difference from the mean decays, so that an upstream that was slow is tried again.
  double weight = std::exp2(-HalfLives(aNow - aStats->lastEstimate.at, kEstimateHalfLife));
  double excess = static_cast<double>((known->second - meanServiceTime).count());
  return meanServiceTime + Duration(static_cast<int64_t>(weight * excess));
}

Duration UpstreamChoice::TypicalRoundTrip(const Member& aMember, const Member& aSelf) const
{
  if (aMember.id == aSelf.id) {
    return Duration::zero();
  }
  if (aMember.zone == aSelf.zone) {
    return kSameZoneRoundTrip;
  }
  return aMember.region == aSelf.region ? kSameRegionRoundTrip : kCrossRegionRoundTrip;
}

Duration UpstreamChoice::TransferCost(const Member& aMember,
                                      const Member& aSelf,
                                      const std::string& aCostClass) const
{
  auto classStats = costClassStats_.find(aCostClass);
  if (aMember.zone == aSelf.zone || classStats == costClassStats_.end()) {
    return Duration::zero();
  }
  bool isCrossRegion = aMember.region != aSelf.region;
  constexpr double kBytesPerKilobyte = 1024;
  double kilobytes = classStats->second.answerBytes / kBytesPerKilobyte;
  double perKilobyte = static_cast<double>(
    (isCrossRegion ? kCrossRegionCostPerKilobyte : kCrossZoneCostPerKilobyte).count());
  return Duration(static_cast<int64_t>(kilobytes * perKilobyte));
}

Duration UpstreamChoice::ShortestQueueDelay(const MemberTable& aTable,
                                            const ChoiceQuery& aQuery,
                                            TimePoint aNow) const
{
  std::optional<Duration> shortest;
  for (const auto& [id, member] : aTable.All()) {
    auto stats = upstreamStats_.find(id);
    if (member.service == aQuery.service && AcceptsWork(member) && stats != upstreamStats_.end()) {
      Duration serviceTime = ExpectedServiceTime(&stats->second, aQuery.costClass, aNow);
      Duration queueDelay = ExpectedQueueDelay(stats->second, aQuery.costClass, serviceTime, aNow);
      shortest = std::min(shortest.value_or(queueDelay), queueDelay);
    }
  }
  return shortest.value_or(Duration::zero());
}

void UpstreamChoice::OnAttemptStarted(const std::string& aMember)
{
  UpstreamStats& stats = upstreamStats_[aMember];
  ++stats.outstanding;
  ++stats.lastEstimate.attemptsSince;
  for (auto& [costClass, received] : stats.estimates) {
    ++received.attemptsSince;
  }
}

void UpstreamChoice::RecordResult(UpstreamStats& aStats,
                                  const AttemptResult& aResult,
                                  TimePoint aNow)
{
  double decayed =
    aStats.failureRate * std::exp2(-HalfLives(aNow - aStats.failureRateAt, kFailureRateHalfLife));
  aStats.failureRate = decayed + kFailureSampleWeight * ((aResult.hasFailed ? 1.0 : 0.0) - decayed);
  aStats.failureRateAt = aNow;
  if (!aResult.queueEstimate.has_value()) {
    return;
  }
  aStats.lastEstimate = ReceivedEstimate{ *aResult.queueEstimate, aNow, 0 };
  aStats.estimates[aResult.costClass] = aStats.lastEstimate;
  aStats.serviceTime[aResult.costClass] = aResult.queueEstimate->serviceTime;
  if (aResult.networkRoundTrip.has_value()) {
    Duration& roundTrip = aStats.networkRoundTrip[aResult.costClass];
    roundTrip += Duration(
      static_cast<int64_t>(kRoundTripSampleWeight *
                           static_cast<double>((*aResult.networkRoundTrip - roundTrip).count())));
  }
  CostClassStats& classStats = costClassStats_[aResult.costClass];
  bool isFirst = classStats.serviceTime == Duration::zero();
  double weight = isFirst ? 1 : kCostClassSampleWeight;
  double change = weight * static_cast<double>(
                             (aResult.queueEstimate->serviceTime - classStats.serviceTime).count());
  classStats.serviceTime += Duration(static_cast<int64_t>(change));
  if (aResult.answerBytes > 0) {
    weight = classStats.answerBytes == 0 ? 1 : kCostClassSampleWeight;
    classStats.answerBytes +=
      weight * (static_cast<double>(aResult.answerBytes) - classStats.answerBytes);
  }
}

void UpstreamChoice::OnAttemptEnded(const std::string& aMember,
                                    const AttemptResult& aResult,
                                    TimePoint aNow)
{
  UpstreamStats& stats = upstreamStats_[aMember];
  stats.outstanding = std::max<int64_t>(0, stats.outstanding - 1);
  bool isInformative = !aResult.isCensored || aResult.latency > stats.latency;
  if (isInformative) {
    double smoothed = Smoothed(static_cast<double>(stats.latency.count()),
                               static_cast<double>(aResult.latency.count()));
    stats.latency = Duration(static_cast<int64_t>(smoothed));
    stats.latencyAt = aNow;
  }
  if (aResult.isCensored) {
    return;
  }
  RecordResult(stats, aResult, aNow);
  stats.queueLength = aResult.queueLength;
  if (!aResult.hasFailed) {
    stats.consecutiveFailures = 0;
    return;
  }
  stats.ejectedUntil =
    aNow + kInitialEjection * (1 << std::min(stats.consecutiveFailures, kMaxDoublings));
  ++stats.consecutiveFailures;
}

int64_t UpstreamChoice::Outstanding(const std::string& aMember) const
{
  auto found = upstreamStats_.find(aMember);
  return found == upstreamStats_.end() ? 0 : found->second.outstanding;
}

UpstreamChoice::Candidates UpstreamChoice::NearestUpstreams(const Candidates& aAll,
                                                            const Member& aSelf,
                                                            bool aMayCross) const
{
  Candidates zone;
  Candidates region;
  Candidates rest;
  for (const Member* member : aAll) {
    if (member->zone == aSelf.zone) {
      zone.push_back(member);
    } else if (member->region == aSelf.region) {
      region.push_back(member);
    } else if (aMayCross) {
      rest.push_back(member);
    }
  }
  if (!zone.empty()) {
    return zone;
  }
  return region.empty() ? rest : region;
}

void UpstreamChoice::RemoveEjected(Candidates& aCandidates, TimePoint aNow) const
{
  Candidates healthy;
  for (const Member* member : aCandidates) {
    auto stats = upstreamStats_.find(member->id);
    if (stats == upstreamStats_.end() || stats->second.ejectedUntil <= aNow) {
      healthy.push_back(member);
    }
  }
  // If most upstreams are ejected, the fault is more likely on this node's side, so no ejection
  // counts.
  if (healthy.size() * 2 >= aCandidates.size()) {
    aCandidates = std::move(healthy);
  }
}

const Member* UpstreamChoice::PickOfTwo(const Candidates& aCandidates,
                                        Duration aColdStart,
                                        TimePoint aNow)
{
  size_t firstIndex = random_() % aCandidates.size();
  // The two differ if there are several candidates: a slow one compared with itself would win.
  size_t step = aCandidates.size() > 1 ? 1 + random_() % (aCandidates.size() - 1) : 0;
  const Member* first = aCandidates[firstIndex];
  const Member* second = aCandidates[(firstIndex + step) % aCandidates.size()];
  return std::visit(
    Overloaded{
      [&](const RandomChoice&) { return first; },
      [&](const TwoChoices&) { return Load(*second) < Load(*first) ? second : first; },
      [&](const EarliestFinish&) { return first; },
      [&](const LeastExpectedTime&) {
        double firstTime =
          ExpectedAnswerTime(*first, aNow) * ColdStartFactor(*first, aColdStart, aNow);
        double secondTime =
          ExpectedAnswerTime(*second, aNow) * ColdStartFactor(*second, aColdStart, aNow);
        return secondTime < firstTime ? second : first;
      },
    },
    strategy_);
}

double UpstreamChoice::ExpectedAnswerTime(const Member& aMember, TimePoint aNow) const
{
  double minLatency = static_cast<double>(kUnknownLatency.count());
  auto found = upstreamStats_.find(aMember.id);
  if (found == upstreamStats_.end()) {
    return minLatency;
  }
  const UpstreamStats& stats = found->second;
  double age = std::chrono::duration<double>(aNow - stats.latencyAt) /
               std::chrono::duration<double>(kLatencyHalfLife);
  double latency = static_cast<double>(stats.latency.count()) * std::exp2(-age);
  return std::max(latency, minLatency) * static_cast<double>(1 + Load(aMember));
}

double UpstreamChoice::ColdStartFactor(const Member& aMember, Duration aColdStart, TimePoint aNow)
{
  UpstreamStats& stats = upstreamStats_[aMember.id];
  if (stats.incarnation != aMember.incarnation) {
    stats.incarnation = aMember.incarnation;
    stats.firstSeen = aNow;
  }
  bool isWarm =
    stats.firstSeen - createdAt_ < kStartupGrace || aNow - stats.firstSeen >= aColdStart;
  if (isWarm) {
    return 1;
  }
  double elapsed = std::chrono::duration<double>(aNow - stats.firstSeen).count();
  double total = std::chrono::duration<double>(aColdStart).count();
  return std::min(kMaxColdStartFactor, total / std::max(elapsed, total / kMaxColdStartFactor));
}

int64_t UpstreamChoice::Load(const Member& aMember) const
{
  auto stats = upstreamStats_.find(aMember.id);
  return stats == upstreamStats_.end() ? 0 : stats->second.outstanding + stats->second.queueLength;
}

} // namespace dandelion
