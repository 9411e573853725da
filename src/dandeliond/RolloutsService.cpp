#include "dandeliond/RolloutsService.h"

namespace dandelion {

namespace {

/// Reports are sent, and orders judged, this often.
constexpr Duration kTickPeriod = milliseconds(200);
/// Time for the answer of a judge, which costs no call to the store; a round trip between regions
/// takes 40 ms.
constexpr Duration kAnswerTime = milliseconds(120);
constexpr Duration kReadRetryDelay = seconds(1);
/// Reports, permits and the verdict take up to this long after a bad answer.
constexpr int64_t kMinRollbackMs = 2000;

} // namespace

RolloutsService::RolloutsService(const NodeContext& aContext,
                                 uint64_t aIncarnation,
                                 RolloutProtocol aProtocol)
  : context_(aContext)
  , incarnation_(aIncarnation)
  , protocol_(std::move(aProtocol))
  , judges_(aContext, protocol_, [this](const std::string& aTo, const RolloutPermit& aPermit) {
    SendPermit(aTo, aPermit);
  })
{
}

absl::Status RolloutsService::Start()
{
  Registry& registry = context_.registry;
  store_ = &registry.Find<Store>(ServiceName::Store);
  datagrams_ = &registry.Find<Datagrams>(ServiceName::Datagrams);
  membership_ = &registry.Find<Membership>(ServiceName::Membership);
  upstream_ = &registry.Find<UpstreamState>(ServiceName::UpstreamState);
  metrics_ = &registry.Find<Metrics>(ServiceName::Metrics);
  judges_.Start();
  auto& keys = registry.Find<OperatorKeys>(ServiceName::ReleaseLog);
  keys.OnOperatorWatch([this] { judges_.OnWatch(); });
  keys.OnOperatorEvents([this](const WatchEvents& aEvents) { judges_.OnEvents(aEvents); });
  datagrams_->AddHandler(
    [this](const Endpoint& /* aFrom */, const Datagram& aDatagram) { OnDatagram(aDatagram); });
  if (context_.settings.rollouts->rollbackMs < kMinRollbackMs) {
    Log(LogPart::Upstream,
        LogLevel::Warning,
        "rollouts.rollback_ms is {}; a bad version is closed within {} ms only. Check its unit.",
        context_.settings.rollouts->rollbackMs,
        kMinRollbackMs);
  }
  if (context_.settings.isFirstStart) {
    gate_.AssumeNoOrder(context_.loop.Now());
  }
  upstream_->SetGate(this);
  upstream_->AddListener([this] { OnUpstream(); });
  membership_->AddListener([this] {
    if (gate_.NeedsAnswer() && !askingSince_.has_value()) {
      SendReport();
    }
  });
  OnUpstream();
  Tick();
  return absl::OkStatus();
}

void RolloutsService::Stop()
{
  tickTimer_.Cancel();
  updateTimer_.Cancel();
  askTimer_.Cancel();
}

std::string RolloutsService::KnownStoreRegion() const
{
  return StoreRegion(membership_->Table(), context_.settings.store.region);
}

void RolloutsService::Tick()
{
  UpdateGate();
  SendReport();
  const Member& self = membership_->Self();
  std::optional<size_t> rank;
  if (membership_->IsReady() && WatchesStore(membership_->Table(), self, KnownStoreRegion())) {
    std::vector<const Member*> judges = JudgesOf(membership_->Table(), KnownStoreRegion());
    auto isSelf = [&](const Member* aMember) { return aMember->id == self.id; };
    auto place = std::find_if(judges.begin(), judges.end(), isSelf);
    if (place != judges.end()) {
      rank = static_cast<size_t>(place - judges.begin());
    }
  }
  judges_.Tick(rank);
  tickTimer_ = context_.loop.After(kTickPeriod, [this] { Tick(); });
}

void RolloutsService::OnUpstream()
{
  gate_.OnUpstream(upstream_->Version(), upstream_->Id(), context_.loop.Now());
  UpdateGate();
  if (gate_.NeedsAnswer() && !askingSince_.has_value()) {
    SendReport();
  }
}

void RolloutsService::UpdateGate()
{
  TimePoint now = context_.loop.Now();
  bool isSameRunning = false;
  bool isOtherRunning = false;
  std::string version = upstream_->Version().value_or("");
  for (const auto& [id, member] : membership_->Table().All()) {
    bool isRunning = id != context_.settings.id && AcceptsWork(member) &&
                     member.service == context_.settings.service;
    isSameRunning |= isRunning && member.upstreamVersion == version;
    isOtherRunning |= isRunning && member.upstreamVersion != version;
  }
  gate_.OnMembers(isSameRunning, isOtherRunning, now);
  bool isOpen = gate_.IsOpen(now);
  if (isOpen == wasOpen_) {
    return;
  }
  wasOpen_ = isOpen;
  Log(LogPart::Upstream,
      LogLevel::Info,
      "The gate of version {} is {}: order {}, stage {}, {} calls allowed.",
      version,
      isOpen ? "open" : "closed",
      gate_.OrderRevision(),
      NameOf(gate_.Stage()),
      gate_.MaxCalls());
  upstream_->OnGateChanged();
}

void RolloutsService::SendReport()
{
  TimePoint now = context_.loop.Now();
  bool isAsking = gate_.NeedsAnswer() && membership_->IsReady();
  if (!isAsking) {
    askingSince_.reset();
  } else if (!askingSince_.has_value()) {
    askingSince_ = now;
    // Without judges, or when they do not answer soon, the node reads the store itself.
    askTimer_ = context_.loop.After(kAnswerTime, [this] { ReadOrder(); });
  } else if (now >= nextRead_ && now - *askingSince_ >= kAnswerTime) {
    ReadOrder();
  }
  if (!isAsking && !gate_.IsOrderRunning()) {
    return;
  }
  std::vector<const Member*> judges = JudgesOf(membership_->Table(), KnownStoreRegion());
  if (judges.empty() && isAsking && now >= nextRead_) {
    ReadOrder();
  }
  RolloutReport report = MakeReport();
  for (const Member* judge : judges) {
    if (judge->id == context_.settings.id) {
      judges_.OnReport(report);
    } else {
      datagrams_->Send(EndpointFrom(context_.settings.region, *judge), report);
    }
  }
}

RolloutReport RolloutsService::MakeReport() const
{
  RolloutReport report;
  report.sender = context_.settings.id;
  report.incarnation = incarnation_;
  report.service = context_.settings.service;
  report.upstreamVersion = upstream_->Version().value_or("");
  report.isWarmingUp = upstream_->IsWarmingUp();
  report.slots = upstream_->UngatedSlots();
  report.running = running_;
  report.counts = counts_.CountsOf(report.upstreamVersion);
  report.maxCalls = gate_.MaxCalls();
  report.orderRevision = gate_.OrderRevision();
  report.stage = gate_.Stage();
  return report;
}

void RolloutsService::OnDatagram(const Datagram& aDatagram)
{
  std::visit(Overloaded{
               [&](const RolloutReport& aReport) { judges_.OnReport(aReport); },
               [&](const RolloutPermit& aPermit) { OnPermit(aPermit); },
               [](const auto&) {},
             },
             aDatagram);
}

void RolloutsService::OnPermit(const RolloutPermit& aPermit)
{
  constexpr int64_t kMaxAgeMs = 3600 * 1000;
  bool isUsable = aPermit.service == context_.settings.service && aPermit.ageMs >= -1 &&
                  aPermit.ageMs <= kMaxAgeMs;
  if (isUsable) {
    gate_.OnPermit(aPermit, context_.loop.Now());
    UpdateGate();
  }
}

void RolloutsService::SendPermit(const std::string& aTo, const RolloutPermit& aPermit)
{
  if (aTo == context_.settings.id) {
    OnPermit(aPermit);
    return;
  }
  const Member* member = membership_->Table().Find(aTo);
  if (member != nullptr) {
    datagrams_->Send(EndpointFrom(context_.settings.region, *member), aPermit);
  }
}

void RolloutsService::ReadOrder()
{
  if (isReading_ || !gate_.NeedsAnswer()) {
    return;
  }
  isReading_ = true;
  TimePoint sentAt = context_.loop.Now();
  nextRead_ = sentAt + kReadRetryDelay;
  ReadRequest request;
  request.key = protocol_.orderKey(context_.settings.service);
  store_->Read(request, [this, sentAt](const absl::StatusOr<ReadResult>& aResult) {
    isReading_ = false;
    if (!aResult.ok()) {
      return;
    }
    if (!aResult->items.empty()) {
      auto order = protocol_.readOrder(aResult->items.front());
      if (order.ok()) {
        ReadRecord(*order, sentAt);
        return;
      }
    }
    RolloutPermit permit;
    permit.service = context_.settings.service;
    permit.ageMs = ToMilliseconds(context_.loop.Now() - sentAt);
    OnPermit(permit);
  });
}

void RolloutsService::ReadRecord(const RolloutOrder& aOrder, TimePoint aSentAt)
{
  isReading_ = true;
  ReadRequest request;
  request.key = protocol_.recordKey(aOrder.service);
  store_->Read(request, [this, aOrder, aSentAt](const absl::StatusOr<ReadResult>& aResult) {
    isReading_ = false;
    RolloutPermit permit;
    permit.service = aOrder.service;
    permit.targetVersion = aOrder.targetVersion;
    permit.orderRevision = aOrder.revision;
    permit.ageMs = ToMilliseconds(context_.loop.Now() - aSentAt);
    if (aResult.ok() && !aResult->items.empty()) {
      auto record = ParseRolloutRecord(aResult->items.front().value);
      bool isOfOrder = record.has_value() && record->orderRevision == aOrder.revision;
      permit.stage = isOfOrder ? record->stage : RolloutStage::Canary;
    }
    OnPermit(permit);
  });
}

std::string RolloutsService::OnCallStarted(const std::string& aPolicy)
{
  std::string version = upstream_->Version().value_or("");
  gate_.OnAdmitted();
  counts_.OnStarted(version, aPolicy);
  ++running_;
  metrics_->Count(CounterName::VersionCalls, fmt::format("version=\"{}\"", version));
  if (wasOpen_ && !gate_.IsOpen(context_.loop.Now())) {
    // Listeners close the queue, which must not happen while it hands out slots.
    updateTimer_ = context_.loop.After(Duration::zero(), [this] { UpdateGate(); });
  }
  return version;
}

void RolloutsService::OnCallEnded(const std::string& aVersion,
                                  const std::string& aPolicy,
                                  TimePoint aStartedAt,
                                  bool aHasFailed)
{
  OnCallCancelled();
  bool isWarmedUp = !upstream_->IsWarmingUp();
  counts_.OnEnded(aVersion, aPolicy, context_.loop.Now() - aStartedAt, aHasFailed, isWarmedUp);
}

} // namespace dandelion
