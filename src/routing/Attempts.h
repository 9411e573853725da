/// Decides whether a call is tried again.
#ifndef DANDELION_ROUTING_ATTEMPTS_H
#define DANDELION_ROUTING_ATTEMPTS_H

#include "routing/CallOutcome.h"

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

/// The attempts of one call.
class Attempts
{
public:
  /// `aIsIdempotent`: running the call twice does no harm.
  Attempts(bool aIsIdempotent, int64_t aMost, TimePoint aDeadline);

  /// What to do after an attempt. After `Unknown` only an idempotent call may be sent again;
  /// `Ran` ends the call.
  NextStep OnEnded(CallOutcome aOutcome, RetryBudget& aBudget, TimePoint aNow);

  /// Outcome of the call as a whole: `NotRun` only if no attempt may have run.
  CallOutcome Combined() const { return combined_; }

private:
  bool isIdempotent_;
  int64_t left_;
  TimePoint deadline_;
  CallOutcome combined_ = CallOutcome::NotRun;
};

} // namespace dandelion

#endif
