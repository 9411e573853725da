#include "dandeliond/AdmissionService.h"

#include "dandeliond/CallIdentity.h"

#include <algorithm>

namespace dandelion {

namespace {

constexpr Duration kExpiryCheckPeriod = milliseconds(50);
/// Time between two lines about a limit that the upstream goes on naming.
constexpr Duration kLimitLogPeriod = seconds(1);
/// Slots of the queue until the state of the upstream is first read.
constexpr int64_t kInitialSlots = 1;
/// Answers of this size occupy the link of a weak machine noticeably (18 ms at 7 Mbit/s).
constexpr double kMinBulkAnswerBytes = 16 * 1024;
/// Weight of a new sample in the smoothed size of answers.
constexpr double kAnswerSizeSmoothing = 0.1;
/// Link rates are in Mbit/s, so bits divided by a rate are microseconds.
constexpr double kBitsPerByte = 8;

/// Whether the configuration no longer routes the call to its service.
bool IsWithdrawn(const Configuration& aConfiguration, const OpenCall& aCall)
{
  if (aConfiguration.services.count(aCall.service) == 0) {
    return true;
  }
  // A caller's node with a newer version may use a route that is not known here yet.
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
  , queue_(aContext.settings.queue, kInitialSlots)
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
  upstreamState_->AddListener([this] { ApplyUpstreamState(); });
  if (!context_.headerNames.rateLimit.empty()) {
    queue_.AwaitFirstAnswer();
  }
  ApplyUpstreamState();
  limitLoggedAt_ = context_.loop.Now();
  CheckExpired();
  return absl::OkStatus();
}

void AdmissionService::Stop()
{
  expiryTimer_.Cancel();
  startTimer_.Cancel();
}

Admission::Ticket AdmissionService::Serve(const OpenCall& aCall, OnReply aReply)
{
  Ticket ticket = nextTicket_++;
  TimePoint now = context_.loop.Now();
  TimePoint deadline = now + milliseconds(aCall.deadlineMs);
  pending_[ticket] = PendingCall{ aCall, std::move(aReply), now, deadline, now, std::nullopt, {} };
  std::optional<ErrorKind> refusalReason = FindRefusalReason(aCall);
  if (refusalReason.has_value()) {
    Refuse(ticket, *refusalReason);
  } else {
    TimePoint target = aCall.targetMs > 0 ? now + milliseconds(aCall.targetMs) : deadline;
    Duration maxQueueDelay =
      aCall.maxQueueDelayMs.has_value() ? milliseconds(*aCall.maxQueueDelayMs) : Duration::max();
    if (HasBulkAnswers(aCall.policy)) {
      // The answer is sent only after the answers that are already queued for the link.
      target -= LinkDelay() + TransmissionTime(aCall.policy);
      maxQueueDelay -= LinkDelay();
    }
    CallArrived arrived{ ticket,         aCall.trafficClass, deadline,     target,
                         aCall.priority, aCall.policy,       maxQueueDelay };
    arrived.account = aCall.account;
    arrived.callerService = aCall.callerService;
    arrived.isFromOtherZone = aCall.isFromOtherZone;
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
  if (IsWithdrawn(*releases_->Current(), aCall) ||
      IsSenderWithdrawn(*releases_->Current(), aCall)) {
    return ErrorKind::Withdrawn;
  }
  if (IsGateClosed()) {
    // The same reason that a closed queue gives. Calls that got their slots together with the last
    // one allowed are refused here.
    return ErrorKind::Leaving;
  }
  if (context_.memory != nullptr && context_.memory->Level() == MemoryLevel::Full) {
    return ErrorKind::Overloaded;
  }
  return std::nullopt;
}

bool AdmissionService::IsGateClosed() const
{
  const UpstreamGate* gate = upstreamState_->Gate();
  return gate != nullptr && !gate->IsOpen();
}

void AdmissionService::Execute(const AdmissionEffects& aEffects)
{
  for (const AdmissionEffect& effect : aEffects) {
    std::visit(Overloaded{
                 [&](const RunCall& aRun) { SendToUpstream(aRun.call); },
                 [&](const RefuseCall& aRefuse) { Refuse(aRefuse.call, aRefuse.reason); },
               },
               effect);
  }
  ScheduleNextStart();
}

void AdmissionService::ScheduleNextStart()
{
  TimePoint now = context_.loop.Now();
  std::optional<TimePoint> next = queue_.NextPacedStart(now);
  if (!next.has_value()) {
    startTimer_.Cancel();
    return;
  }
  startTimer_ = context_.loop.After(std::max(Duration::zero(), *next - now),
                                    [this] { Execute(queue_.StartDue(context_.loop.Now())); });
}

void AdmissionService::SendToUpstream(Ticket aTicket)
{
  auto found = pending_.find(aTicket);
  if (found == pending_.end()) {
    // A callback of an earlier effect has cancelled the call after the queue gave it a slot.
    constexpr bool kIsServiceTimeSample = false;
    Execute(queue_.Handle(CallFinished{ aTicket, kIsServiceTimeSample }, context_.loop.Now()));
    return;
  }
  PendingCall& pending = found->second;
  // The configuration may have changed while the call waited for a slot.
  std::optional<ErrorKind> refusalReason = FindRefusalReason(pending.call);
  if (refusalReason.has_value()) {
    Refuse(aTicket, *refusalReason);
    Execute(queue_.Handle(CallFinished{ aTicket }, context_.loop.Now()));
    return;
  }
  TimePoint now = context_.loop.Now();
  pending.startedAt = now;
  pending.call.deadlineMs = std::max<int64_t>(1, ToMilliseconds(pending.deadline - now));
  pending.call.upstreamId = upstreamState_->Id();
  if (!releases_->Current()->accounts.empty()) {
    // The caller's node may have had an older configuration without accounts, and kept the key.
    RemoveKeyHeaders(pending.call.headers);
  }
  if (UpstreamGate* gate = upstreamState_->Gate(); gate != nullptr) {
    pending.upstreamVersion = gate->OnCallStarted(pending.call.policy);
  }
  metrics_->Observe(
    HistogramName::QueueTime, ClassLabel(pending.call.trafficClass), now - pending.arrivedAt);
  ++sentSinceLimitLog_;
  pending.request = upstream_->Send(pending.call, [this, aTicket](const UpstreamResult& aResult) {
    OnUpstreamResult(aTicket, aResult);
  });
  // The request to the upstream holds the body from here on.
  pending.call.body.data.clear();
}

void AdmissionService::OnUpstreamResult(Ticket aTicket, const UpstreamResult& aResult)
{
  if (aResult.notices.has_value() && aResult.notices->isLeaving) {
    // Refuses waiting calls, which may end others, so it comes before this call is looked up. It
    // also comes before the caller gets the answer.
    auto answered = pending_.find(aTicket);
    std::string upstreamId = answered == pending_.end() ? "" : answered->second.call.upstreamId;
    upstreamState_->OnLeavingNoticed(upstreamId);
  }
  auto pending = pending_.find(aTicket);
  if (pending != pending_.end()) {
    MetricLabel label = ClassLabel(pending->second.call.trafficClass);
    metrics_->Count(CounterName::CallsServed, label);
    metrics_->Observe(
      HistogramName::UpstreamTime, label, context_.loop.Now() - pending->second.startedAt);
  }
  AdmissionEffects effects;
  if (aResult.notices.has_value()) {
    LogLimit(*aResult.notices);
    TimePoint sentAt = pending == pending_.end() ? TimePoint() : pending->second.startedAt;
    effects = queue_.Handle(UpstreamAnswered{ aResult.notices->maxCallsPerSecond, sentAt },
                            context_.loop.Now());
  }
  CallReply reply;
  reply.outcome = aResult.outcome;
  reply.isRetried = aResult.isRetried;
  reply.status = aResult.status;
  reply.headers = aResult.headers;
  reply.body.data = aResult.body;
  if (aResult.outcome == CallOutcome::Ran && pending != pending_.end()) {
    double size = static_cast<double>(aResult.body.size());
    auto [smoothed, isNew] = smoothedAnswerBytes_.emplace(pending->second.call.policy, size);
    smoothed->second += isNew ? 0 : kAnswerSizeSmoothing * (size - smoothed->second);
  }
  reply.hasReachedUpstream = aResult.hasReachedUpstream;
  if (aResult.outcome == CallOutcome::NotRun) {
    reply.error = upstreamState_->Slots() == 0 ? ErrorKind::Leaving : ErrorKind::Overloaded;
  } else if (aResult.outcome == CallOutcome::Unknown) {
    reply.error = ErrorKind::OutcomeUnknown;
  }
  if (aResult.outcome != CallOutcome::Ran && pending != pending_.end()) {
    LogOutcome(pending->second, aResult);
  }
  constexpr int64_t kFirstServerError = 500;
  UpstreamGate* gate = upstreamState_->Gate();
  if (gate != nullptr && pending != pending_.end()) {
    bool isBad = aResult.outcome != CallOutcome::Ran || aResult.status >= kFirstServerError;
    const PendingCall& call = pending->second;
    gate->OnCallEnded(call.upstreamVersion, call.call.policy, call.startedAt, isBad);
  }
  // Frees the slot first, so that the queue estimate in the reply counts it as free.
  bool hasFailed = aResult.outcome == CallOutcome::NotRun ||
                   (aResult.outcome == CallOutcome::Ran && aResult.status >= kFirstServerError);
  AdmissionEffects freed = queue_.Handle(CallFinished{ aTicket, !hasFailed }, context_.loop.Now());
  effects.insert(effects.end(), freed.begin(), freed.end());
  Reply(aTicket, std::move(reply));
  Execute(effects);
  CheckDrained();
}

void AdmissionService::Refuse(Ticket aTicket, ErrorKind aReason)
{
  auto found = pending_.find(aTicket);
  if (found == pending_.end()) {
    // A callback of an earlier effect has cancelled the call.
    return;
  }
  metrics_->Count(CounterName::CallsShed, fmt::format("reason=\"{}\"", NameOf(aReason)));
  const OpenCall& call = found->second.call;
  // The caller's node sends a call whose short wait was refused to another upstream, and logs the
  // number of sends with its answer. Such a refusal is logged here at debug level only.
  bool isSentElsewhere = call.maxQueueDelayMs.has_value() && aReason == ErrorKind::Overloaded;
  LogRequest(LogPart::Admission,
             isSentElsewhere ? LogLevel::Debug : LogLevel::Info,
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
  auto found = pending_.find(aTicket);
  if (found == pending_.end()) {
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
  aReply.linkDelayUs = LinkDelay().count();
  aReply.elapsedUs = (context_.loop.Now() - found->second.arrivedAt).count();
  OnReply reply = std::move(found->second.reply);
  pending_.erase(found);
  reply(aReply);
}

void AdmissionService::Cancel(Ticket aTicket)
{
  auto found = pending_.find(aTicket);
  if (found == pending_.end()) {
    return;
  }
  TimePoint now = context_.loop.Now();
  if (found->second.request.has_value()) {
    // Closes the connection to the upstream, which cancels the work there and frees the slot.
    upstream_->Cancel(*found->second.request);
    if (UpstreamGate* gate = upstreamState_->Gate(); gate != nullptr) {
      gate->OnCallCancelled();
    }
    pending_.erase(found);
    Execute(queue_.Handle(CallFinished{ aTicket }, now));
  } else {
    pending_.erase(found);
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
                 RemoteCallKey key(aLink, aCall.id);
                 auto reply = [this, key](const CallReply& aReply) {
                   remoteTickets_.erase(key);
                   links_->Send(key.first, aReply);
                 };
                 Ticket ticket = Serve(aCall, reply);
                 auto pending = pending_.find(ticket);
                 if (pending != pending_.end()) {
                   remoteTickets_[key] = ticket;
                   pending->second.body = HeldBytes(context_.memory, aCall.body.data.size());
                 }
               },
               [&](const CancelCall& aCancel) {
                 auto found = remoteTickets_.find(RemoteCallKey(aLink, aCancel.id));
                 if (found != remoteTickets_.end()) {
                   Ticket ticket = found->second;
                   remoteTickets_.erase(found);
                   Cancel(ticket);
                 }
               },
               [](const auto&) {},
             },
             aMessage);
}

void AdmissionService::OnLinkClosed(LinkId aLink, const std::vector<LinkMessage>& /* aUnsent */)
{
  // The answers of these calls cannot be delivered. Queued calls and running idempotent calls are
  // cancelled. Running calls that must not run twice are left to finish: the caller's node reports
  // their outcome as unknown, and their effect may matter.
  std::vector<Ticket> cancellable;
  for (auto row = remoteTickets_.lower_bound(RemoteCallKey(aLink, 0));
       row != remoteTickets_.end() && row->first.first == aLink;) {
    auto pending = pending_.find(row->second);
    bool isCancellable = pending != pending_.end() && (!pending->second.request.has_value() ||
                                                       pending->second.call.isIdempotent);
    if (isCancellable) {
      cancellable.push_back(row->second);
    }
    row = remoteTickets_.erase(row);
  }
  for (Ticket ticket : cancellable) {
    Cancel(ticket);
  }
}

void AdmissionService::CheckExpired()
{
  Execute(queue_.RefuseExpired(context_.loop.Now()));
  expiryTimer_ = context_.loop.After(kExpiryCheckPeriod, [this] { CheckExpired(); });
}

void AdmissionService::ApplyUpstreamState()
{
  int64_t slots = upstreamState_->Slots();
  if (slots == 0) {
    // The queue is closed first, so that the slots of calls that are taken back stay free.
    Execute(queue_.Close());
    upstream_->WithdrawUnsent();
    return;
  }
  if (isDraining_) {
    return;
  }
  queue_.Open();
  Execute(queue_.SetSlots(slots, context_.loop.Now()));
}

void AdmissionService::RefuseWithdrawn()
{
  std::vector<std::pair<Ticket, ErrorKind>> refusals;
  for (const auto& [ticket, pending] : pending_) {
    std::optional<ErrorKind> refusalReason;
    if (!pending.request.has_value()) {
      refusalReason = FindRefusalReason(pending.call);
    }
    if (refusalReason.has_value()) {
      refusals.emplace_back(ticket, *refusalReason);
    }
  }
  for (const auto& [ticket, refusalReason] : refusals) {
    // An earlier refusal may have freed a slot, and the queue may have given it to this call.
    if (pending_.count(ticket) > 0) {
      Execute(queue_.Handle(CallCancelled{ ticket }, context_.loop.Now()));
      Refuse(ticket, refusalReason);
    }
  }
}

bool AdmissionService::HasBulkAnswers(const CostClass& aCostClass) const
{
  auto size = smoothedAnswerBytes_.find(aCostClass);
  return size != smoothedAnswerBytes_.end() && size->second >= kMinBulkAnswerBytes;
}

Duration AdmissionService::LinkDelay() const
{
  double bits = static_cast<double>(links_->QueuedBytes()) * kBitsPerByte;
  return Duration(static_cast<int64_t>(bits / context_.settings.machine.linkMbps));
}

Duration AdmissionService::TransmissionTime(const CostClass& aCostClass) const
{
  auto size = smoothedAnswerBytes_.find(aCostClass);
  double bits = size == smoothedAnswerBytes_.end() ? 0 : size->second * kBitsPerByte;
  return Duration(static_cast<int64_t>(bits / context_.settings.machine.linkMbps));
}

void AdmissionService::LogLimit(const UpstreamNotices& aNotices)
{
  TimePoint now = context_.loop.Now();
  bool isSame = aNotices.maxCallsPerSecond == namedLimit_;
  if (isSame && (!namedLimit_.has_value() || now - limitLoggedAt_ < kLimitLogPeriod)) {
    return;
  }
  std::string limit = aNotices.maxCallsPerSecond.has_value()
                        ? fmt::format("at most {:.1f} calls a second", *aNotices.maxCallsPerSecond)
                        : "any number of calls";
  Log(LogPart::Admission,
      LogLevel::Info,
      "Upstream {} takes {}; it was sent {} in the last {} ms.",
      upstreamState_->Id(),
      limit,
      sentSinceLimitLog_,
      ToMilliseconds(now - limitLoggedAt_));
  namedLimit_ = aNotices.maxCallsPerSecond;
  limitLoggedAt_ = now;
  sentSinceLimitLog_ = 0;
}

void AdmissionService::LogOutcome(const PendingCall& aPending, const UpstreamResult& aResult) const
{
  LogRequest(LogPart::Admission,
             LogLevel::Info,
             aPending.call.requestId,
             "Ended {} at upstream {} after {} ms in a slot and {} ms in all: status {}{}{}.",
             NameOf(aResult.outcome),
             aPending.call.upstreamId,
             ToMilliseconds(context_.loop.Now() - aPending.startedAt),
             ToMilliseconds(context_.loop.Now() - aPending.arrivedAt),
             aResult.status,
             aResult.rejectReason.empty() ? "" : ", ",
             aResult.rejectReason);
}

} // namespace dandelion
