/// Decides whether a call is tried again.
#ifndef DANDELION_ROUTING_ATTEMPTS_H
#define DANDELION_ROUTING_ATTEMPTS_H

#include "routing/CallOutcome.h"

#include <algorithm>
#include <map>
#include <string>

namespace dandelion {

/// How many attempts may be repeats.
struct RetryLimits
{
  /// Repeats that all nodes together may add, as a share of the calls.
  double ratio = 0.1;
  /// Repeats beyond that share that all nodes together may make in a row.
  double burst = 10;
};

/// Bounds the share of attempts that are repeats, so that failures do not multiply load.
class RetryBudget
{
public:
  explicit RetryBudget(RetryLimits aLimits = RetryLimits());
  /// Each call earns a part of a repeat.
  void OnCall();
  /// Takes one repeat from the budget where there is one.
  bool Spend();
  /// Lowers what may be saved, where the node's share of the slack has shrunk.
  void SetLimits(RetryLimits aLimits);

private:
  RetryLimits limits_;
  double balance_;
};

/// One node's share of the budgets that all nodes spend from, one for each service.
class RetryBudgets
{
public:
  explicit RetryBudgets(RetryLimits aOfAllNodes);
  /// The slack is divided by the nodes; each one's calls earn the ratio.
  void SetNodes(size_t aNodes);
  RetryBudget& For(const std::string& aService);

private:
  RetryLimits totalLimits_;
  RetryLimits nodeLimits_;
  std::map<std::string, RetryBudget> byService_;
};

enum class NextStep
{
  TryAnother,
  Answer,
};

/// How an attempt ended.
struct AttemptEnd
{
  CallOutcome outcome = CallOutcome::Unknown;
  /// A node deeper in the chain of calls has repeated in vain already.
  bool isRetried = false;
  /// The upstream has received the call, if only to refuse it. A call that was refused before that
  /// costs no upstream anything, so sending it elsewhere is not counted as a repeat.
  bool hasReachedUpstream = true;
  /// The upstream ran the call and answered with a failure.
  bool hasFailed = false;
};

/// The attempts of one call.
class Attempts
{
public:
  /// Nodes that may refuse a call before its caller is told: those asked impatiently, and three
  /// more, as many as a zone's worth of full gates takes to believe.
  static constexpr int64_t kMaxSends = 6;

  /// `aIsIdempotent`: running the call twice does no harm.
  Attempts(bool aIsIdempotent, int64_t aMax, TimePoint aDeadline);

  /// What to do after an attempt. After `Unknown` only an idempotent call may be sent again;
  /// `Ran` ends the call, but for an idempotent one that failed. Only the node nearest to a refusal
  /// repeats, so that the repeats of a chain of calls do not multiply.
  NextStep OnEnded(const AttemptEnd& aEnd, RetryBudget& aBudget, TimePoint aNow);

  /// Repeats that calls further down the chain may make. A refusal of any kind takes one of them,
  /// or the levels of a chain would multiply what they ask.
  int64_t RetriesLeft() const { return std::max<int64_t>(0, attemptsLeft_ - refusals_ - 1); }

  /// Whether a second attempt may run beside one that has not ended.
  bool MayRunTwice() const { return isIdempotent_ && attemptsLeft_ > 1; }

  /// Whether the answer must tell the calls above that repeats were made.
  bool IsRetried() const { return isRetried_; }

  /// Outcome of the call as a whole: `NotRun` only if no attempt may have run.
  CallOutcome Combined() const { return combined_; }

private:
  bool isIdempotent_;
  int64_t attemptsLeft_;
  TimePoint deadline_;
  int64_t sendsLeft_ = kMaxSends;
  int64_t refusals_ = 0;
  bool isRetried_ = false;
  CallOutcome combined_ = CallOutcome::NotRun;
};

} // namespace dandelion

#endif
