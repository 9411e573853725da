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

/// Limit of the random addition to each cost: upstreams that differ by less share the calls.
constexpr Duration kTieJitter = milliseconds(3);
/// Limit of the random addition to the costs of the upstreams in one zone, as a percentage of their
/// service time. 80 nodes that each learn alone would otherwise all send to the upstreams that are
/// fastest when idle: at 0.95 of the capacity 3.0 % of the calls were late or refused, and 0.8 %
/// are with this spread. Remembering speeds for longer made it worse (6.7 % with a minute).
constexpr int64_t kSpreadPercent = 66;
/// Ratios of measured to expected latency between these do not count as wrong figures.
constexpr double kMinTolerated = 0.5;
constexpr double kMaxTolerated = 2.5;

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

void UpstreamChoice::ShareZones(const ZonePrices& aPrices, uint64_t aSeed)
{
  zoneShares_.emplace(aPrices, aSeed);
}

double UpstreamChoice::ShareOf(const std::string& aService, Destination aDestination) const
{
  return zoneShares_.has_value() ? zoneShares_->ShareOf(aService, aDestination) : 1;
}

bool UpstreamChoice::MayStillWait(const ChoiceQuery& aQuery, const std::string& aMember) const
{
  return zoneShares_.has_value() && aQuery.refusedShortWait != nullptr &&
         aQuery.refusedShortWait->count(aMember) > 0;
}

const Member* UpstreamChoice::Choose(const MemberTable& aTable,
                                     const Member& aSelf,
                                     const ChoiceQuery& aQuery,
                                     TimePoint aNow)
{
  Candidates serving;
  for (const auto& [id, member] : aTable.All()) {
    if (member.service == aQuery.service && AcceptsWork(member)) {
      serving.push_back(&member);
    }
  }
  Candidates all;
  std::copy_if(serving.begin(), serving.end(), std::back_inserter(all), [&](const Member* aMember) {
    return aQuery.tried.count(aMember->id) == 0 || MayStillWait(aQuery, aMember->id);
  });
  if (std::holds_alternative<EarliestFinish>(strategy_)) {
    if (zoneShares_.has_value()) {
      all = WithinZoneLimits(serving, all, aSelf, aQuery, aNow);
    }
    RemoveEjected(all, aNow);
    return PickEarliestFinish(all, aSelf, aQuery, aNow);
  }
  Candidates near = NearestUpstreams(all, aSelf, aQuery.mayCrossRegion);
  RemoveEjected(near, aNow);
  return near.empty() ? nullptr : PickOfTwo(near, aQuery.coldStart, aNow);
}

std::vector<UpstreamChoice::RankedUpstream> UpstreamChoice::Rank(const Candidates& aCandidates,
                                                                 const Member& aSelf,
                                                                 const ChoiceQuery& aQuery,
                                                                 TimePoint aNow)
{
  // Large answers saturate the link between the regions and block all other traffic.
  bool staysInRegion =
    estimates_.HasLargeAnswers(aQuery.costClass) && HasUpstreamInRegion(aCandidates, aSelf);
  std::vector<RankedUpstream> ranked;
  for (const Member* member : aCandidates) {
    if (staysInRegion && member->region != aSelf.region) {
      continue;
    }
    ExpectedFinish expected = estimates_.For(*member, aSelf, aQuery.costClass, aNow);
    Duration finish = expected.finish;
    bool isWrong = expected.error > kMaxTolerated || expected.error < kMinTolerated;
    if (zoneShares_.has_value() && isWrong) {
      finish = Duration(static_cast<int64_t>(expected.error * static_cast<double>(finish.count())));
    }
    Duration cost = finish + expected.transferCost + expected.failureCost;
    // Without this jitter all callers would choose the same one of several equal upstreams.
    cost += Duration(static_cast<int64_t>(random_() % static_cast<uint64_t>(kTieJitter.count())));
    ranked.push_back({ member, DestinationOf(*member, aSelf), expected, finish, cost });
  }
  return ranked;
}

const Member* UpstreamChoice::PickEarliestFinish(const Candidates& aCandidates,
                                                 const Member& aSelf,
                                                 const ChoiceQuery& aQuery,
                                                 TimePoint aNow)
{
  std::vector<RankedUpstream> ranked = Rank(aCandidates, aSelf, aQuery, aNow);
  if (ranked.empty()) {
    return nullptr;
  }
  const RankedUpstream* best = nullptr;
  if (zoneShares_.has_value()) {
    best = PickByZone(ranked, aQuery, aNow);
  } else {
    auto isCheaper = [](const RankedUpstream& aLeft, const RankedUpstream& aRight) {
      return aLeft.cost < aRight.cost;
    };
    best = &*std::min_element(ranked.begin(), ranked.end(), isCheaper);
    best = aQuery.mustMeetTarget && best->finish > aQuery.timeLeft ? nullptr : best;
  }
  if (best == nullptr) {
    return nullptr;
  }
  const RankedUpstream& chosen =
    zoneShares_.has_value() ? SpreadInZone(ranked, *best, aQuery) : *best;
  estimates_.OnChosen(chosen.member->id, aQuery.costClass, chosen.expected.finish);
  return chosen.member;
}

