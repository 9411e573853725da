/// Decides whether a call is retried.
#ifndef DANDELION_ROUTING_ATTEMPTS_H
#define DANDELION_ROUTING_ATTEMPTS_H

#include "routing/CallOutcome.h"

#include <algorithm>
#include <map>
#include <string>

namespace dandelion {

/// Bounds on the retries of all nodes together, or of one node.
struct RetryLimits
{
  /// Retries allowed as a share of the calls.
  double ratio = 0.1;
  /// Retries allowed in a row beyond that share.
  double burst = 10;
};

/// Bounds the share of attempts that are retries, so that failures do not multiply the load.
class RetryBudget
{
public:
  explicit RetryBudget(RetryLimits aLimits = RetryLimits());
  /// Adds `RetryLimits::ratio` of a retry to the balance, up to the burst. Called for each call.
  void OnCall();
  /// Takes one retry from the budget. Returns whether there was one.
  bool TryTake();
  /// Gives back what was taken for an attempt that has not reached an upstream.
  void Return();
  /// Replaces the limits. A balance above the new burst is cut to it.
  void SetLimits(RetryLimits aLimits);

private:
  RetryLimits limits_;
  double balance_;
};

/// One node's share of the retry budgets of all nodes, one budget for each service.
class RetryBudgets
{
public:
  explicit RetryBudgets(RetryLimits aTotalLimits);
  /// Divides the burst by the number of nodes. The ratio is not divided, as it applies to each
  /// node's own calls.
  void SetNodeCount(size_t aNodes);
  /// The budget of a service; created with a full balance on first use.
  RetryBudget& For(const std::string& aService);

private:
  RetryLimits totalLimits_;
  RetryLimits nodeLimits_;
  std::map<std::string, RetryBudget> byService_;
};

enum class NextStep
{
  Retry,
  Answer,
};

/// How an attempt ended.
struct FinishedAttempt
{
  CallOutcome outcome = CallOutcome::Unknown;
  /// A node further down the call chain has already retried without success.
  bool isRetried = false;
  /// The upstream has received the call, even if it refused it. A call that was refused earlier
  /// put no load on an upstream, so sending it again does not count as a retry.
  bool hasReachedUpstream = true;
  /// The upstream ran the call and its answer reports a failure.
  bool hasFailed = false;
};

/// Tracks the attempts of one call.
class Attempts
{
public:
  /// Sends of a call before a refusal is returned to its caller: the short-wait sends, and three
  /// full-wait sends, after which the zone counts as full.
  static constexpr int64_t kMaxSends = 6;

  /// `aIsIdempotent`: the call may safely run twice. `aMax`: attempts that may reach an upstream.
  Attempts(bool aIsIdempotent, int64_t aMax, TimePoint aDeadline);

  /// What to do after an attempt. After `Unknown` only an idempotent call is retried, and after
  /// `Ran` only an idempotent call that failed. Only the node nearest to a refusal retries, so that
  /// the retries of a call chain do not multiply.
  NextStep OnEnded(const FinishedAttempt& aEnd, RetryBudget& aBudget, TimePoint aNow);

  /// Retries that calls further down the chain may make. A refusal of any kind takes one of them;
  /// otherwise the levels of a chain would multiply their sends.
  int64_t RetriesLeft() const { return std::max<int64_t>(0, attemptsLeft_ - refusals_ - 1); }

  /// Whether a second attempt may be sent while the first one is still open.
  bool MayHedge() const { return isIdempotent_ && attemptsLeft_ > 1; }

  /// Whether the answer must tell the callers up the chain that retries were made.
  bool IsRetried() const { return isRetried_; }

  /// Outcome of the whole call; `NotRun` only if no attempt may have run.
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
