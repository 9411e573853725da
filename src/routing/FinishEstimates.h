/// What this node expects of the upstreams that it calls: when a further call would be answered.
#ifndef DANDELION_ROUTING_FINISH_ESTIMATES_H
#define DANDELION_ROUTING_FINISH_ESTIMATES_H

#include "routing/AttemptResult.h"

#include "membership/Membership.h"

#include <map>
#include <string>

namespace dandelion {

/// Expectation of one call at one upstream.
struct ExpectedFinish
{
  /// Time until the answer arrives, and the part of it in a slot.
  Duration finish = Duration::zero();
  Duration serviceTime = Duration::zero();
  /// Measured latency of recent answers relative to what was expected of them.
  double error = 1;
  /// Cost of sending the answer over paid links, expressed as time.
  Duration transferCost = Duration::zero();
  /// Expected cost of a failed attempt, expressed as time.
  Duration failureCost = Duration::zero();
};

class FinishEstimates
{
public:
  /// Counts an attempt that is sent to the member.
  void OnAttemptStarted(const std::string& aMember);
  /// Remembers what is expected of the next attempt at the member, to compare it with its latency.
  void OnChosen(const std::string& aMember, const std::string& aCostClass, Duration aFinish);
  /// Records the result of an attempt that was answered or has failed.
  void OnAttemptEnded(const std::string& aMember, const AttemptResult& aResult, TimePoint aNow);

  ExpectedFinish For(const Member& aMember,
                     const Member& aSelf,
                     const std::string& aCostClass,
                     TimePoint aNow) const;

  /// Expected wait for a slot at the member; nothing if this node has not called it.
  std::optional<Duration> QueueDelayAt(const std::string& aMember,
                                       const std::string& aCostClass,
                                       TimePoint aNow) const;

  /// Mean size of the answers; 0 if unknown.
  double AnswerBytes(const std::string& aCostClass) const;
  /// Whether answers are so large that they saturate the link between regions.
  bool HasLargeAnswers(const std::string& aCostClass) const;

private:
  struct Accuracy
  {
    Duration expected = Duration::zero();
    double error = 1;
    TimePoint measuredAt;
  };
  /// A queue estimate, when it arrived, and the attempts started since.
  struct ReceivedEstimate
  {
    QueueEstimate estimate;
    TimePoint at;
    int64_t attemptsSince = 0;
  };
  struct UpstreamStats
  {
    /// Its last queue estimate, and the last one by cost class: cheap calls go first in a queue, so
    /// they wait much less than others.
    ReceivedEstimate lastEstimate;
    std::map<std::string, ReceivedEstimate> estimates;
    /// Its service time, by cost class.
    std::map<std::string, Duration> serviceTime;
    /// Smoothed network round trip, by cost class: large answers take long over a slow link.
    std::map<std::string, Duration> networkRoundTrip;
    /// Smoothed expected finish of the attempts there and smoothed ratio of measured to expected
    /// latency, by cost class.
    std::map<std::string, Accuracy> accuracy;
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

  static Duration QueueDelay(const UpstreamStats& aStats,
                             const std::string& aCostClass,
                             Duration aServiceTime,
                             TimePoint aNow);
  static Duration RoundTrip(const UpstreamStats& aStats,
                            const std::string& aCostClass,
                            TimePoint aNow);
  Duration ServiceTime(const UpstreamStats* aStats,
                       const std::string& aCostClass,
                       TimePoint aNow) const;
  Duration TransferCost(const Member& aMember,
                        const Member& aSelf,
                        const std::string& aCostClass) const;
  static void RecordLatency(UpstreamStats& aStats, const AttemptResult& aResult, TimePoint aNow);
  static double ErrorOf(const UpstreamStats& aStats, const std::string& aCostClass, TimePoint aNow);
  void RecordServiceTime(UpstreamStats& aStats, const AttemptResult& aResult);

  std::map<std::string, UpstreamStats> upstreamStats_;
  std::map<std::string, CostClassStats> costClassStats_;
};

} // namespace dandelion

#endif
