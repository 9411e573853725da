#include "routing/UpstreamChoice.h"

#include <algorithm>
#include <cmath>

namespace dandelion {

namespace {

constexpr Duration kFirstAside = milliseconds(250);
constexpr int kMaxDoublings = 5;
/// Share of a slower sample that the smoothed latency takes over, and of a faster one.
constexpr double kRise = 0.5;
constexpr double kFall = 0.1;
/// Evidence of slowness halves in this time without a sample, so that a slow upstream is probed.
constexpr Duration kEvidenceHalfLife = seconds(5);
/// Time of an answer where nothing is known.
constexpr Duration kUnknownLatency = milliseconds(1);
/// Upstreams that are there when the node starts are not new.
constexpr Duration kStartGrace = seconds(5);
constexpr double kMaxColdFactor = 20;

/// Round trips by distance: in the zone, in the region, between the regions (the users' table of
/// sizes: 0.5 ms between zones, 20 ms between regions, one way).
constexpr Duration kZoneRoundTrip = microseconds(400);
constexpr Duration kRegionRoundTrip = milliseconds(1);
constexpr Duration kFarRoundTrip = milliseconds(40);
/// Time that callers would rather wait than send a kilobyte of an answer out of the zone, and out
/// of the region: the paid links cost the users about what these delays cost them.
constexpr Duration kZoneKilobyte = milliseconds(4);
constexpr Duration kFarKilobyte = milliseconds(14);
/// Answers of this size are counted as large.
constexpr double kBulkBytes = 16 * 1024;
/// A failed attempt costs its caller about this much time.
constexpr Duration kCostOfFailure = milliseconds(800);
constexpr Duration kFailureHalfLife = seconds(2);
/// Share of one attempt in the smoothed share of failures, and of one answer in what is known of
/// a kind.
constexpr double kFailureShare = 0.2;
constexpr double kKindShare = 0.05;
/// Share of one answer in the smoothed time on the way.
constexpr double kWayShare = 0.3;
/// Evidence that an upstream is slower than others halves in this time without a new answer.
constexpr Duration kSlownessHalfLife = seconds(2);
/// Differences below this are left to chance.
constexpr Duration kTie = milliseconds(3);

double HalfLives(Duration aAge, Duration aHalfLife)
{
  return std::chrono::duration<double>(aAge) / std::chrono::duration<double>(aHalfLife);
}

double Smoothed(double aOld, double aSample)
{
  double share = aSample > aOld ? kRise : kFall;
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
    PreferHealthy(all, aNow);
    return PickEarliest(all, aSelf, aQuery, aNow);
  }
  Candidates near = Near(all, aSelf, aQuery.mayCrossRegion);
  PreferHealthy(near, aNow);
  return near.empty() ? nullptr : Pick(near, aQuery.coldStart, aNow);
}

const Member* UpstreamChoice::PickEarliest(const Candidates& aCandidates,
                                           const Member& aSelf,
                                           const ChoiceQuery& aQuery,
                                           TimePoint aNow)
{
  // Large answers fill the link between the regions, and then nothing else gets through.
  bool staysInRegion = IsBulk(aQuery.costClass) && HasNear(aCandidates, aSelf);
  const Member* best = nullptr;
  double bestCost = 0;
  Duration bestFinish = Duration::zero();
  for (const Member* member : aCandidates) {
    if (staysInRegion && member->region != aSelf.region) {
      continue;
    }
    auto found = seen_.find(member->id);
    const Seen* seen = found == seen_.end() ? nullptr : &found->second;
    Duration work = ExpectedWork(seen, aQuery.costClass, aNow);
    Duration way = Distance(*member, aSelf);
    if (seen != nullptr) {
      way = std::max(way, ExpectedWay(*seen, aQuery.costClass, aNow));
    }
    Duration finish = work + way;
    double failures = 0;
    if (seen != nullptr) {
      finish += ExpectedWait(*seen, work, aNow);
      if (IsBulk(aQuery.costClass)) {
        finish += std::max(Duration::zero(),
                           seen->queueEstimate.linkDelay - (aNow - seen->queueEstimateAt));
      }
      failures = seen->failures * std::exp2(-HalfLives(aNow - seen->failuresAt, kFailureHalfLife));
    }
    Duration price = PriceOfBytes(*member, aSelf, aQuery.costClass);
    double cost = static_cast<double>((finish + price).count()) +
                  failures * static_cast<double>(kCostOfFailure.count());
    // A little chance, or all callers would go to the same of several equal ones.
    cost += static_cast<double>(random_() % static_cast<uint64_t>(kTie.count()));
    if (best == nullptr || cost < bestCost) {
      best = member;
      bestCost = cost;
      bestFinish = finish;
    }
  }
  return aQuery.mustMeetTarget && bestFinish > aQuery.timeLeft ? nullptr : best;
}

bool UpstreamChoice::IsBulk(const std::string& aCostClass) const
{
  auto kind = kinds_.find(aCostClass);
  return kind != kinds_.end() && kind->second.answerBytes >= kBulkBytes;
}

bool UpstreamChoice::HasNear(const Candidates& aCandidates, const Member& aSelf)
{
  return std::any_of(aCandidates.begin(), aCandidates.end(), [&](const Member* aMember) {
    return aMember->region == aSelf.region;
  });
}

Duration UpstreamChoice::ExpectedWait(const Seen& aSeen, Duration aWork, TimePoint aNow) const
{
  // The queue that was seen moves on; what this node has sent since stands behind it.
  Duration wait =
    std::max(Duration::zero(), aSeen.queueEstimate.queueDelay - (aNow - aSeen.queueEstimateAt));
  int64_t slots = std::max<int64_t>(1, aSeen.queueEstimate.slots);
  int64_t behind = std::max<int64_t>(0, aSeen.begunSince - aSeen.queueEstimate.freeSlots);
  return wait + aWork * behind / slots;
}

Duration UpstreamChoice::ExpectedWay(const Seen& aSeen,
                                     const std::string& aCostClass,
                                     TimePoint aNow) const
{
  auto known = aSeen.networkRoundTrip.find(aCostClass);
  if (known == aSeen.networkRoundTrip.end()) {
    return Duration::zero();
  }
  double weight = std::exp2(-HalfLives(aNow - aSeen.queueEstimateAt, kSlownessHalfLife));
  return Duration(static_cast<int64_t>(weight * static_cast<double>(known->second.count())));
}

Duration UpstreamChoice::ExpectedWork(const Seen* aSeen,
                                      const std::string& aCostClass,
                                      TimePoint aNow) const
{
  auto kind = kinds_.find(aCostClass);
  Duration usual = kind == kinds_.end() ? kUnknownLatency : kind->second.serviceTime;
  if (aSeen == nullptr) {
    return usual;
  }
  auto known = aSeen->serviceTime.find(aCostClass);
  if (known == aSeen->serviceTime.end()) {
    return usual;
  }
  // Evidence of slowness fades, so that an upstream that was slow is tried again.
  double weight = std::exp2(-HalfLives(aNow - aSeen->queueEstimateAt, kSlownessHalfLife));
  double excess = static_cast<double>((known->second - usual).count());
  return usual + Duration(static_cast<int64_t>(weight * excess));
}

Duration UpstreamChoice::Distance(const Member& aMember, const Member& aSelf) const
{
  if (aMember.id == aSelf.id) {
    return Duration::zero();
  }
  if (aMember.zone == aSelf.zone) {
    return kZoneRoundTrip;
  }
  return aMember.region == aSelf.region ? kRegionRoundTrip : kFarRoundTrip;
}

Duration UpstreamChoice::PriceOfBytes(const Member& aMember,
                                      const Member& aSelf,
                                      const std::string& aCostClass) const
{
  auto kind = kinds_.find(aCostClass);
  if (aMember.zone == aSelf.zone || kind == kinds_.end()) {
    return Duration::zero();
  }
  bool isFar = aMember.region != aSelf.region;
  constexpr double kBytesPerKilobyte = 1024;
  double kilobytes = kind->second.answerBytes / kBytesPerKilobyte;
  double perKilobyte = static_cast<double>((isFar ? kFarKilobyte : kZoneKilobyte).count());
  return Duration(static_cast<int64_t>(kilobytes * perKilobyte));
}

Duration UpstreamChoice::ShortestWait(const MemberTable& aTable,
                                      const ChoiceQuery& aQuery,
                                      TimePoint aNow) const
{
  std::optional<Duration> shortest;
  for (const auto& [id, member] : aTable.All()) {
    auto seen = seen_.find(id);
    if (member.service == aQuery.service && AcceptsWork(member) && seen != seen_.end()) {
      Duration work = ExpectedWork(&seen->second, aQuery.costClass, aNow);
      Duration wait = ExpectedWait(seen->second, work, aNow);
      shortest = std::min(shortest.value_or(wait), wait);
    }
  }
  return shortest.value_or(Duration::zero());
}

void UpstreamChoice::OnAttemptBegan(const std::string& aMember)
{
  Seen& seen = seen_[aMember];
  ++seen.outstanding;
  ++seen.begunSince;
}

void UpstreamChoice::TakeQueueEstimate(Seen& aSeen, const AttemptResult& aResult, TimePoint aNow)
{
  double faded = aSeen.failures * std::exp2(-HalfLives(aNow - aSeen.failuresAt, kFailureHalfLife));
  aSeen.failures = faded + kFailureShare * ((aResult.hasFailed ? 1.0 : 0.0) - faded);
  aSeen.failuresAt = aNow;
  if (!aResult.queueEstimate.has_value()) {
    return;
  }
  aSeen.queueEstimate = *aResult.queueEstimate;
  aSeen.queueEstimateAt = aNow;
  aSeen.begunSince = 0;
  aSeen.serviceTime[aResult.costClass] = aResult.queueEstimate->serviceTime;
  if (aResult.networkRoundTrip.has_value()) {
    Duration& way = aSeen.networkRoundTrip[aResult.costClass];
    way += Duration(static_cast<int64_t>(
      kWayShare * static_cast<double>((*aResult.networkRoundTrip - way).count())));
  }
  KindSeen& kind = kinds_[aResult.costClass];
  bool isFirst = kind.serviceTime == Duration::zero();
  double share = isFirst ? 1 : kKindShare;
  double change =
    share * static_cast<double>((aResult.queueEstimate->serviceTime - kind.serviceTime).count());
  kind.serviceTime += Duration(static_cast<int64_t>(change));
  if (aResult.answerBytes > 0) {
    share = kind.answerBytes == 0 ? 1 : kKindShare;
    kind.answerBytes += share * (static_cast<double>(aResult.answerBytes) - kind.answerBytes);
  }
}

void UpstreamChoice::OnAttemptEnded(const std::string& aMember,
                                    const AttemptResult& aResult,
                                    TimePoint aNow)
{
  Seen& seen = seen_[aMember];
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
  TakeQueueEstimate(seen, aResult, aNow);
  seen.queueLength = aResult.queueLength;
  if (!aResult.hasFailed) {
    seen.failuresInRow = 0;
    return;
  }
  seen.asideUntil = aNow + kFirstAside * (1 << std::min(seen.failuresInRow, kMaxDoublings));
  ++seen.failuresInRow;
}

int64_t UpstreamChoice::Outstanding(const std::string& aMember) const
{
  auto found = seen_.find(aMember);
  return found == seen_.end() ? 0 : found->second.outstanding;
}

UpstreamChoice::Candidates UpstreamChoice::Near(const Candidates& aAll,
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

void UpstreamChoice::PreferHealthy(Candidates& aCandidates, TimePoint aNow) const
{
  Candidates healthy;
  for (const Member* member : aCandidates) {
    auto seen = seen_.find(member->id);
    if (seen == seen_.end() || seen->second.asideUntil <= aNow) {
      healthy.push_back(member);
    }
  }
  // When most look bad the evidence is more likely about us, so none of it is trusted.
  if (healthy.size() * 2 >= aCandidates.size()) {
    aCandidates = std::move(healthy);
  }
}

const Member* UpstreamChoice::Pick(const Candidates& aCandidates,
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
        double firstTime = ExpectedTime(*first, aNow) * ColdFactor(*first, aColdStart, aNow);
        double secondTime = ExpectedTime(*second, aNow) * ColdFactor(*second, aColdStart, aNow);
        return secondTime < firstTime ? second : first;
      },
    },
    strategy_);
}

