/// Decides whether a call is tried again.
#ifndef DANDELION_ROUTING_ATTEMPTS_H
#define DANDELION_ROUTING_ATTEMPTS_H

#include "routing/CallOutcome.h"

#include <algorithm>

namespace dandelion {

/// Bounds the share of attempts that are repeats, so that failures do not multiply load.
class RetryBudget
{
public:
  /// Each call earns a part of a repeat.
  void OnCall();
  /// Takes one repeat from the budget where there is one.
  bool Spend();

private:
  static constexpr int64_t kRepeatCost = 100;
  static constexpr int64_t kEarnedPerCall = 10;
  static constexpr int64_t kMostSaved = 1000;
  int64_t saved_ = kMostSaved;
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
};

/// The attempts of one call.
class Attempts
{
public:
  /// `aIsIdempotent`: running the call twice does no harm.
  Attempts(bool aIsIdempotent, int64_t aMost, TimePoint aDeadline);

  /// What to do after an attempt. After `Unknown` only an idempotent call may be sent again;
  /// `Ran` ends the call. Only the node nearest to a refusal repeats, so that the repeats of a
  /// chain of calls do not multiply.
  NextStep OnEnded(const AttemptEnd& aEnd, RetryBudget& aBudget, TimePoint aNow);

  /// Repeats that calls further down the chain may make.
  int64_t RepeatsLeft() const { return std::max<int64_t>(0, left_ - 1); }

  /// Whether the answer must tell the calls above that repeats were made.
  bool IsRetried() const { return isRetried_; }

  /// Outcome of the call as a whole: `NotRun` only if no attempt may have run.
  CallOutcome Combined() const { return combined_; }

private:
  bool isIdempotent_;
  int64_t left_;
  TimePoint deadline_;
  bool isRetried_ = false;
  CallOutcome combined_ = CallOutcome::NotRun;
};

} // namespace dandelion

#endif
