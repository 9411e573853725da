/// Chooses the upstream of an attempt.
#ifndef DANDELION_ROUTING_UPSTREAM_CHOICE_H
#define DANDELION_ROUTING_UPSTREAM_CHOICE_H

#include "routing/FinishEstimates.h"
#include "routing/ZoneShares.h"

#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace dandelion {

/// A random upstream of the nearest zone.
struct RandomChoice
{};
/// The less loaded one of two random upstreams of the nearest zone.
struct TwoChoices
{};
/// The one of two random upstreams of the nearest zone with the lower expected answer time, by its
/// load and its smoothed latency.
struct LeastExpectedTime
{};
/// The upstream with the earliest expected finish of all zones and regions, by the queue delay and
/// the service time in its queue estimate, the network round trip and the transfer cost of the
/// answer.
struct EarliestFinish
{};
using ChoiceStrategy = std::variant<RandomChoice, TwoChoices, LeastExpectedTime, EarliestFinish>;

enum class ChoiceName
{
  Random,
  TwoChoices,
  LeastExpectedTime,
  EarliestFinish,
};

template<>
struct EnumNames<ChoiceName>
{
  static constexpr EnumName<ChoiceName> kTable[] = {
    { ChoiceName::Random, "random" },
    { ChoiceName::TwoChoices, "two-choices" },
    { ChoiceName::LeastExpectedTime, "least-expected-time" },
    { ChoiceName::EarliestFinish, "earliest-finish" },
  };
};

ChoiceStrategy MakeChoiceStrategy(ChoiceName aName);

struct ChoiceQuery
{
  std::string service;
  /// Whether an upstream of another region may be chosen. `EarliestFinish` ignores this.
  bool mayCrossRegion = false;
  /// Time over which the calls sent to a new upstream grow to its full share. Only
  /// `LeastExpectedTime` uses this.
  Duration coldStart = Duration::zero();
  /// Upstreams that the call was already sent to and that must not be chosen again.
  const std::set<std::string>& tried;
  /// Name of the call's policy. Calls with the same policy have similar service times and answer
  /// sizes.
  std::string costClass = {};
  /// Time left to the latency target.
  Duration timeLeft = Duration::max();
  /// Choose no upstream if the best one is expected to miss the target. Only `EarliestFinish` uses
  /// this.
  bool mustMeetTarget = false;
  /// Those of `tried` that only refused to let the call wait for a slot, and may be chosen again
  /// once it may wait.
  const std::set<std::string>* refusedShortWait = nullptr;
};

/// Chooses upstreams by what this node has seen of those it called.
class UpstreamChoice
{
public:
  UpstreamChoice(ChoiceStrategy aStrategy, uint64_t aSeed, TimePoint aNow);

  /// Lets calls leave the zone only as far as these settings say. Only `EarliestFinish` uses this.
  void ShareZones(const ZonePrices& aPrices, uint64_t aSeed);

  /// The member whose upstream gets the attempt, or null if there is none.
  const Member* Choose(const MemberTable& aTable,
                       const Member& aSelf,
                       const ChoiceQuery& aQuery,
                       TimePoint aNow);

  /// The share of the calls to the service that may leave to this destination, 1 without settings.
  double ShareOf(const std::string& aService, Destination aDestination) const;

  /// Counts an attempt that is sent to the member.
  void OnAttemptStarted(const std::string& aMember);
  /// Records the result of an attempt. A failure ejects the upstream for some time. A censored
  /// result changes only the smoothed latency, and ejects no upstream.
  void OnAttemptEnded(const std::string& aMember, const AttemptResult& aResult, TimePoint aNow);

  /// Attempts at the member that have not ended.
  int64_t Outstanding(const std::string& aMember) const;

  /// The shortest expected queue delay of the upstreams of the service that this node has called,
  /// for callers that are told when to retry; zero if there is none.
  Duration ShortestQueueDelay(const MemberTable& aTable,
                              const ChoiceQuery& aQuery,
                              TimePoint aNow) const;

private:
  struct UpstreamStats
  {
    int64_t outstanding = 0;
    int64_t queueLength = 0;
    int consecutiveFailures = 0;
    TimePoint ejectedUntil;
    /// Smoothed latency; it rises quickly and falls slowly.
    Duration latency = Duration::zero();
    TimePoint latencyAt;
    uint64_t incarnation = 0;
    TimePoint firstSeen;
  };
  using Candidates = std::vector<const Member*>;
  struct RankedUpstream
  {
    const Member* member;
    Destination destination;
    ExpectedFinish expected;
    /// Finish, and cost of the attempt as time.
    Duration finish;
    Duration cost;
  };

  Candidates NearestUpstreams(const Candidates& aAll, const Member& aSelf, bool aMayCross) const;
  void RemoveEjected(Candidates& aCandidates, TimePoint aNow) const;
  const Member* PickOfTwo(const Candidates& aCandidates, Duration aColdStart, TimePoint aNow);
  int64_t Load(const Member& aMember) const;
  double ExpectedAnswerTime(const Member& aMember, TimePoint aNow) const;
  static bool HasUpstreamInRegion(const Candidates& aCandidates, const Member& aSelf);
  const Member* PickEarliestFinish(const Candidates& aCandidates,
                                   const Member& aSelf,
                                   const ChoiceQuery& aQuery,
                                   TimePoint aNow);
  /// Whether the member refused only a short-wait send, and zones are shared.
  bool MayStillWait(const ChoiceQuery& aQuery, const std::string& aMember) const;
  /// The expectations of all candidates. Where zones are shared, they are corrected by what this
  /// node has measured.
  std::vector<RankedUpstream> Rank(const Candidates& aCandidates,
                                   const Member& aSelf,
                                   const ChoiceQuery& aQuery,
                                   TimePoint aNow);
  /// Candidates that the budget between regions and the refusals so far leave to a call.
  Candidates WithinZoneLimits(const Candidates& aServing,
                              const Candidates& aCandidates,
                              const Member& aSelf,
                              const ChoiceQuery& aQuery,
                              TimePoint aNow);
  /// One of the upstreams in the zone of the best one that are about as good.
  const RankedUpstream& SpreadInZone(const std::vector<RankedUpstream>& aRanked,
                                     const RankedUpstream& aBest,
                                     const ChoiceQuery& aQuery);
  /// The best one of the destinations that the zone shares allow.
  const RankedUpstream* PickByZone(const std::vector<RankedUpstream>& aRanked,
                                   const ChoiceQuery& aQuery,
                                   TimePoint aNow);
  double ColdStartFactor(const Member& aMember, Duration aColdStart, TimePoint aNow);

  ChoiceStrategy strategy_;
  std::mt19937_64 random_;
  TimePoint createdAt_;
  std::map<std::string, UpstreamStats> upstreamStats_;
  FinishEstimates estimates_;
  std::optional<ZoneShares> zoneShares_;
};

} // namespace dandelion

#endif
