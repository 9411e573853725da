#include "dandeliond/CallsService.h"

#include "dandeliond/CallIdentity.h"
#include "dandeliond/CallMessages.h"
#include "dandeliond/CallTokens.h"

#include <algorithm>

namespace dandelion {

namespace {

/// A call that may need a newer configuration waits while this node is behind. It is routed as soon
/// as a periodic check finds that the node has caught up, or after the last check.
constexpr Duration kCatchUpCheckPeriod = milliseconds(20);
constexpr int kMaxCatchUpChecks = 25;

RetryLimits RetryLimitsOf(const RetrySettings& aSettings)
{
  return RetryLimits{ aSettings.ratio, aSettings.burst };
}

ZonePrices ZonePricesOf(const ZoneSharingSettings& aSettings)
{
  constexpr double kBytesPerKilobyte = 1024;
  return ZonePrices{ milliseconds(aSettings.zoneWaitMs),
                     milliseconds(aSettings.regionWaitMs),
                     static_cast<double>(aSettings.regionKbPerS) * kBytesPerKilobyte };
}

} // namespace

CallsService::CallsService(const NodeContext& aContext, uint64_t aSeed)
  : context_(aContext)
  , choice_(MakeChoiceStrategy(aContext.settings.choice), aSeed, aContext.loop.Now())
  , hedging_(MakeHedgeStrategy(aContext.settings.hedge))
  , splits_(aSeed + 1)
  , retryBudgets_(RetryLimitsOf(aContext.settings.retries))
  , random_(aSeed + 2)
{
  if (aContext.settings.zoneSharing.has_value()) {
    choice_.ShareZones(ZonePricesOf(*aContext.settings.zoneSharing), aSeed + 3);
  }
}

absl::Status CallsService::Start()
{
  Registry& registry = context_.registry;
  releases_ = &registry.Find<Releases>(ServiceName::Releases);
  membership_ = &registry.Find<Membership>(ServiceName::Membership);
  spreading_ = &registry.Find<Spreading>(ServiceName::Spreading);
  carrier_ = &registry.Find<Carrier>(ServiceName::Carrier);
  accountCaps_ = &registry.Find<AccountCaps>(ServiceName::AccountCaps);
  metrics_ = &registry.Find<Metrics>(ServiceName::Metrics);
  membership_->AddListener([this] {
    if (context_.settings.environment == EnvironmentName::Platform) {
      // Retry budgets are shared by all nodes, so the share of one node depends on their number.
      retryBudgets_.SetNodeCount(membership_->Table().CountActive());
    }
  });
  return absl::OkStatus();
}

void CallsService::Stop()
{
  calls_.clear();
  callByAttempt_.clear();
}

Calls::CallId CallsService::Begin(CallerRequest aRequest, OnAnswer aDone)
{
  CallId id = nextCall_++;
  TimePoint now = context_.loop.Now();
  CallInProgress call{ std::move(aRequest),
                       std::move(aDone),
                       nullptr,
                       {},
                       {},
                       now,
                       now,
                       {},
                       Attempts(false, 1, now),
                       {},
                       {},
                       {},
                       {},
                       {},
                       {} };
  CallerAnswer refusal;
  bool isResolved = Resolve(call, refusal);
  // A newer version that this node knows of and has not applied yet may have the route or the key.
  bool isUnknown =
    refusal.error == ErrorKind::NoRoute || refusal.error == ErrorKind::Unauthenticated;
  bool mayBeInNewerVersion = isUnknown && spreading_->IsBehind();
  if (!isResolved && !mayBeInNewerVersion) {
    LogAnswer(call, refusal, releases_->Current()->version, context_.loop.Now());
    call.onAnswer(refusal);
    return id;
  }
  calls_.emplace(id, std::move(call));
  if (isResolved) {
    Start(id);
  } else {
    Reroute(id, kMaxCatchUpChecks);
  }
  return id;
}

void CallsService::Start(CallId aId)
{
  CallInProgress& call = calls_.at(aId);
  TimePoint now = context_.loop.Now();
  const PolicySpec& policy = *call.route.policy;
  call.limits = LimitsFor(policy, call.request.limits, call.beganAt);
  call.attempts =
    Attempts(IsIdempotent(call.request, policy), call.limits.attempts, call.limits.deadline);
  if (latestEnd_.has_value() && call.limits.deadline > *latestEnd_) {
    Answer(aId, MakeRefusal(ErrorKind::Leaving, "this node is stopping; call another"));
    return;
  }
  call.deadlineTimer =
    context_.loop.After(call.limits.deadline - now, [this, aId] { OnDeadline(aId); });
  call.clientBeganAt =
    call.beganAt - clientDeadlines_.Observe(policy.name, call.request.limits.timeLeft);
  TakeToken(aId);
}

void CallsService::TakeToken(CallId aId)
{
  std::string account = AccountOf(calls_.at(aId));
  accountCaps_->TryTake(account, [this, aId, account](bool aIsTaken, Duration aWait) {
    auto found = calls_.find(aId);
    if (found == calls_.end()) {
      // The call was cancelled, or its time has passed.
      if (aIsTaken) {
        accountCaps_->Return(account);
      }
      return;
    }
    if (!aIsTaken) {
      Answer(aId, OverCapRefusal(account, aWait, random_()));
      return;
    }
    found->second.hasToken = true;
    retryBudgets_.For(found->second.service).OnCall();
    ScheduleHedge(aId);
    SendNext(aId);
  });
}

bool CallsService::Resolve(CallInProgress& aCall, CallerAnswer& aRefusal)
{
  if (!membership_->IsReady()) {
    // The texts of refusals are sent to callers.
    aRefusal = MakeRefusal(ErrorKind::NotReady, "this node is still joining; call another");
    return false;
  }
  if (membership_->IsFenced(context_.loop.Now())) {
    aRefusal = MakeRefusal(ErrorKind::Fenced, "this node is cut off from the others; call another");
    return false;
  }
  std::shared_ptr<const RouteTable> routes = releases_->Routes();
  bool isPlatform = context_.settings.environment == EnvironmentName::Platform;
  if (isPlatform && routes->SourceConfiguration().version == 0) {
    aRefusal = MakeRefusal(ErrorKind::NotReady, "this node has no configuration yet; call another");
    return false;
  }
  std::optional<ResolvedRoute> route = routes->Match(aCall.request.target, aCall.request.host);
  if (!route.has_value()) {
    aRefusal = MakeRefusal(ErrorKind::NoRoute,
                           fmt::format("no route of version {} matches the path",
                                       routes->SourceConfiguration().version));
    return false;
  }
  auto account = FindSender(*releases_->Accounts(), *route->route, aCall.request);
  if (!account.ok()) {
    aRefusal = MakeUnauthenticatedRefusal(account.status());
    return false;
  }
  // `route` and `account` point into the configuration of `routes`, so either all of them are
  // replaced or, on a refusal, none is.
  aCall.account = *account;
  aCall.routes = std::move(routes);
  aCall.route = *route;
  std::vector<std::string> services = ServicesOf(*route->route);
  if (std::find(services.begin(), services.end(), aCall.service) == services.end()) {
    aCall.service = splits_.Choose(*route->route);
    // Members that were tried for the previous service say nothing about the new one.
    aCall.tried.Clear();
  }
  return true;
}

bool CallsService::IsLimited(const CallInProgress& aCall) const
{
  return limiter_.IsLimiting(aCall.service, aCall.route.policy->name, context_.loop.Now());
}

ChoiceQuery CallsService::QueryFor(const CallInProgress& aCall) const
{
  const PolicySpec& policy = *aCall.route.policy;
  const ServiceSpec& service = aCall.routes->SourceConfiguration().services.at(aCall.service).spec;
  ChoiceQuery query{
    aCall.service, policy.crossRegion, milliseconds(service.coldStartMs), aCall.tried.Excluded()
  };
  query.costClass = policy.name;
  query.refusedShortWait = &aCall.tried.RefusedShortWait();
  query.mustMeetTarget = aCall.tried.MustMeetTarget() || IsLimited(aCall);
  if (policy.targetMs > 0) {
    query.timeLeft = aCall.clientBeganAt + milliseconds(policy.targetMs) - context_.loop.Now();
  }
  return query;
}

const Member* CallsService::ChooseFor(const CallInProgress& aCall)
{
  return choice_.Choose(
    membership_->Table(), membership_->Self(), QueryFor(aCall), context_.loop.Now());
}

void CallsService::SendNext(CallId aId)
{
  CallInProgress& call = calls_.at(aId);
  if (IsLimited(call)) {
    call.tried.EndShortWait();
  }
  call.tried.BeginSend();
  const Member* member = ChooseFor(call);
  if (member == nullptr && call.tried.EndShortWait()) {
    member = ChooseFor(call);
  }
  if (member != nullptr) {
    SendAttempt(aId, *member);
    return;
  }
  if (call.tried.Sends() > 0) {
    Answer(aId, AnswerFromReply(call, call.lastReply));
    return;
  }
  // Refused here as well while the service has too little room: an upstream would refuse it later.
  Answer(aId,
         IsLimited(call)
           ? MakeRefusal(ErrorKind::Overloaded,
                         fmt::format("service \"{}\" has no room for the call", call.service))
           : MakeRefusal(ErrorKind::NoUpstream,
                         fmt::format("service \"{}\" has no upstream within reach", call.service)));
}

MetricLabel CallsService::AttemptLabel(const CallInProgress& aCall, const Member& aMember) const
{
  MetricLabel label = ClassLabel(aCall.limits.trafficClass);
  if (!context_.settings.zoneSharing.has_value()) {
    return label;
  }
  Destination destination = DestinationOf(aMember, membership_->Self());
  return fmt::format("{},destination=\"{}\"", label, NameOf(destination));
}

void CallsService::SendAttempt(CallId aId, const Member& aMember, bool aHasTakenRetry)
{
  CallInProgress& call = calls_.at(aId);
  AttemptId id = nextAttempt_++;
  metrics_->Count(CounterName::Attempts, AttemptLabel(call, aMember));
  OpenAttempt& attempt = call.openAttempts[id];
  attempt.member = aMember.id;
  attempt.sentAt = context_.loop.Now();
  attempt.hasTakenRetry = aHasTakenRetry;
  OpenCall openCall = MakeOpenCall(call, id, context_.settings.service, attempt.sentAt);
  openCall.isFromOtherZone =
    context_.settings.zoneSharing.has_value() && aMember.zone != context_.settings.zone;
  attempt.isShortWait = openCall.maxQueueDelayMs.has_value();
  call.tried.OnSent(aMember.id);
  callByAttempt_[id] = aId;
  choice_.OnAttemptStarted(aMember.id);
  carrier_->Send(aMember, openCall, [this, id](const CallReply& aReply) { OnReply(id, aReply); });
}

void CallsService::ScheduleHedge(CallId aId)
{
  CallInProgress& call = calls_.at(aId);
  const PolicySpec& policy = *call.route.policy;
  std::optional<Duration> delay =
    hedging_.DelayFor(call.service, call.limits.trafficClass, IsIdempotent(call.request, policy));
  if (delay.has_value()) {
    call.hedgeTimer = context_.loop.After(*delay, [this, aId] { Hedge(aId); });
  }
}

void CallsService::Hedge(CallId aId)
{
  CallInProgress& call = calls_.at(aId);
  // Only a call whose first attempt is still its only one is hedged: a retry already is a second
  // attempt.
  bool isFirst = call.openAttempts.size() == 1 && call.tried.Sends() == 1;
  const Member* member = isFirst ? ChooseFor(call) : nullptr;
  if (member != nullptr && hedging_.TryTake()) {
    metrics_->Count(CounterName::Hedges, ClassLabel(call.limits.trafficClass));
    SendAttempt(aId, *member);
  }
}

void CallsService::OnReply(AttemptId aAttempt, const CallReply& aReply)
{
  auto found = callByAttempt_.find(aAttempt);
  if (found == callByAttempt_.end()) {
    return;
  }
  CallId id = found->second;
  callByAttempt_.erase(found);
  CallInProgress& call = calls_.at(id);
  EndAttempt(call, aAttempt, aReply);
  constexpr int64_t kFirstServerError = 500;
  FinishedAttempt end{ aReply.outcome, aReply.isRetried };
  end.hasReachedUpstream = aReply.hasReachedUpstream || aReply.outcome == CallOutcome::Unknown;
  end.hasFailed = aReply.outcome == CallOutcome::Ran && aReply.status >= kFirstServerError;
  NextStep next = call.attempts.OnEnded(end, retryBudgets_.For(call.service), context_.loop.Now());
  if ((aReply.outcome != CallOutcome::Ran || next == NextStep::Retry) &&
      !call.openAttempts.empty()) {
    // The other attempt of a hedged call may still be answered.
    return;
  }
  if (next == NextStep::Answer) {
    Answer(id, AnswerFromReply(call, call.lastReply));
    return;
  }
  metrics_->Count(CounterName::Retries, ClassLabel(call.limits.trafficClass));
  if (aReply.error == ErrorKind::Withdrawn) {
    Reroute(id, kMaxCatchUpChecks);
  } else {
    SendNext(id);
  }
}

void CallsService::EndAttempt(CallInProgress& aCall, AttemptId aAttempt, const CallReply& aReply)
{
  auto found = aCall.openAttempts.find(aAttempt);
  TimePoint now = context_.loop.Now();
  AttemptResult result =
    ToAttemptResult(aReply, aCall.route.policy->name, now - found->second.sentAt);
  choice_.OnAttemptEnded(found->second.member, result, now);
  if (found->second.hasTakenRetry && aReply.outcome == CallOutcome::NotRun &&
      !aReply.hasReachedUpstream) {
    retryBudgets_.For(aCall.service).Return();
  }
  if (found->second.isShortWait && aReply.error == ErrorKind::Overloaded &&
      !aReply.hasReachedUpstream) {
    aCall.tried.OnShortWaitRefused(found->second.member);
  }
  aCall.openAttempts.erase(found);
  NoteAttemptEnd(aCall, aReply);
  // An answer of the upstream is kept when a later attempt ends without one.
  if (aReply.outcome == CallOutcome::Ran || aCall.lastReply.outcome != CallOutcome::Ran) {
    aCall.lastReply = aReply;
  }
}

void CallsService::Reroute(CallId aId, int aChecksLeft)
{
  auto found = calls_.find(aId);
  if (found == calls_.end()) {
    return;
  }
  CallInProgress& call = found->second;
  if (spreading_->IsBehind() && aChecksLeft > 0) {
    auto checkAgain = [this, aId, aChecksLeft] { Reroute(aId, aChecksLeft - 1); };
    call.catchUpTimer = context_.loop.After(kCatchUpCheckPeriod, checkAgain);
    return;
  }
  CallerAnswer refusal;
  if (!Resolve(call, refusal)) {
    Answer(aId, refusal);
  } else if (call.limits.attempts == 0) {
    Start(aId);
  } else {
    SendNext(aId);
  }
}

void CallsService::OnDeadline(CallId aId)
{
  CallInProgress& call = calls_.at(aId);
  if (call.lastReply.outcome == CallOutcome::Ran) {
    Answer(aId, AnswerFromReply(call, call.lastReply));
    return;
  }
  Answer(aId, DeadlineAnswer(call));
}

void CallsService::Cancel(CallId aId)
{
  auto found = calls_.find(aId);
  if (found != calls_.end()) {
    ReturnUnusedToken(found->second);
    CancelAttempts(found->second);
    calls_.erase(found);
  }
}

void CallsService::HedgeOutstanding()
{
  std::vector<CallId> outstanding;
  for (const auto& [id, call] : calls_) {
    if (call.openAttempts.size() == 1 && call.attempts.MayHedge()) {
      outstanding.push_back(id);
    }
  }
  for (CallId id : outstanding) {
    // An immediate refusal of an attempt sent in this loop may have completed the call.
    auto found = calls_.find(id);
    if (found == calls_.end()) {
      continue;
    }
    // The latency target has usually passed by now, and a late answer is better than none.
    ChoiceQuery query = QueryFor(found->second);
    query.mustMeetTarget = false;
    const Member* member =
      choice_.Choose(membership_->Table(), membership_->Self(), query, context_.loop.Now());
    if (member != nullptr && retryBudgets_.For(found->second.service).TryTake()) {
      LogRequest(
        LogPart::Calls,
        LogLevel::Info,
        found->second.request.id,
        "Asked {} as well after {} ms: this node may stop before the first attempt is answered.",
        member->id,
        ToMilliseconds(context_.loop.Now() - found->second.beganAt));
      SendAttempt(id, *member, true);
    }
  }
}

void CallsService::AnswerOutstanding()
{
  std::vector<CallId> ids;
  for (const auto& [id, call] : calls_) {
    ids.push_back(id);
  }
  for (CallId id : ids) {
    auto found = calls_.find(id);
    if (found != calls_.end()) {
      OnDeadline(id);
    }
  }
}

void CallsService::ReturnUnusedToken(CallInProgress& aCall)
{
  if (HasUnusedToken(aCall)) {
    aCall.hasToken = false;
    accountCaps_->Return(AccountOf(aCall));
  }
}

void CallsService::CancelAttempts(CallInProgress& aCall)
{
  TimePoint now = context_.loop.Now();
  for (const auto& [id, attempt] : std::exchange(aCall.openAttempts, {})) {
    callByAttempt_.erase(id);
    AttemptResult result;
    result.latency = now - attempt.sentAt;
    result.isCensored = true;
    choice_.OnAttemptEnded(attempt.member, result, now);
    carrier_->Cancel(id);
  }
}

void CallsService::Answer(CallId aId, CallerAnswer aAnswer)
{
  auto found = calls_.find(aId);
  CallInProgress call = std::move(found->second);
  calls_.erase(found);
  ReturnUnusedToken(call);
  CancelAttempts(call);
  bool isShed = aAnswer.outcome == CallOutcome::NotRun && call.route.policy != nullptr &&
                aAnswer.error != ErrorKind::Unauthenticated;
  bool hasFoundNoRoom = aAnswer.error == ErrorKind::Overloaded;
  // A call that no upstream was asked to run says nothing about their room.
  if (call.route.policy != nullptr && call.tried.Sends() > 0) {
    limiter_.OnCallEnded(
      call.service, call.route.policy->name, hasFoundNoRoom, context_.loop.Now());
  }
  if (isShed && !aAnswer.retryAfter.has_value()) {
    Duration wait =
      choice_.ShortestQueueDelay(membership_->Table(), QueryFor(call), context_.loop.Now());
    aAnswer.retryAfter = RetryAfter(wait, random_());
  }
  LogAnswer(call, aAnswer, releases_->Current()->version, context_.loop.Now());
  Duration latency = context_.loop.Now() - call.beganAt;
  MetricLabel label = ClassLabel(call.limits.trafficClass);
  metrics_->Observe(HistogramName::CallTime, label, latency);
  metrics_->Count(CounterName::CallsAnswered,
                  fmt::format("{},outcome=\"{}\"", label, NameOf(aAnswer.outcome)));
  CountAnswer(*metrics_, call, aAnswer.outcome);
  if (aAnswer.outcome == CallOutcome::Ran) {
    hedging_.OnAnswered(call.service, latency);
  }
  call.onAnswer(aAnswer);
}

} // namespace dandelion
