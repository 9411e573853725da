/// Chooses the upstream of an attempt.
#ifndef DANDELION_ROUTING_UPSTREAM_CHOICE_H
#define DANDELION_ROUTING_UPSTREAM_CHOICE_H

#include "admission/Admission.h"
#include "membership/Membership.h"

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
};

/// What an attempt has shown about its upstream.
struct AttemptResult
{
  bool hasFailed = false;
  /// Calls that waited or ran at the upstream when it answered.
  int64_t queueLength = 0;
  /// Time from sending to the answer, or to the end of the attempt without one.
  Duration latency = Duration::zero();
  /// The attempt ended without an answer, so `latency` is only a lower bound.
  bool isCensored = false;
  /// Queue estimate of the upstream for a further call of this cost class, if the answer had one.
  std::optional<QueueEstimate> queueEstimate = {};
  std::string costClass = {};
  /// Time that the call and its answer spent in the network, if the upstream's node has reported
  /// its own part of the latency.
  std::optional<Duration> networkRoundTrip = {};
  /// Bytes of the answer; 0 if there was none.
  size_t answerBytes = 0;
};

/// Chooses upstreams by what this node has seen of those it called.
class UpstreamChoice
{
public:
  UpstreamChoice(ChoiceStrategy aStrategy, uint64_t aSeed, TimePoint aNow);

  /// The member whose upstream gets the attempt, or null if there is none.
  const Member* Choose(const MemberTable& aTable,
                       const Member& aSelf,
                       const ChoiceQuery& aQuery,
                       TimePoint aNow);

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
  /// A queue estimate, when it arrived, and the attempts started since.
  struct ReceivedEstimate
  {
    QueueEstimate estimate;
    TimePoint at;
    int64_t attemptsSince = 0;
  };
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
    /// Its last queue estimate, and the last one by cost class: cheap calls go first in a queue, so
    /// they wait much less than others.
    ReceivedEstimate lastEstimate;
    std::map<std::string, ReceivedEstimate> estimates;
    /// Its service time, by cost class.
    std::map<std::string, Duration> serviceTime;
    /// Smoothed network round trip, by cost class: large answers take long over a slow link.
    std::map<std::string, Duration> networkRoundTrip;
    /// Smoothed share of its attempts that failed.
    double failureRate = 0;
    TimePoint failureRateAt;
  };
  /// Smoothed service time and answer size of a cost class at all upstreams together.
  struct CostClassStats
  {
    Duration serviceTime = Duration::zero();
    double answerBytes = 0;
  };
  using Candidates = std::vector<const Member*>;

  Candidates NearestUpstreams(const Candidates& aAll, const Member& aSelf, bool aMayCross) const;
  void RemoveEjected(Candidates& aCandidates, TimePoint aNow) const;
  const Member* PickOfTwo(const Candidates& aCandidates, Duration aColdStart, TimePoint aNow);
  int64_t Load(const Member& aMember) const;
  double ExpectedAnswerTime(const Member& aMember, TimePoint aNow) const;
  Duration ExpectedQueueDelay(const UpstreamStats& aStats,
                              const std::string& aCostClass,
                              Duration aServiceTime,
                              TimePoint aNow) const;
  bool HasLargeAnswers(const std::string& aCostClass) const;
  static bool HasUpstreamInRegion(const Candidates& aCandidates, const Member& aSelf);
  Duration ObservedRoundTrip(const UpstreamStats& aStats,
                             const std::string& aCostClass,
                             TimePoint aNow) const;
  Duration ExpectedServiceTime(const UpstreamStats* aStats,
                               const std::string& aCostClass,
                               TimePoint aNow) const;
  /// Network round trip that is typical of the distance to a member.
  Duration TypicalRoundTrip(const Member& aMember, const Member& aSelf) const;
  /// Cost of sending an answer of this cost class from a member, expressed as time.
  Duration TransferCost(const Member& aMember,
                        const Member& aSelf,
                        const std::string& aCostClass) const;
  const Member* PickEarliestFinish(const Candidates& aCandidates,
                                   const Member& aSelf,
                                   const ChoiceQuery& aQuery,
                                   TimePoint aNow);
  void RecordResult(UpstreamStats& aStats, const AttemptResult& aResult, TimePoint aNow);
  double ColdStartFactor(const Member& aMember, Duration aColdStart, TimePoint aNow);

  ChoiceStrategy strategy_;
  std::mt19937_64 random_;
  TimePoint createdAt_;
  std::map<std::string, UpstreamStats> upstreamStats_;
  std::map<std::string, CostClassStats> costClassStats_;
};

} // namespace dandelion

#endif
