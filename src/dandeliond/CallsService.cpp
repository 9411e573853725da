#include "dandeliond/CallsService.h"

namespace dandelion {

namespace {

/// While this node catches up with the one that refused a call, the call waits in such steps.
constexpr Duration kCatchUpStep = milliseconds(20);
constexpr int kMostCatchUpSteps = 25;

CallerAnswer Refusal(ErrorKind aKind, const std::string& aReason)
{
  CallerAnswer answer;
  answer.outcome = CallOutcome::NotRun;
  answer.error = aKind;
  answer.reason = aReason;
  return answer;
}

bool IsIdempotent(const CallerRequest& aRequest, const PolicySpec& aPolicy)
{
  return aPolicy.idempotent || IsIdempotentMethod(aRequest.method);
}

} // namespace

CallsService::CallsService(const NodeContext& aContext, uint64_t aSeed)
  : context_(aContext)
  , choice_(MakeStrategy(aContext.settings.choice), aSeed, aContext.loop.Now())
  , hedging_(MakeHedgeStrategy(aContext.settings.hedge))
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
  return absl::OkStatus();
}

void CallsService::Stop()
{
  calls_.clear();
  byAttempt_.clear();
}

Calls::CallId CallsService::Begin(CallerRequest aRequest, OnAnswer aDone)
{
  CallId id = nextId_++;
  TimePoint now = context_.loop.Now();
  budget_.OnCall();
  Call call{ std::move(aRequest),
             std::move(aDone),
             nullptr,
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
  if (!Resolve(call, refusal)) {
    call.done(refusal);
    return id;
  }
  const PolicySpec& policy = *call.route.policy;
  call.limits = LimitsFor(policy, call.request.limits, now);
  call.attempts =
    Attempts(IsIdempotent(call.request, policy), call.limits.attempts, call.limits.deadline);
  call.limit = context_.loop.After(call.limits.deadline - now, [this, id] { OnDeadline(id); });
  calls_.emplace(id, std::move(call));
  PlanHedge(id);
  TryNext(id);
  return id;
}

bool CallsService::Resolve(Call& aCall, CallerAnswer& aRefusal) const
{
  if (!membership_->IsReady()) {
    aRefusal = Refusal(ErrorKind::NotReady, "this node is still joining; call another");
    return false;
  }
  if (membership_->IsFenced(context_.loop.Now())) {
    aRefusal = Refusal(ErrorKind::Fenced, "this node is cut off from the others; call another");
    return false;
  }
  std::shared_ptr<const RouteTable> routes = releases_->Routes();
  std::optional<ResolvedRoute> route = routes->Match(aCall.request.target);
  if (!route.has_value()) {
    aRefusal =
      Refusal(ErrorKind::NoRoute,
              fmt::format("no route of version {} matches the path", routes->Source().version));
    return false;
  }
  // `route` points into its table, so both change together or, on a refusal, not at all.
  aCall.routes = std::move(routes);
  aCall.route = *route;
  return true;
}

const Member* CallsService::ChooseFor(const Call& aCall)
{
  const ServiceSpec& service = *aCall.route.service;
  ChoiceQuery query{
    service.name, aCall.route.policy->crossRegion, milliseconds(service.coldStartMs), aCall.tried
  };
  return choice_.Choose(membership_->Table(), membership_->Self(), query, context_.loop.Now());
}

void CallsService::TryNext(CallId aId)
{
  Call& call = calls_.at(aId);
  const Member* member = ChooseFor(call);
  if (member != nullptr) {
    SendAttempt(aId, *member);
    return;
  }
  if (!call.tried.empty()) {
    Answer(aId, AnswerFromReply(call, call.lastReply));
    return;
  }
  Answer(
    aId,
    Refusal(ErrorKind::NoUpstream,
            fmt::format("service \"{}\" has no upstream within reach", call.route.service->name)));
}

void CallsService::SendAttempt(CallId aId, const Member& aMember)
{
  Call& call = calls_.at(aId);
  AttemptId id = nextAttempt_++;
  metrics_->Count(CounterName::Attempts, ClassLabel(call.limits.trafficClass));
  Attempt& attempt = call.open[id];
  attempt.member = aMember.id;
  attempt.sentAt = context_.loop.Now();
  call.tried.insert(aMember.id);
  byAttempt_[id] = aId;
  choice_.OnAttemptBegan(aMember.id);
  OpenCall open = MakeOpenCall(call, id);
  if (aMember.id == context_.settings.id) {
    SendLocally(aId, id, open);
    return;
  }
  const Endpoint& endpoint = EndpointFrom(context_.settings.region, aMember);
  attempt.link = links_->Open(endpoint, LaneFor(call.limits.trafficClass));
  links_->AwaitAnswer(*attempt.link);
  links_->Send(*attempt.link, open);
}

void CallsService::SendLocally(CallId aId, AttemptId aAttempt, const OpenCall& aOpen)
{
  auto onReply = [this, aAttempt](const CallReply& aReply) { OnReply(aAttempt, aReply); };
  Admission::Ticket ticket = admission_->Serve(aOpen, onReply);
  // A refusal comes back within `Serve`, and may have ended the call.
  auto call = calls_.find(aId);
  if (call == calls_.end()) {
    return;
  }
  auto attempt = call->second.open.find(aAttempt);
  if (attempt != call->second.open.end()) {
    attempt->second.ticket = ticket;
  }
}

OpenCall CallsService::MakeOpenCall(const Call& aCall, AttemptId aAttempt) const
{
  OpenCall open;
  open.id = aAttempt;
  open.version = aCall.routes->Source().version;
  open.route = aCall.route.route->name;
  open.service = aCall.route.service->name;
  open.trafficClass = aCall.limits.trafficClass;
  open.deadlineMs =
    std::max<int64_t>(1, ToMilliseconds(aCall.limits.deadline - context_.loop.Now()));
  open.repeatsLeft = aCall.attempts.RepeatsLeft();
  open.method = aCall.request.method;
  open.target = aCall.request.target;
  open.headers = aCall.request.headers;
  open.body.data = aCall.request.body;
  return open;
}

void CallsService::PlanHedge(CallId aId)
{
  Call& call = calls_.at(aId);
  const PolicySpec& policy = *call.route.policy;
  std::optional<Duration> delay = hedging_.DelayFor(
    call.route.service->name, call.limits.trafficClass, IsIdempotent(call.request, policy));
  if (delay.has_value()) {
    call.hedge = context_.loop.After(*delay, [this, aId] { Hedge(aId); });
  }
}

void CallsService::Hedge(CallId aId)
{
  Call& call = calls_.at(aId);
  // Only a first attempt that is still alone is hedged; a retry is a second chance already.
  bool isFirst = call.open.size() == 1 && call.tried.size() == 1;
  const Member* member = isFirst ? ChooseFor(call) : nullptr;
  if (member != nullptr && hedging_.Spend()) {
    metrics_->Count(CounterName::Hedges, ClassLabel(call.limits.trafficClass));
    SendAttempt(aId, *member);
  }
}

void CallsService::OnLinkMessage(LinkId aLink, const LinkMessage& aMessage)
{
  std::visit(Overloaded{
               [&](const CallReply& aReply) {
                 // A late answer to a dropped attempt is not awaited any more.
                 if (byAttempt_.count(aReply.id) > 0) {
                   links_->AnswerCame(aLink);
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
    if (const auto* open = std::get_if<OpenCall>(&message)) {
      unsent.insert(open->id);
    }
  }
  std::vector<AttemptId> lost;
  for (const auto& [callId, call] : calls_) {
    for (const auto& [id, attempt] : call.open) {
      if (attempt.link == aLink) {
        lost.push_back(id);
      }
    }
  }
  for (AttemptId attempt : lost) {
    CallReply reply;
    reply.id = attempt;
    // A frame that has left may have reached the upstream, whatever became of the link since.
    bool hasLeft = unsent.count(attempt) == 0;
    reply.outcome = hasLeft ? CallOutcome::Unknown : CallOutcome::NotRun;
    reply.error = hasLeft ? ErrorKind::OutcomeUnknown : ErrorKind::Unreachable;
    OnReply(attempt, reply);
  }
}

void CallsService::OnReply(AttemptId aAttempt, const CallReply& aReply)
{
  auto found = byAttempt_.find(aAttempt);
  if (found == byAttempt_.end()) {
    return;
  }
  CallId id = found->second;
  byAttempt_.erase(found);
  Call& call = calls_.at(id);
  EndAttempt(call, aAttempt, aReply);
  NextStep next = call.attempts.OnEnded(
    AttemptEnd{ aReply.outcome, aReply.isRetried }, budget_, context_.loop.Now());
  if (aReply.outcome != CallOutcome::Ran && !call.open.empty()) {
    // The other attempt of a hedged call may still answer.
    return;
  }
  if (next == NextStep::Answer) {
    Answer(id, AnswerFromReply(call, aReply));
    return;
  }
  metrics_->Count(CounterName::Retries, ClassLabel(call.limits.trafficClass));
  if (aReply.error == ErrorKind::Withdrawn) {
    RouteAnew(id, kMostCatchUpSteps);
  } else {
    TryNext(id);
  }
}

void CallsService::EndAttempt(Call& aCall, AttemptId aAttempt, const CallReply& aReply)
{
  auto found = aCall.open.find(aAttempt);
  TimePoint now = context_.loop.Now();
  AttemptEvidence evidence;
  evidence.hasFailed =
    aReply.outcome == CallOutcome::Unknown || aReply.error == ErrorKind::Unreachable;
  evidence.queueLength = aReply.queueLength;
  evidence.taken = now - found->second.sentAt;
  choice_.OnAttemptEnded(found->second.member, evidence, now);
  aCall.open.erase(found);
  aCall.lastReply = aReply;
}

void CallsService::RouteAnew(CallId aId, int aChecksLeft)
{
  auto found = calls_.find(aId);
  if (found == calls_.end()) {
    return;
  }
  Call& call = found->second;
  if (spreading_->IsBehind() && aChecksLeft > 0) {
    auto again = [this, aId, aChecksLeft] { RouteAnew(aId, aChecksLeft - 1); };
    call.wait = context_.loop.After(kCatchUpStep, again);
    return;
  }
  CallerAnswer refusal;
  if (!Resolve(call, refusal)) {
    Answer(aId, refusal);
    return;
  }
  TryNext(aId);
}

void CallsService::OnDeadline(CallId aId)
{
  Call& call = calls_.at(aId);
  bool mayRun = !call.open.empty() || call.attempts.Combined() == CallOutcome::Unknown;
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
    DropAttempts(found->second);
    calls_.erase(found);
  }
}

void CallsService::DropAttempts(Call& aCall)
{
  TimePoint now = context_.loop.Now();
  for (const auto& [id, attempt] : std::exchange(aCall.open, {})) {
    byAttempt_.erase(id);
    AttemptEvidence evidence;
    evidence.taken = now - attempt.sentAt;
    evidence.isCensored = true;
    choice_.OnAttemptEnded(attempt.member, evidence, now);
    if (attempt.link.has_value()) {
      links_->AnswerCame(*attempt.link);
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
  DropAttempts(call);
  Duration taken = context_.loop.Now() - call.beganAt;
  MetricLabel label = ClassLabel(call.limits.trafficClass);
  metrics_->Observe(HistogramName::CallTime, label, taken);
  metrics_->Count(CounterName::CallsAnswered,
                  fmt::format("{},outcome=\"{}\"", label, NameOf(aAnswer.outcome)));
  if (aAnswer.outcome == CallOutcome::Ran) {
    hedging_.OnAnswered(call.route.service->name, taken);
  }
  call.done(aAnswer);
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
  answer.reason =
    fmt::format("service \"{}\": {}", aCall.route.service->name, NameOf(*answer.error));
  return answer;
}

Lane CallsService::LaneFor(TrafficClass aClass) const
{
  bool isLong = aClass == TrafficClass::Bulk || aClass == TrafficClass::Background;
  bool hasLanes = context_.settings.lanes == LanesName::ByClass;
  return isLong && hasLanes ? Lane::Bulk : Lane::Short;
}

} // namespace dandelion