double UpstreamChoice::ExpectedTime(const Member& aMember, TimePoint aNow) const
{
  double unknown = static_cast<double>(kUnknownLatency.count());
  auto found = seen_.find(aMember.id);
  if (found == seen_.end()) {
    return unknown;
  }
  const Seen& seen = found->second;
  double age = std::chrono::duration<double>(aNow - seen.latencyAt) /
               std::chrono::duration<double>(kEvidenceHalfLife);
  double latency = static_cast<double>(seen.latency.count()) * std::exp2(-age);
  return std::max(latency, unknown) * static_cast<double>(1 + Load(aMember));
}

double UpstreamChoice::ColdFactor(const Member& aMember, Duration aColdStart, TimePoint aNow)
{
  Seen& seen = seen_[aMember.id];
  if (seen.incarnation != aMember.incarnation) {
    seen.incarnation = aMember.incarnation;
    seen.firstSeen = aNow;
  }
  bool isOld = seen.firstSeen - createdAt_ < kStartGrace || aNow - seen.firstSeen >= aColdStart;
  if (isOld) {
    return 1;
  }
  double elapsed = std::chrono::duration<double>(aNow - seen.firstSeen).count();
  double whole = std::chrono::duration<double>(aColdStart).count();
  return std::min(kMaxColdFactor, whole / std::max(elapsed, whole / kMaxColdFactor));
}

int64_t UpstreamChoice::Load(const Member& aMember) const
{
  auto seen = seen_.find(aMember.id);
  return seen == seen_.end() ? 0 : seen->second.outstanding + seen->second.queueLength;
}

} // namespace dandelion
