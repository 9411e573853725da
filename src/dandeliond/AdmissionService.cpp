#include "dandeliond/AdmissionService.h"

#include <algorithm>

namespace dandelion {

namespace {

constexpr Duration kTickPeriod = milliseconds(50);
constexpr int64_t kSlotsBeforeReport = 1;
/// Answers of this size need a noticeable part of a weak machine's link (7 Mbit/s: 18 ms).
constexpr double kBulkBytes = 16 * 1024;
constexpr double kSizeShare = 0.1;
/// Bits over Mbit/s are microseconds.
constexpr double kBitsPerByte = 8;

/// The configuration no longer leads the call here.
bool IsWithdrawn(const Configuration& aConfiguration, const OpenCall& aCall)
{
  if (aConfiguration.services.count(aCall.service) == 0) {
    return true;
  }
  // A caller's node that is ahead may use a route that is not known here yet.
  if (aCall.version >= aConfiguration.version) {
    return false;
  }
  auto route = aConfiguration.routes.find(aCall.route);
  if (route == aConfiguration.routes.end()) {
    return true;
  }
  std::vector<std::string> services = ServicesOf(route->second.spec);
  return std::find(services.begin(), services.end(), aCall.service) == services.end();
}

} // namespace

AdmissionService::AdmissionService(const NodeContext& aContext)
  : context_(aContext)
  , queue_(aContext.settings.queue, kSlotsBeforeReport)
{
}

absl::Status AdmissionService::Start()
{
  Registry& registry = context_.registry;
  links_ = &registry.Find<Links>(ServiceName::Links);
  upstream_ = &registry.Find<Upstream>(ServiceName::Upstream);
  releases_ = &registry.Find<Releases>(ServiceName::Releases);
  membership_ = &registry.Find<Membership>(ServiceName::Membership);
  metrics_ = &registry.Find<Metrics>(ServiceName::Metrics);
  links_->AddHandler(*this);
  releases_->AddListener([this] { RefuseWithdrawn(); });
  upstreamState_ = &registry.Find<UpstreamState>(ServiceName::UpstreamState);
  upstreamState_->AddListener([this] { FollowUpstream(); });
  FollowUpstream();
  Tick();
  return absl::OkStatus();
}

void AdmissionService::Stop()
{
  tick_.Cancel();
}

Admission::Ticket AdmissionService::Serve(const OpenCall& aCall, OnReply aReply)
{
  Ticket ticket = nextTicket_++;
  TimePoint now = context_.loop.Now();
  TimePoint deadline = now + milliseconds(aCall.deadlineMs);
  served_[ticket] = Served{ aCall, std::move(aReply), now, deadline, now, std::nullopt };
  std::optional<ErrorKind> refusalReason = FindRefusalReason(aCall);
  if (refusalReason.has_value()) {
    Refuse(ticket, *refusalReason);
  } else {
    TimePoint target = aCall.targetMs > 0 ? now + milliseconds(aCall.targetMs) : deadline;
    Duration maxQueueDelay =
      aCall.maxQueueDelayMs.has_value() ? milliseconds(*aCall.maxQueueDelayMs) : Duration::max();
    if (IsBulk(aCall.policy)) {
      // The answer must get past those that wait for the link already.
      target -= LinkWait() + SendTime(aCall.policy);
      maxQueueDelay -= LinkWait();
    }
    CallArrived arrived{ ticket,         aCall.trafficClass, deadline,     target,
                         aCall.priority, aCall.policy,       maxQueueDelay };
    Execute(queue_.Handle(arrived, now));
  }
  return ticket;
}

std::optional<ErrorKind> AdmissionService::FindRefusalReason(const OpenCall& aCall) const
{
  if (!membership_->IsReady()) {
    return ErrorKind::NotReady;
  }
  if (membership_->IsFenced(context_.loop.Now())) {
    return ErrorKind::Fenced;
  }
  if (aCall.service != context_.settings.service) {
    return ErrorKind::NoUpstream;
  }
  if (IsWithdrawn(*releases_->Current(), aCall)) {
    return ErrorKind::Withdrawn;
  }
  return std::nullopt;
}

void AdmissionService::Execute(const AdmissionEffects& aEffects)
{
  for (const AdmissionEffect& effect : aEffects) {
    std::visit(Overloaded{
                 [&](const RunCall& aRun) { RunOnUpstream(aRun.call); },
                 [&](const RefuseCall& aRefuse) { Refuse(aRefuse.call, aRefuse.reason); },
               },
               effect);
  }
}

void AdmissionService::RunOnUpstream(Ticket aTicket)
{
  Served& served = served_.at(aTicket);
  // The configuration may have changed while the call waited for its slot.
  std::optional<ErrorKind> refusalReason = FindRefusalReason(served.call);
  if (refusalReason.has_value()) {
    Refuse(aTicket, *refusalReason);
    Execute(queue_.Handle(CallFinished{ aTicket }, context_.loop.Now()));
    return;
  }
  TimePoint now = context_.loop.Now();
  served.startedAt = now;
  served.call.deadlineMs = std::max<int64_t>(1, ToMilliseconds(served.deadline - now));
  served.call.upstreamId = upstreamState_->Id();
  metrics_->Observe(
    HistogramName::QueueTime, ClassLabel(served.call.trafficClass), now - served.arrivedAt);
  served.request = upstream_->Send(served.call, [this, aTicket](const UpstreamResult& aResult) {
    OnUpstreamResult(aTicket, aResult);
  });
}

void AdmissionService::OnUpstreamResult(Ticket aTicket, const UpstreamResult& aResult)
{
  auto served = served_.find(aTicket);
  if (served != served_.end()) {
    MetricLabel label = ClassLabel(served->second.call.trafficClass);
    metrics_->Count(CounterName::CallsServed, label);
    metrics_->Observe(
      HistogramName::UpstreamTime, label, context_.loop.Now() - served->second.startedAt);
  }
  CallReply reply;
  reply.outcome = aResult.outcome;
  reply.isRetried = aResult.isRetried;
  reply.status = aResult.status;
  reply.headers = aResult.headers;
  reply.body.data = aResult.body;
  if (aResult.outcome == CallOutcome::Ran && served != served_.end()) {
    double size = static_cast<double>(aResult.body.size());
    auto [known, isNew] = answerBytes_.emplace(served->second.call.policy, size);
    known->second += isNew ? 0 : kSizeShare * (size - known->second);
  }
  reply.hasReachedUpstream = aResult.hasReachedUpstream;
  if (aResult.outcome == CallOutcome::NotRun) {
    reply.error = ErrorKind::Overloaded;
  } else if (aResult.outcome == CallOutcome::Unknown) {
    reply.error = ErrorKind::OutcomeUnknown;
  }
  if (aResult.outcome != CallOutcome::Ran && served != served_.end()) {
    LogEnd(served->second, aResult);
  }
  // The slot is free before the reply tells of the gate.
  constexpr int64_t kFirstFailure = 500;
  bool hasFailed = aResult.outcome == CallOutcome::NotRun ||
                   (aResult.outcome == CallOutcome::Ran && aResult.status >= kFirstFailure);
  AdmissionEffects effects =
    queue_.Handle(CallFinished{ aTicket, !hasFailed }, context_.loop.Now());
  Reply(aTicket, std::move(reply));
  Execute(effects);
  CheckDrained();
}

void AdmissionService::Refuse(Ticket aTicket, ErrorKind aReason)
{
  metrics_->Count(CounterName::CallsShed, fmt::format("reason=\"{}\"", NameOf(aReason)));
  const OpenCall& call = served_.at(aTicket).call;
  // The caller's node counts the asks of an impatient call in the line about its answer.
  bool isAskedElsewhere = call.maxQueueDelayMs.has_value() && aReason == ErrorKind::Overloaded;
  LogRequest(LogPart::Admission,
             isAskedElsewhere ? LogLevel::Debug : LogLevel::Info,
             call.requestId,
             "Refused as not run: {}; {} run and {} wait for {} slots, version {}.",
             NameOf(aReason),
             queue_.Running(),
             queue_.Waiting(),
             upstreamState_->Slots(),
             releases_->Current()->version);
  CallReply reply;
  reply.outcome = CallOutcome::NotRun;
  reply.error = aReason;
  Reply(aTicket, std::move(reply));
}

void AdmissionService::Reply(Ticket aTicket, CallReply aReply)
{
  auto found = served_.find(aTicket);
  if (found == served_.end()) {
    return;
  }
  aReply.id = found->second.call.id;
  QueueEstimate estimate = queue_.EstimateFor(
    found->second.call.trafficClass, found->second.call.policy, context_.loop.Now());
  aReply.queueLength = estimate.queueLength;
  aReply.slots = estimate.slots;
  aReply.freeSlots = estimate.freeSlots;
  aReply.queueDelayUs = estimate.queueDelay.count();
  aReply.serviceTimeUs = estimate.serviceTime.count();
  aReply.linkDelayUs = LinkWait().count();
  aReply.elapsedUs = (context_.loop.Now() - found->second.arrivedAt).count();
  OnReply reply = std::move(found->second.reply);
  served_.erase(found);
  reply(aReply);
}

void AdmissionService::Cancel(Ticket aTicket)
{
  auto found = served_.find(aTicket);
  if (found == served_.end()) {
    return;
  }
  TimePoint now = context_.loop.Now();
  if (found->second.request.has_value()) {
    // Closing the connection to the upstream cancels the work there and frees the slot.
    upstream_->Cancel(*found->second.request);
    served_.erase(found);
    Execute(queue_.Handle(CallFinished{ aTicket }, now));
  } else {
    served_.erase(found);
    Execute(queue_.Handle(CallCancelled{ aTicket }, now));
  }
  CheckDrained();
}

void AdmissionService::Drain(std::function<void()> aDone)
{
  onDrained_ = std::move(aDone);
  isDraining_ = true;
  Execute(queue_.Close());
  CheckDrained();
}

void AdmissionService::CheckDrained()
{
  if (onDrained_ && queue_.Running() == 0) {
    auto done = std::exchange(onDrained_, nullptr);
    done();
  }
}

void AdmissionService::OnLinkMessage(LinkId aLink, const LinkMessage& aMessage)
{
  std::visit(Overloaded{
               [&](const OpenCall& aCall) {
                 RemoteCall key(aLink, aCall.id);
                 auto reply = [this, key](const CallReply& aReply) {
                   remote_.erase(key);
                   links_->Send(key.first, aReply);
                 };
                 Ticket ticket = Serve(aCall, reply);
                 if (served_.count(ticket) > 0) {
                   remote_[key] = ticket;
                 }
               },
               [&](const CancelCall& aCancel) {
                 auto found = remote_.find(RemoteCall(aLink, aCancel.id));
                 if (found != remote_.end()) {
                   Ticket ticket = found->second;
                   remote_.erase(found);
                   Cancel(ticket);
                 }
               },
               [](const auto&) {},
             },
             aMessage);
}

void AdmissionService::OnLinkClosed(LinkId aLink, const std::vector<LinkMessage>& /* aUnsent */)
{
  // Nobody can receive these answers any more. What waits is dropped, and so is work that does no
  // good and no harm. What may run only once is left to finish: the caller's node treats it as
  // unknown, and the work may matter.
  std::vector<Ticket> useless;
  for (auto row = remote_.lower_bound(RemoteCall(aLink, 0));
       row != remote_.end() && row->first.first == aLink;) {
    auto served = served_.find(row->second);
    bool isUseless = served != served_.end() &&
                     (!served->second.request.has_value() || served->second.call.isIdempotent);
    if (isUseless) {
      useless.push_back(row->second);
    }
    row = remote_.erase(row);
  }
  for (Ticket ticket : useless) {
    Cancel(ticket);
  }
}

void AdmissionService::Tick()
{
  Execute(queue_.RefuseExpired(context_.loop.Now()));
  tick_ = context_.loop.After(kTickPeriod, [this] { Tick(); });
}

void AdmissionService::FollowUpstream()
{
  int64_t slots = upstreamState_->Slots();
  if (isDraining_) {
    return;
  }
  if (slots == 0) {
    Execute(queue_.Close());
    return;
  }
  queue_.SetSlots(slots);
  queue_.Open();
}

void AdmissionService::RefuseWithdrawn()
{
  std::vector<std::pair<Ticket, ErrorKind>> obstructed;
  for (const auto& [ticket, served] : served_) {
    std::optional<ErrorKind> refusalReason;
    if (!served.request.has_value()) {
      refusalReason = FindRefusalReason(served.call);
    }
    if (refusalReason.has_value()) {
      obstructed.emplace_back(ticket, *refusalReason);
    }
  }
  for (const auto& [ticket, refusalReason] : obstructed) {
    Execute(queue_.Handle(CallCancelled{ ticket }, context_.loop.Now()));
    Refuse(ticket, refusalReason);
  }
}

bool AdmissionService::IsBulk(const CostClass& aCostClass) const
{
  auto size = answerBytes_.find(aCostClass);
  return size != answerBytes_.end() && size->second >= kBulkBytes;
}

Duration AdmissionService::LinkWait() const
{
  double bits = static_cast<double>(links_->QueuedBytes()) * kBitsPerByte;
  return Duration(static_cast<int64_t>(bits / context_.settings.machine.linkMbps));
}

Duration AdmissionService::SendTime(const CostClass& aCostClass) const
{
  auto size = answerBytes_.find(aCostClass);
  double bits = size == answerBytes_.end() ? 0 : size->second * kBitsPerByte;
  return Duration(static_cast<int64_t>(bits / context_.settings.machine.linkMbps));
}

void AdmissionService::LogEnd(const Served& aServed, const UpstreamResult& aResult) const
{
  LogRequest(LogPart::Admission,
             LogLevel::Info,
             aServed.call.requestId,
             "Ended {} at upstream {} after {} ms in a slot and {} ms in all: status {}{}{}.",
             NameOf(aResult.outcome),
             aServed.call.upstreamId,
             ToMilliseconds(context_.loop.Now() - aServed.startedAt),
             ToMilliseconds(context_.loop.Now() - aServed.arrivedAt),
             aResult.status,
             aResult.rejectReason.empty() ? "" : ", ",
             aResult.rejectReason);
}

} // namespace dandelion
