#include "routing/UpstreamChoice.h"

#include <algorithm>

namespace dandelion {

namespace {

constexpr Duration kFirstAside = milliseconds(250);
constexpr int kMostDoublings = 5;

} // namespace

ChoiceStrategy MakeStrategy(ChoiceName aName)
{
  switch (aName) {
    case ChoiceName::Random:
      return RandomChoice{};
    case ChoiceName::TwoChoices:
      return TwoChoices{};
  }
  return TwoChoices{};
}

UpstreamChoice::UpstreamChoice(ChoiceStrategy aStrategy, uint64_t aSeed)
  : strategy_(aStrategy)
  , random_(aSeed)
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
  return near.empty() ? nullptr : Pick(near);
}

void UpstreamChoice::OnAttemptBegan(const std::string& aMember)
{
  ++seen_[aMember].outstanding;
}

void UpstreamChoice::OnAttemptEnded(const std::string& aMember,
                                    bool aHasFailed,
                                    int64_t aQueueLength,
                                    TimePoint aNow)
{
  Seen& seen = seen_[aMember];
  seen.outstanding = std::max<int64_t>(0, seen.outstanding - 1);
  seen.queueLength = aQueueLength;
  if (!aHasFailed) {
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

const Member* UpstreamChoice::Pick(const Candidates& aCandidates)
{
  auto any = [&] { return aCandidates[random_() % aCandidates.size()]; };
  return std::visit(Overloaded{
                      [&](const RandomChoice&) { return any(); },
                      [&](const TwoChoices&) {
                        const Member* first = any();
                        const Member* second = any();
                        return Load(*second) < Load(*first) ? second : first;
                      },
                    },
                    strategy_);
}

int64_t UpstreamChoice::Load(const Member& aMember) const
{
  auto seen = seen_.find(aMember.id);
  return seen == seen_.end() ? 0 : seen->second.outstanding + seen->second.queueLength;
}

} // namespace dandelion