const UpstreamChoice::RankedUpstream& UpstreamChoice::SpreadInZone(
  const std::vector<RankedUpstream>& aRanked,
  const RankedUpstream& aBest,
  const ChoiceQuery& aQuery)
{
  auto jitter = [this](const RankedUpstream& aUpstream) {
    auto limit =
      static_cast<uint64_t>(aUpstream.expected.serviceTime.count()) * kSpreadPercent / 100;
    return Duration(static_cast<int64_t>(random_() % std::max<uint64_t>(1, limit)));
  };
  const RankedUpstream* chosen = &aBest;
  Duration lowest = aBest.cost + jitter(aBest);
  for (const RankedUpstream& upstream : aRanked) {
    bool isPossible = upstream.member->zone == aBest.member->zone && &upstream != &aBest &&
                      !MayStillWait(aQuery, upstream.member->id) &&
                      !(aQuery.mustMeetTarget && upstream.finish > aQuery.timeLeft);
    Duration cost = isPossible ? upstream.cost + jitter(upstream) : Duration::max();
    if (cost < lowest) {
      chosen = &upstream;
      lowest = cost;
    }
  }
  return *chosen;
}

UpstreamChoice::Candidates UpstreamChoice::WithinZoneLimits(const Candidates& aServing,
                                                            const Candidates& aCandidates,
                                                            const Member& aSelf,
                                                            const ChoiceQuery& aQuery,
                                                            TimePoint aNow)
{
  // Without an upstream in the region the calls leave it whatever that costs.
  bool staysInRegion =
    HasUpstreamInRegion(aServing, aSelf) &&
    !zoneShares_->HasRegionBudget(estimates_.AnswerBytes(aQuery.costClass), aNow);
  std::set<std::string> refusedZones;
  for (const Member* member : aServing) {
    if (member->zone != aSelf.zone && aQuery.tried.count(member->id) > 0) {
      refusedZones.insert(member->zone);
    }
  }
  Candidates all;
  Candidates preferred;
  for (const Member* member : aCandidates) {
    if (staysInRegion && member->region != aSelf.region) {
      continue;
    }
    all.push_back(member);
    // Another zone may refuse a call once, so that wrong figures of it cost one round trip.
    if (refusedZones.count(member->zone) == 0) {
      preferred.push_back(member);
    }
  }
  return preferred.empty() ? all : preferred;
}

const UpstreamChoice::RankedUpstream* UpstreamChoice::PickByZone(
  const std::vector<RankedUpstream>& aRanked,
  const ChoiceQuery& aQuery,
  TimePoint aNow)
{
  ZoneShares::Finishes finishes;
  for (const RankedUpstream& upstream : aRanked) {
    auto& finish = finishes.at(static_cast<size_t>(upstream.destination));
    finish = std::min(finish.value_or(upstream.finish), upstream.finish);
  }
  // Shares hold for the first send only: a call that was refused may go anywhere, so that no share
  // costs more than that round trip.
  ZoneShares::Allowed allowed = { true, true, true };
  if (aQuery.tried.empty()) {
    allowed = zoneShares_->Decide(aQuery.service, finishes, aQuery.timeLeft, aNow);
  }
  auto costOf = [&](const RankedUpstream& aUpstream) {
    return aUpstream.cost + zoneShares_->PriceOf(aUpstream.destination, finishes, aQuery.timeLeft);
  };
  const RankedUpstream* best = nullptr;
  const RankedUpstream* bestWait = nullptr;
  const RankedUpstream* bestElsewhere = nullptr;
  auto replaceIfCheaper = [&](const RankedUpstream*& aOld, const RankedUpstream& aNew) {
    aOld = aOld == nullptr || costOf(aNew) < costOf(*aOld) ? &aNew : aOld;
  };
  for (const RankedUpstream& upstream : aRanked) {
    bool mayStillWait = MayStillWait(aQuery, upstream.member->id);
    bool isInTime = !aQuery.mustMeetTarget || upstream.finish <= aQuery.timeLeft;
    if (isInTime && allowed.at(static_cast<size_t>(upstream.destination))) {
      replaceIfCheaper(mayStillWait ? bestWait : best, upstream);
    }
    if (!mayStillWait && upstream.destination != Destination::OwnZone) {
      replaceIfCheaper(bestElsewhere, upstream);
    }
  }
  // Where a wait nearby costs less than leaving, the call is not sent further: it asks again there
  // and waits.
  bool isWaitBetter = best != nullptr && bestWait != nullptr &&
                      bestWait->destination < best->destination &&
                      costOf(*bestWait) < costOf(*best);
  if (isWaitBetter) {
    return nullptr;
  }
  // A call that would be refused is offered to another zone once whatever its figures say: they may
  // be wrong.
  if (best == nullptr && bestWait == nullptr && bestElsewhere != nullptr) {
    best = bestElsewhere;
  }
  if (best != nullptr && best->destination == Destination::OtherRegion) {
    zoneShares_->TakeRegionBudget(estimates_.AnswerBytes(aQuery.costClass));
  }
  return best;
}

bool UpstreamChoice::HasUpstreamInRegion(const Candidates& aCandidates, const Member& aSelf)
{
  return std::any_of(aCandidates.begin(), aCandidates.end(), [&](const Member* aMember) {
    return aMember->region == aSelf.region;
  });
}

Duration UpstreamChoice::ShortestQueueDelay(const MemberTable& aTable,
                                            const ChoiceQuery& aQuery,
                                            TimePoint aNow) const
{
  std::optional<Duration> shortest;
  for (const auto& [id, member] : aTable.All()) {
    if (member.service != aQuery.service || !AcceptsWork(member)) {
      continue;
    }
    std::optional<Duration> queueDelay = estimates_.QueueDelayAt(id, aQuery.costClass, aNow);
    if (queueDelay.has_value()) {
      shortest = std::min(shortest.value_or(*queueDelay), *queueDelay);
    }
  }
  return shortest.value_or(Duration::zero());
}

void UpstreamChoice::OnAttemptStarted(const std::string& aMember)
{
  ++upstreamStats_[aMember].outstanding;
  estimates_.OnAttemptStarted(aMember);
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
  estimates_.OnAttemptEnded(aMember, aResult, aNow);
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
