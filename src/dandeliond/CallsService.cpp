#include "dandeliond/CallsService.h"

namespace dandelion {

namespace {

/// While this node catches up with the one that refused a call, the call waits in such steps.
constexpr Duration kCatchUpStep = milliseconds(20);
constexpr int kMostCatchUpSteps = 25;

Lane LaneFor(TrafficClass aClass)
{
  switch (aClass) {
    case TrafficClass::Short:
    case TrafficClass::Certificate:
    case TrafficClass::Interactive:
      return Lane::Short;
    case TrafficClass::Bulk:
    case TrafficClass::Background:
      return Lane::Bulk;
  }
  return Lane::Short;
}

CallerAnswer Refusal(ErrorKind aKind, const std::string& aReason)
{
  CallerAnswer answer;
  answer.outcome = CallOutcome::NotRun;
  answer.error = aKind;
  answer.reason = aReason;
  return answer;
}

} // namespace

CallsService::CallsService(const NodeContext& aContext, uint64_t aSeed)
  : context_(aContext)
  , choice_(MakeStrategy(aContext.settings.choice), aSeed)
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
             Attempts(false, 1, now),
             {},
             std::nullopt,
             {},
             {},
             {} };
  CallerAnswer refusal;
  if (!Resolve(call, refusal)) {
    call.done(refusal);
    return id;
  }
  const PolicySpec& policy = *call.route.policy;
  Duration timeLimit = milliseconds(policy.timeoutMs);
  call.deadline = now + timeLimit;
  bool isIdempotent = policy.idempotent || IsIdempotentMethod(call.request.method);
  call.attempts = Attempts(isIdempotent, policy.attempts, call.deadline);
  call.limit = context_.loop.After(timeLimit, [this, id] { OnDeadline(id); });
  calls_.emplace(id, std::move(call));
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
  aCall.routes = releases_->Routes();
  std::optional<ResolvedRoute> route = aCall.routes->Match(aCall.request.target);
  if (!route.has_value()) {
    aRefusal = Refusal(
      ErrorKind::NoRoute,
      fmt::format("no route of version {} matches the path", aCall.routes->Source().version));
    return false;
  }
  aCall.route = *route;
  return true;
}

void CallsService::TryNext(CallId aId)
{
  Call& call = calls_.at(aId);
  ChoiceQuery query{ call.route.service->name, call.route.policy->crossRegion, call.tried };
  const Member* member =
    choice_.Choose(membership_->Table(), membership_->Self(), query, context_.loop.Now());
  if (member != nullptr) {
    SendAttempt(aId, *member);
    return;
  }
  if (!call.tried.empty()) {
    Answer(aId, AnswerFromReply(call, call.lastReply));
    return;
  }
  Answer(aId,
         Refusal(ErrorKind::NoUpstream,
                 fmt::format("service \"{}\" has no upstream within reach", query.service)));
}

void CallsService::SendAttempt(CallId aId, const Member& aMember)
{
  Call& call = calls_.at(aId);
  Attempt attempt;
  attempt.id = nextAttempt_++;
  attempt.member = aMember.id;
  call.tried.insert(aMember.id);
  byAttempt_[attempt.id] = aId;
  choice_.OnAttemptBegan(aMember.id);
  OpenCall open = MakeOpenCall(call, attempt.id);
  uint64_t id = attempt.id;
  if (aMember.id == context_.settings.id) {
    call.current = attempt;
    Admission::Ticket ticket =
      admission_->Serve(open, [this, id](const CallReply& aReply) { OnReply(id, aReply); });
    auto found = calls_.find(aId);
    if (found != calls_.end() && found->second.current.has_value() &&
        found->second.current->id == id) {
      found->second.current->ticket = ticket;
    }
    return;
  }
  attempt.link = links_->Open(EndpointFrom(context_.settings.region, aMember),
                              LaneFor(call.route.policy->trafficClass));
  call.current = attempt;
  links_->AwaitAnswer(*attempt.link);
  links_->Send(*attempt.link, open);
}

