#include "routing/UpstreamChoice.h"

#include <algorithm>
#include <cmath>

namespace dandelion {

namespace {

constexpr Duration kInitialEjection = milliseconds(250);
constexpr int kMaxDoublings = 5;
/// Share of a slower sample that the smoothed latency takes over, and of a faster one.
constexpr double kRisingLatencyWeight = 0.5;
constexpr double kFallingLatencyWeight = 0.1;
/// Evidence of slowness halves in this time without a sample, so that a slow upstream is probed.
constexpr Duration kLatencyHalfLife = seconds(5);
/// Time of an answer where nothing is known.
constexpr Duration kUnknownLatency = milliseconds(1);
/// Upstreams that are there when the node starts are not new.
constexpr Duration kStartupGrace = seconds(5);
constexpr double kMaxColdStartFactor = 20;

/// Round trips by distance: in the zone, in the region, between the regions (the users' table of
/// sizes: 0.5 ms between zones, 20 ms between regions, one way).
constexpr Duration kSameZoneRoundTrip = microseconds(400);
constexpr Duration kSameRegionRoundTrip = milliseconds(1);
constexpr Duration kCrossRegionRoundTrip = milliseconds(40);
/// Time that callers would rather wait than send a kilobyte of an answer out of the zone, and out
/// of the region: the paid links cost the users about what these delays cost them.
constexpr Duration kCrossZoneCostPerKilobyte = milliseconds(4);
constexpr Duration kCrossRegionCostPerKilobyte = milliseconds(14);
/// Answers of this size are counted as large.
constexpr double kLargeAnswerBytes = 16 * 1024;
/// A failed attempt costs its caller about this much time.
constexpr Duration kFailureCost = milliseconds(800);
constexpr Duration kFailureRateHalfLife = seconds(2);
/// Share of one attempt in the smoothed share of failures, and of one answer in what is known of
/// a kind.
constexpr double kFailureSampleWeight = 0.2;
constexpr double kCostClassSampleWeight = 0.05;
/// Share of one answer in the smoothed time on the way.
constexpr double kRoundTripSampleWeight = 0.3;
/// Evidence that an upstream is slower than others halves in this time without a new answer.
constexpr Duration kEstimateHalfLife = seconds(2);
/// Differences below this are left to chance.
constexpr Duration kTieJitter = milliseconds(3);

double HalfLives(Duration aAge, Duration aHalfLife)
{
  return std::chrono::duration<double>(aAge) / std::chrono::duration<double>(aHalfLife);
}

double Smoothed(double aOld, double aSample)
{
  double share = aSample > aOld ? kRisingLatencyWeight : kFallingLatencyWeight;
  return aOld + share * (aSample - aOld);
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
  // Large answers fill the link between the regions, and then nothing else gets through.
  bool staysInRegion = HasLargeAnswers(aQuery.costClass) && HasUpstreamInRegion(aCandidates, aSelf);
  const Member* best = nullptr;
  double bestCost = 0;
  Duration bestFinish = Duration::zero();
  for (const Member* member : aCandidates) {
    if (staysInRegion && member->region != aSelf.region) {
      continue;
    }
    auto found = upstreamStats_.find(member->id);
    const UpstreamStats* seen = found == upstreamStats_.end() ? nullptr : &found->second;
    Duration work = ExpectedServiceTime(seen, aQuery.costClass, aNow);
    Duration way = TypicalRoundTrip(*member, aSelf);
    if (seen != nullptr) {
      way = std::max(way, ObservedRoundTrip(*seen, aQuery.costClass, aNow));
    }
    Duration finish = work + way;
    double failures = 0;
    if (seen != nullptr) {
      finish += ExpectedQueueDelay(*seen, work, aNow);
      if (HasLargeAnswers(aQuery.costClass)) {
        finish += std::max(Duration::zero(),
                           seen->queueEstimate.linkDelay - (aNow - seen->queueEstimateAt));
      }
      failures =
        seen->failureRate * std::exp2(-HalfLives(aNow - seen->failureRateAt, kFailureRateHalfLife));
    }
    Duration price = TransferCost(*member, aSelf, aQuery.costClass);
    double cost = static_cast<double>((finish + price).count()) +
                  failures * static_cast<double>(kFailureCost.count());
    // A little chance, or all callers would go to the same of several equal ones.
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
  auto kind = costClassStats_.find(aCostClass);
  return kind != costClassStats_.end() && kind->second.answerBytes >= kLargeAnswerBytes;
}

bool UpstreamChoice::HasUpstreamInRegion(const Candidates& aCandidates, const Member& aSelf)
{
  return std::any_of(aCandidates.begin(), aCandidates.end(), [&](const Member* aMember) {
    return aMember->region == aSelf.region;
  });
}

Duration UpstreamChoice::ExpectedQueueDelay(const UpstreamStats& aSeen,
                                            Duration aWork,
                                            TimePoint aNow) const
{
  // The queue that was seen moves on; what this node has sent since stands behind it.
  Duration wait =
    std::max(Duration::zero(), aSeen.queueEstimate.queueDelay - (aNow - aSeen.queueEstimateAt));
  int64_t slots = std::max<int64_t>(1, aSeen.queueEstimate.slots);
  int64_t behind =
    std::max<int64_t>(0, aSeen.attemptsSinceEstimate - aSeen.queueEstimate.freeSlots);
  return wait + aWork * behind / slots;
}

Duration UpstreamChoice::ObservedRoundTrip(const UpstreamStats& aSeen,
                                           const std::string& aCostClass,
                                           TimePoint aNow) const
{
  auto known = aSeen.networkRoundTrip.find(aCostClass);
  if (known == aSeen.networkRoundTrip.end()) {
    return Duration::zero();
  }
  double weight = std::exp2(-HalfLives(aNow - aSeen.queueEstimateAt, kEstimateHalfLife));
  return Duration(static_cast<int64_t>(weight * static_cast<double>(known->second.count())));
}

Duration UpstreamChoice::ExpectedServiceTime(const UpstreamStats* aSeen,
                                             const std::string& aCostClass,
                                             TimePoint aNow) const
{
  auto kind = costClassStats_.find(aCostClass);
  Duration usual = kind == costClassStats_.end() ? kUnknownLatency : kind->second.serviceTime;
  if (aSeen == nullptr) {
    return usual;
  }
  auto known = aSeen->serviceTime.find(aCostClass);
  if (known == aSeen->serviceTime.end()) {
    return usual;
  }
  // Evidence of slowness fades, so that an upstream that was slow is tried again.
  double weight = std::exp2(-HalfLives(aNow - aSeen->queueEstimateAt, kEstimateHalfLife));
  double excess = static_cast<double>((known->second - usual).count());
  return usual + Duration(static_cast<int64_t>(weight * excess));
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
  auto kind = costClassStats_.find(aCostClass);
  if (aMember.zone == aSelf.zone || kind == costClassStats_.end()) {
    return Duration::zero();
  }
  bool isFar = aMember.region != aSelf.region;
  constexpr double kBytesPerKilobyte = 1024;
  double kilobytes = kind->second.answerBytes / kBytesPerKilobyte;
  double perKilobyte =
    static_cast<double>((isFar ? kCrossRegionCostPerKilobyte : kCrossZoneCostPerKilobyte).count());
  return Duration(static_cast<int64_t>(kilobytes * perKilobyte));
}

Duration UpstreamChoice::ShortestWait(const MemberTable& aTable,
                                      const ChoiceQuery& aQuery,
                                      TimePoint aNow) const
{
  std::optional<Duration> shortest;
  for (const auto& [id, member] : aTable.All()) {
    auto seen = upstreamStats_.find(id);
    if (member.service == aQuery.service && AcceptsWork(member) && seen != upstreamStats_.end()) {
      Duration work = ExpectedServiceTime(&seen->second, aQuery.costClass, aNow);
      Duration wait = ExpectedQueueDelay(seen->second, work, aNow);
      shortest = std::min(shortest.value_or(wait), wait);
    }
  }
  return shortest.value_or(Duration::zero());
}

void UpstreamChoice::OnAttemptBegan(const std::string& aMember)
{
  UpstreamStats& seen = upstreamStats_[aMember];
  ++seen.outstanding;
  ++seen.attemptsSinceEstimate;
}

void UpstreamChoice::RecordResult(UpstreamStats& aSeen,
                                  const AttemptResult& aResult,
                                  TimePoint aNow)
{
  double faded =
    aSeen.failureRate * std::exp2(-HalfLives(aNow - aSeen.failureRateAt, kFailureRateHalfLife));
  aSeen.failureRate = faded + kFailureSampleWeight * ((aResult.hasFailed ? 1.0 : 0.0) - faded);
  aSeen.failureRateAt = aNow;
  if (!aResult.queueEstimate.has_value()) {
    return;
  }
  aSeen.queueEstimate = *aResult.queueEstimate;
  aSeen.queueEstimateAt = aNow;
  aSeen.attemptsSinceEstimate = 0;
  aSeen.serviceTime[aResult.costClass] = aResult.queueEstimate->serviceTime;
  if (aResult.networkRoundTrip.has_value()) {
    Duration& way = aSeen.networkRoundTrip[aResult.costClass];
    way += Duration(static_cast<int64_t>(
      kRoundTripSampleWeight * static_cast<double>((*aResult.networkRoundTrip - way).count())));
  }
  CostClassStats& kind = costClassStats_[aResult.costClass];
  bool isFirst = kind.serviceTime == Duration::zero();
  double share = isFirst ? 1 : kCostClassSampleWeight;
  double change =
    share * static_cast<double>((aResult.queueEstimate->serviceTime - kind.serviceTime).count());
  kind.serviceTime += Duration(static_cast<int64_t>(change));
  if (aResult.answerBytes > 0) {
    share = kind.answerBytes == 0 ? 1 : kCostClassSampleWeight;
    kind.answerBytes += share * (static_cast<double>(aResult.answerBytes) - kind.answerBytes);
  }
}

void UpstreamChoice::OnAttemptEnded(const std::string& aMember,
                                    const AttemptResult& aResult,
                                    TimePoint aNow)
{
  UpstreamStats& seen = upstreamStats_[aMember];
  seen.outstanding = std::max<int64_t>(0, seen.outstanding - 1);
  bool isInformative = !aResult.isCensored || aResult.latency > seen.latency;
  if (isInformative) {
    double smoothed = Smoothed(static_cast<double>(seen.latency.count()),
                               static_cast<double>(aResult.latency.count()));
    seen.latency = Duration(static_cast<int64_t>(smoothed));
    seen.latencyAt = aNow;
  }
  if (aResult.isCensored) {
    return;
  }
  RecordResult(seen, aResult, aNow);
  seen.queueLength = aResult.queueLength;
  if (!aResult.hasFailed) {
    seen.consecutiveFailures = 0;
    return;
  }
  seen.ejectedUntil =
    aNow + kInitialEjection * (1 << std::min(seen.consecutiveFailures, kMaxDoublings));
  ++seen.consecutiveFailures;
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
    auto seen = upstreamStats_.find(member->id);
    if (seen == upstreamStats_.end() || seen->second.ejectedUntil <= aNow) {
      healthy.push_back(member);
    }
  }
  // When most look bad the evidence is more likely about us, so none of it is trusted.
  if (healthy.size() * 2 >= aCandidates.size()) {
    aCandidates = std::move(healthy);
  }
}

const Member* UpstreamChoice::PickOfTwo(const Candidates& aCandidates,
                                        Duration aColdStart,
                                        TimePoint aNow)
{
  size_t firstIndex = random_() % aCandidates.size();
  // Two different ones where there are two: else a slow one is compared with itself.
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
  double unknown = static_cast<double>(kUnknownLatency.count());
  auto found = upstreamStats_.find(aMember.id);
  if (found == upstreamStats_.end()) {
    return unknown;
  }
  const UpstreamStats& seen = found->second;
  double age = std::chrono::duration<double>(aNow - seen.latencyAt) /
               std::chrono::duration<double>(kLatencyHalfLife);
  double latency = static_cast<double>(seen.latency.count()) * std::exp2(-age);
  return std::max(latency, unknown) * static_cast<double>(1 + Load(aMember));
}

double UpstreamChoice::ColdStartFactor(const Member& aMember, Duration aColdStart, TimePoint aNow)
{
  UpstreamStats& seen = upstreamStats_[aMember.id];
  if (seen.incarnation != aMember.incarnation) {
    seen.incarnation = aMember.incarnation;
    seen.firstSeen = aNow;
  }
  bool isOld = seen.firstSeen - createdAt_ < kStartupGrace || aNow - seen.firstSeen >= aColdStart;
  if (isOld) {
    return 1;
  }
  double elapsed = std::chrono::duration<double>(aNow - seen.firstSeen).count();
  double whole = std::chrono::duration<double>(aColdStart).count();
  return std::min(kMaxColdStartFactor, whole / std::max(elapsed, whole / kMaxColdStartFactor));
}

int64_t UpstreamChoice::Load(const Member& aMember) const
{
  auto seen = upstreamStats_.find(aMember.id);
  return seen == upstreamStats_.end() ? 0 : seen->second.outstanding + seen->second.queueLength;
}

} // namespace dandelion
