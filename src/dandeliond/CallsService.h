/// Sends calls of callers to upstreams, with retries and hedged attempts where they are safe.
#ifndef DANDELION_DANDELIOND_CALLS_SERVICE_H
#define DANDELION_DANDELIOND_CALLS_SERVICE_H

#include "dandeliond/Services.h"

#include <map>
#include <random>

namespace dandelion {

class CallsService
  : public Service
  , public Calls
  , public LinkHandler
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

  void OnLinkMessage(LinkId aLink, const LinkMessage& aMessage) override;
  void OnLinkClosed(LinkId aLink, const std::vector<LinkMessage>& aUnsent) override;

private:
  using AttemptId = uint64_t;
  /// One attempt that has not ended; `link` is empty for the upstream beside this node, and
  /// `ticket` is used only there.
  struct Attempt
  {
    std::string member;
    std::optional<LinkId> link;
    Admission::Ticket ticket = 0;
    TimePoint sentAt;
    /// Sent with a maximum queue delay: the upstream's node refuses it if it would wait longer.
    bool isShortWait = false;
    /// A retry was taken from the budget for it in advance.
    bool hasTakenRetry = false;
  };
  struct Call
  {
    CallerRequest request;
    OnAnswer onAnswer;
    /// The configuration that `route` points into. A call that is refused because its route was
    /// withdrawn is routed again by the newest one.
    std::shared_ptr<const RouteTable> routes;
    ResolvedRoute route;
    /// The service that the call is sent to, one of the services of its route.
    std::string service;
    TimePoint beganAt;
    /// `attempts` is 0 until the call has a route.
    CallLimits limits;
    Attempts attempts;
    TriedMembers tried;
    std::map<AttemptId, Attempt> openAttempts;
    CallReply lastReply;
    Timer deadlineTimer;
    Timer catchUpTimer;
    Timer hedgeTimer;
  };

  /// Routes the call by the newest configuration. Returns false and sets `aRefusal` if the call
  /// cannot be routed or this node must not take it.
  bool Resolve(Call& aCall, CallerAnswer& aRefusal);
  void Start(CallId aId);
  ChoiceQuery QueryFor(const Call& aCall) const;
  Duration SuggestRetryAfter(const Call& aCall);
  /// Logs the answer, except that of a call that has run without a retry.
  void LogAnswer(const Call& aCall, const CallerAnswer& aAnswer) const;
  /// The upstream of the next attempt, or null where none may be tried.
  const Member* ChooseFor(const Call& aCall);
  /// Sends the next attempt, or answers the call where no upstream is left.
  void SendNext(CallId aId);
  void SendAttempt(CallId aId, const Member& aMember, bool aHasTakenRetry = false);
  void SendLocally(CallId aId, AttemptId aAttempt, const OpenCall& aOpenCall);
  OpenCall MakeOpenCall(const Call& aCall, AttemptId aAttempt) const;
  void ScheduleHedge(CallId aId);
  void Hedge(CallId aId);
  void OnReply(AttemptId aAttempt, const CallReply& aReply);
  void EndAttempt(Call& aCall, AttemptId aAttempt, const CallReply& aReply);
  /// Routes the call again and sends or refuses it. While this node is behind, waits for it to
  /// catch up, for at most `aChecksLeft` check periods.
  void Reroute(CallId aId, int aChecksLeft);
  /// Answers the call now with what is known of its outcome.
  void OnDeadline(CallId aId);
  void CancelAttempts(Call& aCall);
  void Answer(CallId aId, CallerAnswer aAnswer);
  CallerAnswer AnswerFromReply(const Call& aCall, const CallReply& aReply) const;
  Lane LaneFor(TrafficClass aClass) const;

  const NodeContext& context_;
  UpstreamChoice choice_;
  Hedging hedging_;
  SplitChoice splits_;
  RetryBudgets retryBudgets_;
  /// Calls that may end later are refused.
  std::optional<TimePoint> latestEnd_;
  std::mt19937_64 random_;
  Links* links_ = nullptr;
  Releases* releases_ = nullptr;
  Membership* membership_ = nullptr;
  Spreading* spreading_ = nullptr;
  Admission* admission_ = nullptr;
  Metrics* metrics_ = nullptr;
  CallId nextCall_ = 1;
  AttemptId nextAttempt_ = 1;
  std::map<CallId, Call> calls_;
  std::map<AttemptId, CallId> callByAttempt_;
};

} // namespace dandelion

#endif