OpenCall CallsService::MakeOpenCall(const Call& aCall, uint64_t aAttempt) const
{
  OpenCall open;
  open.id = aAttempt;
  open.service = aCall.route.service->name;
  open.trafficClass = aCall.route.policy->trafficClass;
  open.deadlineMs = std::max<int64_t>(1, ToMilliseconds(aCall.deadline - context_.loop.Now()));
  open.method = aCall.request.method;
  open.target = aCall.request.target;
  open.headers = aCall.request.headers;
  open.body.data = aCall.request.body;
  return open;
}

void CallsService::OnLinkMessage(LinkId aLink, const LinkMessage& aMessage)
{
  std::visit(Overloaded{
               [&](const CallReply& aReply) {
                 links_->AnswerCame(aLink);
                 OnReply(aReply.id, aReply);
               },
               [](const auto&) {},
             },
             aMessage);
}

void CallsService::OnLinkClosed(LinkId aLink, const std::vector<LinkMessage>& aUnsent)
{
  std::set<uint64_t> unsent;
  for (const LinkMessage& message : aUnsent) {
    if (const auto* open = std::get_if<OpenCall>(&message)) {
      unsent.insert(open->id);
    }
  }
  std::vector<uint64_t> lost;
  for (const auto& [id, call] : calls_) {
    if (call.current.has_value() && call.current->link == aLink) {
      lost.push_back(call.current->id);
    }
  }
  for (uint64_t attempt : lost) {
    CallReply reply;
    reply.id = attempt;
    // A frame that has left may have reached the upstream, whatever became of the link since.
    bool hasLeft = unsent.count(attempt) == 0;
    reply.outcome = hasLeft ? CallOutcome::Unknown : CallOutcome::NotRun;
    reply.error = hasLeft ? ErrorKind::OutcomeUnknown : ErrorKind::Unreachable;
    OnReply(attempt, reply);
  }
}

void CallsService::OnReply(uint64_t aAttempt, const CallReply& aReply)
{
  auto found = byAttempt_.find(aAttempt);
  if (found == byAttempt_.end()) {
    return;
  }
  CallId id = found->second;
  byAttempt_.erase(found);
  Call& call = calls_.at(id);
  EndAttempt(call, aReply);
  NextStep next = call.attempts.OnEnded(aReply.outcome, budget_, context_.loop.Now());
  if (next == NextStep::Answer) {
    Answer(id, AnswerFromReply(call, aReply));
  } else if (aReply.error == ErrorKind::Withdrawn) {
    RouteAnew(id, kMostCatchUpSteps);
  } else {
    TryNext(id);
  }
}

void CallsService::EndAttempt(Call& aCall, const CallReply& aReply)
{
  bool hasFailed = aReply.outcome == CallOutcome::Unknown || aReply.error == ErrorKind::Unreachable;
  choice_.OnAttemptEnded(aCall.current->member, hasFailed, aReply.queueLength, context_.loop.Now());
  aCall.current.reset();
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
    call.wait = context_.loop.After(kCatchUpStep,
                                    [this, aId, aChecksLeft] { RouteAnew(aId, aChecksLeft - 1); });
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
  bool mayRun = call.current.has_value() || call.attempts.Combined() == CallOutcome::Unknown;
  DropAttempt(call);
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
    DropAttempt(found->second);
    calls_.erase(found);
  }
}

void CallsService::DropAttempt(Call& aCall)
{
  if (!aCall.current.has_value()) {
    return;
  }
  Attempt attempt = *aCall.current;
  aCall.current.reset();
  byAttempt_.erase(attempt.id);
  choice_.OnAttemptEnded(attempt.member, true, 0, context_.loop.Now());
  if (attempt.link.has_value()) {
    links_->AnswerCame(*attempt.link);
    links_->Send(*attempt.link, CancelCall{ attempt.id });
  } else {
    admission_->Cancel(attempt.ticket);
  }
}

void CallsService::Answer(CallId aId, CallerAnswer aAnswer)
{
  auto found = calls_.find(aId);
  OnAnswer done = std::move(found->second.done);
  calls_.erase(found);
  done(aAnswer);
}

CallerAnswer CallsService::AnswerFromReply(const Call& aCall, const CallReply& aReply) const
{
  CallerAnswer answer;
  answer.outcome = aCall.attempts.Combined();
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

} // namespace dandelion
