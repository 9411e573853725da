/// Chooses the upstream of an attempt.
#ifndef DANDELION_ROUTING_UPSTREAM_CHOICE_H
#define DANDELION_ROUTING_UPSTREAM_CHOICE_H

#include "membership/Membership.h"

#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace dandelion {

/// Any upstream of the nearest zone.
struct RandomChoice
{};
/// The less loaded of two random upstreams of the nearest zone.
struct TwoChoices
{};
using ChoiceStrategy = std::variant<RandomChoice, TwoChoices>;

enum class ChoiceName
{
  Random,
  TwoChoices,
};

template<>
struct EnumNames<ChoiceName>
{
  static constexpr EnumName<ChoiceName> kTable[] = {
    { ChoiceName::Random, "random" },
    { ChoiceName::TwoChoices, "two-choices" },
  };
};

ChoiceStrategy MakeStrategy(ChoiceName aName);

struct ChoiceQuery
{
  std::string service;
  bool mayCrossRegion = false;
  /// Upstreams that have refused or lost this call already.
  const std::set<std::string>& tried;
};

/// What this node has seen of the upstreams it calls.
class UpstreamChoice
{
public:
  UpstreamChoice(ChoiceStrategy aStrategy, uint64_t aSeed);

  /// The member whose upstream gets the attempt, or null where none is left.
  const Member* Choose(const MemberTable& aTable,
                       const Member& aSelf,
                       const ChoiceQuery& aQuery,
                       TimePoint aNow);

  void OnAttemptBegan(const std::string& aMember);
  /// `aQueueLength` is what the reply carried. A failure puts the upstream aside for a while.
  void OnAttemptEnded(const std::string& aMember,
                      bool aHasFailed,
                      int64_t aQueueLength,
                      TimePoint aNow);

  int64_t Outstanding(const std::string& aMember) const;

private:
  struct Seen
  {
    int64_t outstanding = 0;
    int64_t queueLength = 0;
    int failuresInRow = 0;
    TimePoint asideUntil;
  };
  using Candidates = std::vector<const Member*>;

  Candidates Near(const Candidates& aAll, const Member& aSelf, bool aMayCross) const;
  void PreferHealthy(Candidates& aCandidates, TimePoint aNow) const;
  const Member* Pick(const Candidates& aCandidates);
  int64_t Load(const Member& aMember) const;

  ChoiceStrategy strategy_;
  std::mt19937_64 random_;
  std::map<std::string, Seen> seen_;
};

} // namespace dandelion

#endif
