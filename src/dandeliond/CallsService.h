/// Chooses where the calls of callers are sent, with retries and hedged attempts where they are
/// safe. `CarrierService` carries the attempts.
#ifndef DANDELION_DANDELIOND_CALLS_SERVICE_H
#define DANDELION_DANDELIOND_CALLS_SERVICE_H

#include "dandeliond/AccountServices.h"
#include "dandeliond/CallInProgress.h"
#include "dandeliond/MembershipServices.h"
#include "dandeliond/ReleaseServices.h"
#include "overload/Overload.h"

#include <map>
#include <random>

namespace dandelion {

class CallsService
  : public Service
  , public Calls
{
public:
  CallsService(const NodeContext& aContext, uint64_t aSeed);

  absl::Status Start() override;
  void Stop() override;

  CallId Begin(CallerRequest aRequest, OnAnswer aDone) override;
  void Cancel(CallId aId) override;
  void HedgeOutstanding() override;
  void RefuseCallsEndingAfter(TimePoint aLatestEnd) override { latestEnd_ = aLatestEnd; }
  void AnswerOutstanding() override;
  size_t InProgress() const override { return calls_.size(); }

private:
  /// Routes the call by the newest configuration. Returns false and sets `aRefusal` if the call
  /// cannot be routed or this node must not take it.
  bool Resolve(CallInProgress& aCall, CallerAnswer& aRefusal);
  void Start(CallId aId);
  /// Whether the service of the call has too little room at present.
  bool IsLimited(const CallInProgress& aCall) const;
  /// Sends the call once its account has a token for it.
  void TakeToken(CallId aId);
  ChoiceQuery QueryFor(const CallInProgress& aCall) const;
  /// The upstream of the next attempt, or null where none may be tried.
  const Member* ChooseFor(const CallInProgress& aCall);
  /// Sends the next attempt, or answers the call where no upstream is left.
  void SendNext(CallId aId);
  void SendAttempt(CallId aId, const Member& aMember, bool aHasTakenRetry = false);
  /// The class of the call; where zones are shared, also where its attempt goes.
  MetricLabel AttemptLabel(const CallInProgress& aCall, const Member& aMember) const;
  void ScheduleHedge(CallId aId);
  void Hedge(CallId aId);
  void OnReply(AttemptId aAttempt, const CallReply& aReply);
  void EndAttempt(CallInProgress& aCall, AttemptId aAttempt, const CallReply& aReply);
  /// Routes the call again and sends or refuses it. While this node is behind, waits for it to
  /// catch up, for at most `aChecksLeft` check periods.
  void Reroute(CallId aId, int aChecksLeft);
  /// Answers the call now with what is known of its outcome.
  void OnDeadline(CallId aId);
  void ReturnUnusedToken(CallInProgress& aCall);
  void CancelAttempts(CallInProgress& aCall);
  void Answer(CallId aId, CallerAnswer aAnswer);

  const NodeContext& context_;
  UpstreamChoice choice_;
  Hedging hedging_;
  EntryLimiter limiter_;
  ClientDeadlines clientDeadlines_;
  SplitChoice splits_;
  RetryBudgets retryBudgets_;
  /// Calls that may end later are refused.
  std::optional<TimePoint> latestEnd_;
  std::mt19937_64 random_;
  Releases* releases_ = nullptr;
  Membership* membership_ = nullptr;
  Spreading* spreading_ = nullptr;
  Carrier* carrier_ = nullptr;
  AccountCaps* accountCaps_ = nullptr;
  Metrics* metrics_ = nullptr;
  CallId nextCall_ = 1;
  AttemptId nextAttempt_ = 1;
  std::map<CallId, CallInProgress> calls_;
  std::map<AttemptId, CallId> callByAttempt_;
};

} // namespace dandelion

#endif
