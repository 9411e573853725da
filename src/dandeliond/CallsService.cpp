#include "dandeliond/CallsService.h"

#include <algorithm>

namespace dandelion {

namespace {

/// A call that may need a newer configuration waits while this node is behind. It is routed as soon
/// as a periodic check finds that the node has caught up, or after the last check.
constexpr Duration kCatchUpCheckPeriod = milliseconds(20);
constexpr int kMaxCatchUpChecks = 25;

/// Retry-After of a refusal: this minimum plus a random share of the shortest expected wait.
constexpr Duration kMinRetryAfter = milliseconds(100);
constexpr double kMinWaitShare = 0.5;
constexpr double kMaxWaitShare = 1.5;

/// Maps random bits to a number in [0, 1). Uses 53 bits, as many as a double represents exactly.
double ToUnitInterval(uint64_t aBits)
{
  constexpr double kScale = 1.0 / 9007199254740992.0;
  constexpr int kUnusedBits = 11;
  return static_cast<double>(aBits >> kUnusedBits) * kScale;
}

CallerAnswer MakeRefusal(ErrorKind aKind, const std::string& aReason)
{
  CallerAnswer answer;
  answer.outcome = CallOutcome::NotRun;
  answer.error = aKind;
  answer.reason = aReason;
  return answer;
}

bool IsIdempotent(const CallerRequest& aRequest, const PolicySpec& aPolicy)
{
  return !aPolicy.atMostOnce && (aPolicy.idempotent || IsIdempotentMethod(aRequest.method));
}

RetryLimits RetryLimitsOf(const RetrySettings& aSettings)
{
  return RetryLimits{ aSettings.ratio, aSettings.burst };
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
}

absl::Status CallsService::Start()
{
  Registry& registry = context_.registry;
  links_ = &registry.Find<Links>(ServiceName::Links);
  releases_ = &registry.Find<Releases>(ServiceName::Releases);
  membership_ = &registry.Find<Membership>(ServiceName::Membership);
  spreading_ = &registry.Find<Spreading>(ServiceName::Spreading);
  admission_ = &registry.Find<Admission>(ServiceName::Admission);
  metrics_ = &registry.Find<Metrics>(ServiceName::Metrics);
  links_->AddHandler(*this);
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
  Call call{ std::move(aRequest),
             std::move(aDone),
             nullptr,
             {},
             {},
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
  // A newer version that this node knows of and has not applied yet may have the route.
  bool mayBeInNewerVersion = refusal.error == ErrorKind::NoRoute && spreading_->IsBehind();
  if (!isResolved && !mayBeInNewerVersion) {
    LogAnswer(call, refusal);
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
  Call& call = calls_.at(aId);
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
  retryBudgets_.For(call.service).OnCall();
  ScheduleHedge(aId);
  SendNext(aId);
}

bool CallsService::Resolve(Call& aCall, CallerAnswer& aRefusal)
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
  // `route` points into `routes`, so either both are replaced or, on a refusal, neither is.
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

ChoiceQuery CallsService::QueryFor(const Call& aCall) const
{
  const PolicySpec& policy = *aCall.route.policy;
  const ServiceSpec& service = aCall.routes->SourceConfiguration().services.at(aCall.service).spec;
  ChoiceQuery query{
    aCall.service, policy.crossRegion, milliseconds(service.coldStartMs), aCall.tried.Excluded()
  };
  query.costClass = policy.name;
  query.mustMeetTarget = aCall.tried.MustMeetTarget();
  if (policy.targetMs > 0) {
    query.timeLeft = aCall.beganAt + milliseconds(policy.targetMs) - context_.loop.Now();
  }
  return query;
}

const Member* CallsService::ChooseFor(const Call& aCall)
{
  return choice_.Choose(
    membership_->Table(), membership_->Self(), QueryFor(aCall), context_.loop.Now());
}

void CallsService::SendNext(CallId aId)
{
  Call& call = calls_.at(aId);
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
  Answer(aId,
         MakeRefusal(ErrorKind::NoUpstream,
                     fmt::format("service \"{}\" has no upstream within reach", call.service)));
}

void CallsService::SendAttempt(CallId aId, const Member& aMember, bool aHasTakenRetry)
{
  Call& call = calls_.at(aId);
  AttemptId id = nextAttempt_++;
  metrics_->Count(CounterName::Attempts, ClassLabel(call.limits.trafficClass));
  Attempt& attempt = call.openAttempts[id];
  attempt.member = aMember.id;
  attempt.sentAt = context_.loop.Now();
  attempt.hasTakenRetry = aHasTakenRetry;
  OpenCall openCall = MakeOpenCall(call, id);
  attempt.isShortWait = openCall.maxQueueDelayMs.has_value();
  call.tried.OnSent(aMember.id);
  callByAttempt_[id] = aId;
  choice_.OnAttemptStarted(aMember.id);
  if (aMember.id == context_.settings.id) {
    SendLocally(aId, id, openCall);
    return;
  }
  const Endpoint& endpoint = EndpointFrom(context_.settings.region, aMember);
  attempt.link = links_->Open(endpoint, LaneFor(call.limits.trafficClass));
  links_->AwaitAnswer(*attempt.link);
  links_->Send(*attempt.link, openCall);
}

void CallsService::SendLocally(CallId aId, AttemptId aAttempt, const OpenCall& aOpenCall)
{
  auto onReply = [this, aAttempt](const CallReply& aReply) { OnReply(aAttempt, aReply); };
  Admission::Ticket ticket = admission_->Serve(aOpenCall, onReply);
  // `Serve` may refuse the call before it returns, and the refusal may have completed the call.
  auto call = calls_.find(aId);
  if (call == calls_.end()) {
    return;
  }
  auto attempt = call->second.openAttempts.find(aAttempt);
  if (attempt != call->second.openAttempts.end()) {
    attempt->second.ticket = ticket;
  }
}

OpenCall CallsService::MakeOpenCall(const Call& aCall, AttemptId aAttempt) const
{
  OpenCall openCall;
  openCall.id = aAttempt;
  openCall.version = aCall.routes->SourceConfiguration().version;
  openCall.route = aCall.route.route->name;
  openCall.service = aCall.service;
  openCall.trafficClass = aCall.limits.trafficClass;
  openCall.deadlineMs =
    std::max<int64_t>(1, ToMilliseconds(aCall.limits.deadline - context_.loop.Now()));
  openCall.retriesLeft = aCall.attempts.RetriesLeft();
  openCall.method = aCall.request.method;
  openCall.target = aCall.request.target;
  openCall.headers = aCall.request.headers;
  openCall.body.data = aCall.request.body;
  const PolicySpec& policy = *aCall.route.policy;
  openCall.policy = policy.name;
  if (policy.targetMs > 0) {
    Duration left = aCall.beganAt + milliseconds(policy.targetMs) - context_.loop.Now();
    openCall.targetMs = std::max<int64_t>(1, ToMilliseconds(left));
    std::optional<Duration> maxQueueDelay = aCall.tried.MaxQueueDelay(left);
    if (maxQueueDelay.has_value()) {
      openCall.maxQueueDelayMs = ToMilliseconds(*maxQueueDelay);
    }
  }
  openCall.priority = policy.priority;
  openCall.isIdempotent = IsIdempotent(aCall.request, policy);
  openCall.callerService = context_.settings.service;
  openCall.requestId = aCall.request.id;
  return openCall;
}

void CallsService::ScheduleHedge(CallId aId)
{
  Call& call = calls_.at(aId);
  const PolicySpec& policy = *call.route.policy;
  std::optional<Duration> delay =
    hedging_.DelayFor(call.service, call.limits.trafficClass, IsIdempotent(call.request, policy));
  if (delay.has_value()) {
    call.hedgeTimer = context_.loop.After(*delay, [this, aId] { Hedge(aId); });
  }
}

void CallsService::Hedge(CallId aId)
{
  Call& call = calls_.at(aId);
  // Only a call whose first attempt is still its only one is hedged: a retry already is a second
  // attempt.
  bool isFirst = call.openAttempts.size() == 1 && call.tried.Sends() == 1;
  const Member* member = isFirst ? ChooseFor(call) : nullptr;
  if (member != nullptr && hedging_.TryTake()) {
    metrics_->Count(CounterName::Hedges, ClassLabel(call.limits.trafficClass));
    SendAttempt(aId, *member);
  }
}

void CallsService::OnLinkMessage(LinkId aLink, const LinkMessage& aMessage)
{
  std::visit(Overloaded{
               [&](const CallReply& aReply) {
                 // A late answer to a cancelled attempt is ignored; the cancellation has ended the
                 // wait for it.
                 if (callByAttempt_.count(aReply.id) > 0) {
                   links_->AnswerReceived(aLink);
                   OnReply(aReply.id, aReply);
                 }
               },
               [](const auto&) {},
             },
             aMessage);
}

void CallsService::OnLinkClosed(LinkId aLink, const std::vector<LinkMessage>& aUnsent)
{
  std::set<AttemptId> unsent;
  for (const LinkMessage& message : aUnsent) {
    if (const auto* openCall = std::get_if<OpenCall>(&message)) {
      unsent.insert(openCall->id);
    }
  }
  std::vector<AttemptId> lost;
  for (const auto& [callId, call] : calls_) {
    for (const auto& [id, attempt] : call.openAttempts) {
      if (attempt.link == aLink) {
        lost.push_back(id);
      }
    }
  }
  for (AttemptId attempt : lost) {
    CallReply reply;
    reply.id = attempt;
    // A message that was sent may have reached the upstream before the link closed.
    bool hasLeft = unsent.count(attempt) == 0;
    reply.outcome = hasLeft ? CallOutcome::Unknown : CallOutcome::NotRun;
    reply.error = hasLeft ? ErrorKind::OutcomeUnknown : ErrorKind::Unreachable;
    OnReply(attempt, reply);
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
  Call& call = calls_.at(id);
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

void CallsService::EndAttempt(Call& aCall, AttemptId aAttempt, const CallReply& aReply)
{
  auto found = aCall.openAttempts.find(aAttempt);
  TimePoint now = context_.loop.Now();
  AttemptResult result;
  result.latency = now - found->second.sentAt;
  bool isRefusedByUpstream = aReply.outcome == CallOutcome::NotRun && aReply.hasReachedUpstream;
  result.hasFailed = aReply.outcome == CallOutcome::Unknown || isRefusedByUpstream ||
                     aReply.error == ErrorKind::Unreachable ||
                     aReply.error == ErrorKind::NotReady || aReply.error == ErrorKind::Leaving;
  result.queueLength = aReply.queueLength;
  result.costClass = aCall.route.policy->name;
  result.answerBytes = aReply.body.data.size();
  if (aReply.elapsedUs > 0) {
    result.networkRoundTrip =
      std::max(Duration::zero(), result.latency - Duration(aReply.elapsedUs));
  }
  if (aReply.slots > 0) {
    result.queueEstimate = QueueEstimate{ aReply.queueLength,
                                          aReply.slots,
                                          aReply.freeSlots,
                                          Duration(aReply.queueDelayUs),
                                          Duration(aReply.serviceTimeUs),
                                          Duration(aReply.linkDelayUs) };
  }
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
  Call& call = found->second;
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
  Call& call = calls_.at(aId);
  if (call.lastReply.outcome == CallOutcome::Ran) {
    Answer(aId, AnswerFromReply(call, call.lastReply));
    return;
  }
  bool mayRun = !call.openAttempts.empty() || call.attempts.Combined() != CallOutcome::NotRun;
  CallerAnswer answer;
  answer.outcome = mayRun ? CallOutcome::Unknown : CallOutcome::NotRun;
  answer.error = ErrorKind::DeadlineExceeded;
  answer.reason = "the policy's time limit has passed";
  Answer(aId, answer);
}

void CallsService::Cancel(CallId aId)
{
  auto found = calls_.find(aId);
  if (found != calls_.end()) {
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

void CallsService::CancelAttempts(Call& aCall)
{
  TimePoint now = context_.loop.Now();
  for (const auto& [id, attempt] : std::exchange(aCall.openAttempts, {})) {
    callByAttempt_.erase(id);
    AttemptResult result;
    result.latency = now - attempt.sentAt;
    result.isCensored = true;
    choice_.OnAttemptEnded(attempt.member, result, now);
    if (attempt.link.has_value()) {
      links_->AnswerReceived(*attempt.link);
      links_->Send(*attempt.link, CancelCall{ id });
    } else {
      admission_->Cancel(attempt.ticket);
    }
  }
}

void CallsService::Answer(CallId aId, CallerAnswer aAnswer)
{
  auto found = calls_.find(aId);
  Call call = std::move(found->second);
  calls_.erase(found);
  CancelAttempts(call);
  bool isShed = aAnswer.outcome == CallOutcome::NotRun && call.route.policy != nullptr;
  if (isShed) {
    aAnswer.retryAfter = SuggestRetryAfter(call);
  }
  LogAnswer(call, aAnswer);
  Duration latency = context_.loop.Now() - call.beganAt;
  MetricLabel label = ClassLabel(call.limits.trafficClass);
  metrics_->Observe(HistogramName::CallTime, label, latency);
  metrics_->Count(CounterName::CallsAnswered,
                  fmt::format("{},outcome=\"{}\"", label, NameOf(aAnswer.outcome)));
  if (aAnswer.outcome == CallOutcome::Ran) {
    hedging_.OnAnswered(call.service, latency);
  }
  call.onAnswer(aAnswer);
}

CallerAnswer CallsService::AnswerFromReply(const Call& aCall, const CallReply& aReply) const
{
  CallerAnswer answer;
  answer.outcome = aCall.attempts.Combined();
  answer.isRetried = aCall.attempts.IsRetried();
  answer.status = aReply.status;
  answer.headers = aReply.headers;
  answer.body = aReply.body.data;
  if (answer.outcome == CallOutcome::Ran) {
    return answer;
  }
  answer.error = answer.outcome == CallOutcome::Unknown
                   ? ErrorKind::OutcomeUnknown
                   : aReply.error.value_or(ErrorKind::NoUpstream);
  answer.reason = fmt::format("service \"{}\": {}", aCall.service, NameOf(*answer.error));
  return answer;
}

Duration CallsService::SuggestRetryAfter(const Call& aCall)
{
  Duration wait =
    choice_.ShortestQueueDelay(membership_->Table(), QueryFor(aCall), context_.loop.Now());
  // The range is as wide as the wait, so that callers refused together do not retry together.
  double share = kMinWaitShare + (kMaxWaitShare - kMinWaitShare) * ToUnitInterval(random_());
  return kMinRetryAfter + Duration(static_cast<int64_t>(share * static_cast<double>(wait.count())));
}

void CallsService::LogAnswer(const Call& aCall, const CallerAnswer& aAnswer) const
{
  bool hasRunWithoutRetry = aAnswer.outcome == CallOutcome::Ran && !aAnswer.isRetried;
  if (hasRunWithoutRetry) {
    return;
  }
  bool isRouted = aCall.route.route != nullptr;
  LogRequest(LogPart::Calls,
             LogLevel::Info,
             aCall.request.id,
             "Answered {} after {} ms and {} asks: {}. Route {} of version {}, service {}.",
             NameOf(aAnswer.outcome),
             ToMilliseconds(context_.loop.Now() - aCall.beganAt),
             aCall.tried.Sends(),
             aAnswer.error.has_value() ? NameOf(*aAnswer.error) : "repeated",
             isRouted ? aCall.route.route->name : "-",
             isRouted ? aCall.routes->SourceConfiguration().version : releases_->Current()->version,
             aCall.service.empty() ? "-" : aCall.service);
}

Lane CallsService::LaneFor(TrafficClass aClass) const
{
  bool usesBulkLane = aClass == TrafficClass::Bulk || aClass == TrafficClass::Background;
  bool hasLanesByClass = context_.settings.lanes == LanesName::ByClass;
  return usesBulkLane && hasLanesByClass ? Lane::Bulk : Lane::Short;
}

} // namespace dandelion
