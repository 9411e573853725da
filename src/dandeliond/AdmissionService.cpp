#include "dandeliond/AdmissionService.h"

namespace dandelion {

namespace {

constexpr Duration kTickPeriod = milliseconds(50);
constexpr int64_t kSlotsBeforeConfiguration = 1;

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
  return route == aConfiguration.routes.end() || route->second.spec.service != aCall.service;
}

} // namespace

AdmissionService::AdmissionService(const NodeContext& aContext)
  : context_(aContext)
  , queue_(kSlotsBeforeConfiguration, MakeQueueOrder(aContext.settings.queue))
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
  releases_->AddListener([this] { TakeSlotsFromConfiguration(); });
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
  std::optional<ErrorKind> obstacle = FindObstacle(aCall);
  if (obstacle.has_value()) {
    Refuse(ticket, *obstacle);
  } else {
    Carry(queue_.On(CallArrived{ ticket, aCall.trafficClass, deadline }, now));
  }
  return ticket;
}

std::optional<ErrorKind> AdmissionService::FindObstacle(const OpenCall& aCall) const
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

void AdmissionService::Carry(const AdmissionEffects& aEffects)
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
  std::optional<ErrorKind> obstacle = FindObstacle(served.call);
  if (obstacle.has_value()) {
    Refuse(aTicket, *obstacle);
    Carry(queue_.On(CallFinished{ aTicket }, context_.loop.Now()));
    return;
  }
  TimePoint now = context_.loop.Now();
  served.startedAt = now;
  served.call.deadlineMs = std::max<int64_t>(1, ToMilliseconds(served.deadline - now));
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
  if (aResult.outcome == CallOutcome::NotRun) {
    reply.error = ErrorKind::Overloaded;
  } else if (aResult.outcome == CallOutcome::Unknown) {
    reply.error = ErrorKind::OutcomeUnknown;
  }
  Reply(aTicket, std::move(reply));
  Carry(queue_.On(CallFinished{ aTicket }, context_.loop.Now()));
  CheckDrained();
}

void AdmissionService::Refuse(Ticket aTicket, ErrorKind aReason)
{
  metrics_->Count(CounterName::CallsShed, fmt::format("reason=\"{}\"", NameOf(aReason)));
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
  aReply.queueLength = queue_.Waiting() + queue_.Running();
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
    Carry(queue_.On(CallFinished{ aTicket }, now));
  } else {
    served_.erase(found);
    Carry(queue_.On(CallCancelled{ aTicket }, now));
  }
  CheckDrained();
}

void AdmissionService::Drain(std::function<void()> aDone)
{
  onDrained_ = std::move(aDone);
  Carry(queue_.Close());
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
  // Nobody can receive these answers any more. What waits is dropped; what runs is left to
  // finish, since the caller's node treats it as unknown and the work may matter.
  std::vector<Ticket> waiting;
  for (auto row = remote_.lower_bound(RemoteCall(aLink, 0));
       row != remote_.end() && row->first.first == aLink;) {
    auto served = served_.find(row->second);
    if (served != served_.end() && !served->second.request.has_value()) {
      waiting.push_back(row->second);
    }
    row = remote_.erase(row);
  }
  for (Ticket ticket : waiting) {
    Cancel(ticket);
  }
}

void AdmissionService::Tick()
{
  Carry(queue_.Expire(context_.loop.Now()));
  tick_ = context_.loop.After(kTickPeriod, [this] { Tick(); });
}

void AdmissionService::TakeSlotsFromConfiguration()
{
  const auto& services = releases_->Current()->services;
  auto found = services.find(context_.settings.service);
  if (found != services.end()) {
    queue_.SetSlots(found->second.spec.slots);
  }
}

} // namespace dandelion
