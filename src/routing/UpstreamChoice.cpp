#include "routing/UpstreamChoice.h"

#include <algorithm>
#include <cmath>

namespace dandelion {

namespace {

constexpr Duration kFirstAside = milliseconds(250);
constexpr int kMostDoublings = 5;
/// Share of a slower sample that the smoothed latency takes over, and of a faster one.
constexpr double kRise = 0.5;
constexpr double kFall = 0.1;
/// Evidence of slowness halves in this time without a sample, so that a slow upstream is probed.
constexpr Duration kEvidenceHalfLife = seconds(5);
/// Time of an answer where nothing is known.
constexpr Duration kUnknownLatency = milliseconds(1);
/// Upstreams that are there when the node starts are not new.
constexpr Duration kStartGrace = seconds(5);
constexpr double kMostColdFactor = 20;

double Smoothed(double aOld, double aSample)
{
  double share = aSample > aOld ? kRise : kFall;
  return aOld + share * (aSample - aOld);
}

} // namespace

ChoiceStrategy MakeStrategy(ChoiceName aName)
{
  switch (aName) {
    case ChoiceName::Random:
      return RandomChoice{};
    case ChoiceName::TwoChoices:
      return TwoChoices{};
    case ChoiceName::LeastExpectedTime:
      return LeastExpectedTime{};
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
    if (member.service == aQuery.service && TakesWork(member) && aQuery.tried.count(id) == 0) {
      all.push_back(&member);
    }
  }
  Candidates near = Near(all, aSelf, aQuery.mayCrossRegion);
  PreferHealthy(near, aNow);
  return near.empty() ? nullptr : Pick(near, aQuery.coldStart, aNow);
}

void UpstreamChoice::OnAttemptBegan(const std::string& aMember)
{
  ++seen_[aMember].outstanding;
}

void UpstreamChoice::OnAttemptEnded(const std::string& aMember,
                                    const AttemptEvidence& aEvidence,
                                    TimePoint aNow)
{
  Seen& seen = seen_[aMember];
  seen.outstanding = std::max<int64_t>(0, seen.outstanding - 1);
  bool isInformative = !aEvidence.isCensored || aEvidence.taken > seen.latency;
  if (isInformative) {
    double smoothed = Smoothed(static_cast<double>(seen.latency.count()),
                               static_cast<double>(aEvidence.taken.count()));
    seen.latency = Duration(static_cast<int64_t>(smoothed));
    seen.latencyAt = aNow;
  }
  if (aEvidence.isCensored) {
    return;
  }
  seen.queueLength = aEvidence.queueLength;
  if (!aEvidence.hasFailed) {
    seen.failuresInRow = 0;
    return;
  }
  seen.asideUntil = aNow + kFirstAside * (1 << std::min(seen.failuresInRow, kMostDoublings));
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
  return std::min(kMostColdFactor, whole / std::max(elapsed, whole / kMostColdFactor));
}

int64_t UpstreamChoice::Load(const Member& aMember) const
{
  auto seen = seen_.find(aMember.id);
  return seen == seen_.end() ? 0 : seen->second.outstanding + seen->second.queueLength;
}

} // namespace dandelion
