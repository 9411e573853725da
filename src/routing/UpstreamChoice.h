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

/// Any upstream of the nearest zone.
struct RandomChoice
{};
/// The less loaded of two random upstreams of the nearest zone.
struct TwoChoices
{};
/// The one of two random upstreams of the nearest zone that should answer first, by what is waiting
/// there and how long its answers have taken.
struct LeastExpectedTime
{};
/// The one of all upstreams within reach that should end the call first, by what its gate has said
/// of its queue and of the work, by the way there, and by the bytes that the way makes dearer.
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
  bool mayCrossRegion = false;
  /// Time over which a new upstream is given its full share.
  Duration coldStart = Duration::zero();
  /// Upstreams that have refused or lost this call already.
  const std::set<std::string>& tried;
  /// Calls of one kind take about the same work and bytes: the name of their policy.
  std::string costClass = {};
  /// Time that is left to the target.
  Duration timeLeft = Duration::max();
  /// No upstream is chosen that should miss the target.
  bool mustMeetTarget = false;
};

/// What an attempt has shown of its upstream.
struct AttemptResult
{
  bool hasFailed = false;
  /// Calls that waited or ran beside the upstream when it answered.
  int64_t queueLength = 0;
  /// Time from sending to the answer, or to giving up.
  Duration latency = Duration::zero();
  /// The attempt was given up before an answer: its time is only a lower bound.
  bool isCensored = false;
  /// What the gate beside the upstream expects of a further call of this kind, where it has said.
  std::optional<QueueEstimate> queueEstimate = {};
  std::string costClass = {};
  /// Time that the call and its answer were on their way, where the gate has told its part.
  std::optional<Duration> networkRoundTrip = {};
  /// Bytes of the answer; 0 where there was none.
  size_t answerBytes = 0;
};

/// What this node has seen of the upstreams it calls.
class UpstreamChoice
{
public:
  UpstreamChoice(ChoiceStrategy aStrategy, uint64_t aSeed, TimePoint aNow);

  /// The member whose upstream gets the attempt, or null where none is left.
  const Member* Choose(const MemberTable& aTable,
                       const Member& aSelf,
                       const ChoiceQuery& aQuery,
                       TimePoint aNow);

  void OnAttemptBegan(const std::string& aMember);
  /// Takes the evidence of an attempt. A failure puts the upstream aside for a while.
  void OnAttemptEnded(const std::string& aMember, const AttemptResult& aResult, TimePoint aNow);

  int64_t Outstanding(const std::string& aMember) const;

  /// The shortest wait at any upstream within reach, for callers that are told to come back.
  Duration ShortestWait(const MemberTable& aTable, const ChoiceQuery& aQuery, TimePoint aNow) const;

private:
  struct UpstreamStats
  {
    int64_t outstanding = 0;
    int64_t queueLength = 0;
    int consecutiveFailures = 0;
    TimePoint ejectedUntil;
    /// Smoothed time of answers, quick to rise and slow to fall.
    Duration latency = Duration::zero();
    TimePoint latencyAt;
    uint64_t incarnation = 0;
    TimePoint firstSeen;
    /// What its gate has said last, when, and the attempts begun since.
    QueueEstimate queueEstimate;
    TimePoint queueEstimateAt;
    int64_t attemptsSinceEstimate = 0;
    /// Work of each kind there.
    std::map<std::string, Duration> serviceTime;
    /// Time on the way there and back, by kind: large answers take long over a weak link.
    std::map<std::string, Duration> networkRoundTrip;
    /// Share of its attempts that failed of late.
    double failureRate = 0;
    TimePoint failureRateAt;
  };
  /// What calls of a kind are like at all upstreams together.
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
  Duration ExpectedQueueDelay(const UpstreamStats& aSeen, Duration aWork, TimePoint aNow) const;
  bool HasLargeAnswers(const std::string& aCostClass) const;
  static bool HasUpstreamInRegion(const Candidates& aCandidates, const Member& aSelf);
  Duration ObservedRoundTrip(const UpstreamStats& aSeen,
                             const std::string& aCostClass,
                             TimePoint aNow) const;
  Duration ExpectedServiceTime(const UpstreamStats* aSeen,
                               const std::string& aCostClass,
                               TimePoint aNow) const;
  /// Time that the way to a member takes, and what its bytes are worth in time.
  Duration TypicalRoundTrip(const Member& aMember, const Member& aSelf) const;
  Duration TransferCost(const Member& aMember,
                        const Member& aSelf,
                        const std::string& aCostClass) const;
  const Member* PickEarliestFinish(const Candidates& aCandidates,
                                   const Member& aSelf,
                                   const ChoiceQuery& aQuery,
                                   TimePoint aNow);
  void RecordResult(UpstreamStats& aSeen, const AttemptResult& aResult, TimePoint aNow);
  double ColdStartFactor(const Member& aMember, Duration aColdStart, TimePoint aNow);

  ChoiceStrategy strategy_;
  std::mt19937_64 random_;
  TimePoint createdAt_;
  std::map<std::string, UpstreamStats> upstreamStats_;
  std::map<std::string, CostClassStats> costClassStats_;
};

} // namespace dandelion

#endif
