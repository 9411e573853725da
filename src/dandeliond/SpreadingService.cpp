#include "dandeliond/SpreadingService.h"

#include <algorithm>

namespace dandelion {

namespace {

constexpr Duration kTickPeriod = milliseconds(50);
constexpr Duration kReportRetryDelay = milliseconds(200);
constexpr Duration kMaxReportRetryDelay = seconds(5);
/// Time between two reports of a relay to the relays of all zones while its zone's counts change.
constexpr Duration kZoneReportPeriodChanging = milliseconds(100);
/// The same while members of the zone lack the newest version but the counts do not change.
constexpr Duration kZoneReportPeriodUnfinished = seconds(1);
/// The same while every member of the zone has the newest version.
constexpr Duration kZoneReportPeriodIdle = seconds(5);
constexpr Duration kStorePollPeriod = seconds(10);
/// A relay without contact to the store's region for this long polls the store itself.
constexpr Duration kStoreRegionTimeout = seconds(10);
constexpr Duration kProgressRequestTimeout = seconds(2);
/// A snapshot is written each time the log has grown by this many notes.
constexpr Version kNotesPerCompaction = 128;

bool HasSameCounts(const ZoneReport& aA, const ZoneReport& aB)
{
  return aA.members == aB.members && aA.lowest == aB.lowest && aA.newest == aB.newest &&
         aA.atNewest == aB.atNewest && aA.missing == aB.missing;
}

} // namespace

SpreadingService::SpreadingService(const NodeContext& aContext, uint64_t aSeed)
  : context_(aContext)
  , random_(aSeed)
  , catchUp_(aContext.settings.environment == EnvironmentName::Platform ? kPushWait
                                                                        : Duration::zero())
{
}

absl::Status SpreadingService::Start()
{
  Registry& registry = context_.registry;
  datagrams_ = &registry.Find<Datagrams>(ServiceName::Datagrams);
  links_ = &registry.Find<Links>(ServiceName::Links);
  membership_ = &registry.Find<Membership>(ServiceName::Membership);
  releases_ = &registry.Find<Releases>(ServiceName::Releases);
  log_ = &registry.Find<ReleaseLog>(ServiceName::ReleaseLog);
  lastStoreRegionContact_ = context_.loop.Now();
  links_->AddHandler(*this);
  datagrams_->AddHandler(
    [this](const Endpoint& aFrom, const Datagram& aDatagram) { OnDatagram(aFrom, aDatagram); });
  auto onVersionSeen = [this](const Endpoint& aPeer, Version aVersion) {
    const Member* member = membership_->Table().FindByEndpoint(aPeer);
    if (member != nullptr && member->region == KnownStoreRegion()) {
      lastStoreRegionContact_ = context_.loop.Now();
    }
    OnVersionSeen(member == nullptr ? aPeer : EndpointOf(*member), aVersion);
  };
  links_->OnVersionSeen(onVersionSeen);
  membership_->OnVersionSeen(onVersionSeen);
  releases_->AddListener([this] { OnVersionInForce(); });
  Tick();
  return absl::OkStatus();
}

void SpreadingService::Stop()
{
  tickTimer_.Cancel();
  progressRequests_.clear();
}

void SpreadingService::Tick()
{
  TimePoint now = context_.loop.Now();
  AdvanceCatchUp();
  // The platform's watches are renewed continuously, so the store need not be polled there.
  if (membership_->IsReady() && context_.TracksProgress()) {
    ReportVersion(now);
    ReportZone(now);
    PollStore(now);
    MaybeCompact();
  }
  tickTimer_ = context_.loop.After(kTickPeriod, [this] { Tick(); });
}

void SpreadingService::OnVersionInForce()
{
  Version version = releases_->Current()->version;
  links_->SetVersion(version);
  catchUp_.OnVersionInForce(version, context_.loop.Now());
  PushVersion();
  for (auto& [relay, report] : reports_) {
    report.sends = 0;
    report.nextSend = context_.loop.Now();
  }
  if (membership_->IsReady() && context_.TracksProgress()) {
    ReportVersion(context_.loop.Now());
  }
}

std::string SpreadingService::KnownStoreRegion() const
{
  return StoreRegion(membership_->Table(), context_.settings.store.region);
}

void SpreadingService::PushVersion()
{
  // A node that is still joining only catches up with versions that other nodes already hold.
  if (!membership_->IsReady()) {
    return;
  }
  Version version = releases_->Current()->version;
  // Each release note raises the version by one. Configurations that operators keep in the store
  // may raise it by any amount.
  Version before =
    context_.TracksProgress() ? std::max(pushedVersion_, version - 1) : pushedVersion_;
  pushedVersion_ = version;
  LinkMessage update = MakeUpdateAfter(before);
  std::vector<const Member*> targets =
    PushTargets(membership_->Table(), membership_->Self(), KnownStoreRegion());
  for (const Member* target : targets) {
    if (target->version < version) {
      links_->Send(links_->Open(EndpointOf(*target), Lane::Control), update);
    }
  }
}

LinkMessage SpreadingService::MakeUpdateAfter(Version aVersion) const
{
  auto entries = releases_->EntriesAfter(aVersion);
  if (entries.has_value()) {
    return EntriesDelivery{ *std::move(entries) };
  }
  auto deltas = releases_->DeltasAfter(aVersion);
  if (deltas.has_value()) {
    return DeltasDelivery{ *std::move(deltas) };
  }
  return SnapshotDelivery{ *releases_->Current(), releases_->CurrentHash() };
}

void SpreadingService::ForwardEntry(const Entry& aEntry)
{
  for (const Member* target : EntryForwardTargets(membership_->Table(), membership_->Self())) {
    links_->Send(links_->Open(EndpointOf(*target), Lane::Control), EntriesDelivery{ { aEntry } });
  }
}

void SpreadingService::OnVersionSeen(const Endpoint& aPeer, Version aVersion)
{
  catchUp_.OnVersionSeen(aPeer, aVersion);
  AdvanceCatchUp();
}

void SpreadingService::RequireVersion(Version aVersion)
{
  catchUp_.OnVersionRequired(aVersion);
  AdvanceCatchUp();
}

void SpreadingService::AdvanceCatchUp()
{
  std::optional<CatchUpEffect> effect = catchUp_.Next(context_.loop.Now());
  if (!effect.has_value()) {
    return;
  }
  std::visit(Overloaded{
               [&](const PullFromPeer& aPull) {
                 Log(LogPart::Spreading,
                     LogLevel::Info,
                     "Version {} is known, version {} is in force; pulling from {}.",
                     catchUp_.HighestSeen(),
                     aPull.after,
                     ToText(aPull.peer));
                 links_->Send(links_->Open(aPull.peer, Lane::Control), PullEntries{ aPull.after });
               },
               [&](const PullFromStore&) {
                 Log(LogPart::Spreading,
                     LogLevel::Info,
                     "Version {} is known, version {} is in force; reading the store.",
                     catchUp_.HighestSeen(),
                     releases_->Current()->version);
                 ReadStore();
               },
             },
             *effect);
}

void SpreadingService::ReadStore()
{
  if (isReadingStore_) {
    return;
  }
  isReadingStore_ = true;
  log_->Synchronize([this](const absl::Status& aStatus) {
    isReadingStore_ = false;
    OnStoreRead(aStatus);
  });
}

void SpreadingService::OnStoreRead(const absl::Status& aStatus)
{
  if (aStatus.ok()) {
    return;
  }
  if (KindOf(aStatus) == ErrorKind::WrongHash) {
    Log(LogPart::Store, LogLevel::Error, "The store is not followed: {}.", MessageOf(aStatus));
  }
  bool canRepair = KindOf(aStatus) == ErrorKind::StoreBehind && IsFirstRelayOfStoreRegion();
  if (!canRepair || isRepairing_) {
    return;
  }
  isRepairing_ = true;
  log_->Repair([this](const absl::Status& aRepaired) {
    isRepairing_ = false;
    if (aRepaired.ok()) {
      Log(LogPart::Store, LogLevel::Info, "The store's log is complete again.");
    }
  });
}

void SpreadingService::PollStore(TimePoint aNow)
{
  if (aNow < nextStorePoll_ || !IsRelay()) {
    return;
  }
  nextStorePoll_ = aNow + kStorePollPeriod + milliseconds(static_cast<int64_t>(random_() % 1000));
  const Member& self = membership_->Self();
  bool isInStoreRegion = self.region == KnownStoreRegion();
  bool isCutOff = aNow - lastStoreRegionContact_ > kStoreRegionTimeout;
  // Watches are faster, but a watch that has stopped delivering without an error must not hide a
  // new version.
  if (isInStoreRegion || isCutOff) {
    ReadStore();
  }
}

void SpreadingService::OnLinkMessage(LinkId aLink, const LinkMessage& aMessage)
{
  std::visit(
    Overloaded{
      [&](const PullEntries& aPull) { OnPull(aLink, aPull); },
      [&](const EntriesDelivery& aDelivery) {
        LogDelivery(aLink, aDelivery.entries.empty() ? 0 : aDelivery.entries.back().version);
        absl::Status status = releases_->ApplyEntries(aDelivery.entries);
        if (KindOf(status) == ErrorKind::VersionGap && !aDelivery.entries.empty()) {
          catchUp_.OnVersionRequired(aDelivery.entries.back().version);
        }
      },
      [&](const DeltasDelivery& aDelivery) {
        LogDelivery(aLink, aDelivery.deltas.empty() ? 0 : aDelivery.deltas.back().version);
        absl::Status status = releases_->ApplyDeltas(aDelivery.deltas);
        if (!status.ok() && !aDelivery.deltas.empty()) {
          catchUp_.OnVersionRequired(aDelivery.deltas.back().version);
        }
      },
      [&](const SnapshotDelivery& aDelivery) {
        LogDelivery(aLink, aDelivery.configuration.version);
        (void)releases_->ApplySnapshot(aDelivery.configuration, aDelivery.hash);
      },
      [&](const ProgressQuery& aQuery) {
        ProgressAnswer answer{
          aQuery.id, progress_.Progress(aQuery.version, membership_->Table(), context_.loop.Now())
        };
        links_->Send(aLink, answer);
      },
      [&](const ProgressAnswer& aAnswer) { FinishProgressRequest(aAnswer.id, aAnswer.zones); },
      [](const auto&) {},
    },
    aMessage);
}

void SpreadingService::LogDelivery(LinkId aLink, Version aVersion) const
{
  std::optional<Endpoint> peer = links_->PeerOf(aLink);
  Log(LogPart::Spreading,
      LogLevel::Info,
      "{} delivered versions up to {}; version {} is in force.",
      peer.has_value() ? ToText(*peer) : "A peer",
      aVersion,
      releases_->Current()->version);
}

void SpreadingService::OnLinkClosed(LinkId aLink, const std::vector<LinkMessage>& /* aUnsent */)
{
  std::vector<uint64_t> lost;
  for (const auto& [id, request] : progressRequests_) {
    if (request.link == aLink) {
      lost.push_back(id);
    }
  }
  for (uint64_t id : lost) {
    FinishProgressRequest(id,
                          MakeError(ErrorKind::Unreachable, "the zone's relay cannot be reached"));
  }
}

void SpreadingService::OnPull(LinkId aLink, const PullEntries& aPull)
{
  if (aPull.after < releases_->Current()->version) {
    links_->Send(aLink, MakeUpdateAfter(aPull.after));
  }
}

void SpreadingService::OnDatagram(const Endpoint& aFrom, const Datagram& aDatagram)
{
  std::visit(Overloaded{
               [&](const VersionReport& aReport) {
                 membership_->OnVersionReported(aReport.sender, aReport.version);
                 datagrams_->Send(aFrom, VersionReportAck{ context_.settings.id, aReport.version });
                 catchUp_.OnVersionSeen(aFrom, aReport.version);
                 AdvanceCatchUp();
               },
               [&](const VersionReportAck& aAck) {
                 ReportState& report = reports_[aAck.sender];
                 report.acknowledged = std::max(report.acknowledged, aAck.version);
               },
               [&](const ZoneReport& aReport) { progress_.OnReport(aReport, context_.loop.Now()); },
               [](const auto&) {},
             },
             aDatagram);
}

void SpreadingService::ReportVersion(TimePoint aNow)
{
  Version version = releases_->Current()->version;
  const Member& self = membership_->Self();
  std::vector<const Member*> relays = RelaysOfZone(membership_->Table(), self.zone);
  for (auto report = reports_.begin(); report != reports_.end();) {
    // A member that is no longer a relay may drop what was reported to it. If it becomes a relay
    // again, the version is reported again.
    report = ContainsMember(relays, report->first) ? std::next(report) : reports_.erase(report);
  }
  for (const Member* relay : relays) {
    ReportState& report = reports_[relay->id];
    if (relay->id == self.id || report.acknowledged >= version || aNow < report.nextSend) {
      continue;
    }
    datagrams_->Send(relay->endpoint, VersionReport{ self.id, version });
    Duration wait = kReportRetryDelay * (1 << std::min(report.sends, 5));
    report.nextSend = aNow + std::min(wait, kMaxReportRetryDelay);
    ++report.sends;
  }
}

void SpreadingService::ReportZone(TimePoint aNow)
{
  if (!IsRelay()) {
    return;
  }
  const Member& self = membership_->Self();
  ZoneReport report =
    MakeZoneReport(self, membership_->CountedMembersInZone(aNow), releases_->Current()->version);
  progress_.OnReport(report, aNow);
  bool hasChanged = !lastZoneReport_.has_value() || !HasSameCounts(report, *lastZoneReport_);
  // Changed counts may be sent earlier than scheduled, by up to one period of unfinished reports.
  TimePoint due = hasChanged ? nextZoneReport_ - kZoneReportPeriodUnfinished : nextZoneReport_;
  if (aNow < due) {
    return;
  }
  bool isUnfinished = report.atNewest < report.members;
  Duration period = isUnfinished ? kZoneReportPeriodUnfinished : kZoneReportPeriodIdle;
  nextZoneReport_ =
    aNow + (hasChanged ? kZoneReportPeriodChanging + kZoneReportPeriodUnfinished : period);
  lastZoneReport_ = report;
  for (const std::string& zone : membership_->Table().Zones()) {
    for (const Member* relay : RelaysOfZone(membership_->Table(), zone)) {
      if (relay->id != self.id) {
        datagrams_->Send(EndpointOf(*relay), report);
      }
    }
  }
}

void SpreadingService::MaybeCompact()
{
  Version version = releases_->Current()->version;
  bool isDue = version >= compactedVersion_ + kNotesPerCompaction;
  if (!isDue || isCompacting_ || !IsFirstRelayOfStoreRegion()) {
    return;
  }
  isCompacting_ = true;
  log_->Compact([this, version](const absl::Status& aStatus) {
    isCompacting_ = false;
    if (aStatus.ok()) {
      compactedVersion_ = version;
    }
  });
}

void SpreadingService::QueryProgress(Version aVersion, OnProgress aDone)
{
  const Member& self = membership_->Self();
  if (IsRelay()) {
    aDone(progress_.Progress(aVersion, membership_->Table(), context_.loop.Now()));
    return;
  }
  std::vector<const Member*> relays = RelaysOfZone(membership_->Table(), self.zone);
  if (relays.empty()) {
    aDone(MakeError(ErrorKind::Unreachable, "the zone has no relay at present; retry the request"));
    return;
  }
  uint64_t id = nextRequestId_++;
  ProgressRequest& request = progressRequests_[id];
  request.done = std::move(aDone);
  request.link = links_->Open(relays.front()->endpoint, Lane::Control);
  request.timeout = context_.loop.After(kProgressRequestTimeout, [this, id] {
    FinishProgressRequest(id,
                          MakeError(ErrorKind::Unreachable, "the zone's relay does not answer"));
  });
  links_->Send(request.link, ProgressQuery{ id, aVersion });
}

void SpreadingService::FinishProgressRequest(
  uint64_t aId,
  const absl::StatusOr<std::vector<ZoneProgress>>& aProgress)
{
  auto found = progressRequests_.find(aId);
  if (found == progressRequests_.end()) {
    return;
  }
  OnProgress done = std::move(found->second.done);
  progressRequests_.erase(found);
  done(aProgress);
}

bool SpreadingService::IsRelay() const
{
  const Member& self = membership_->Self();
  return ContainsMember(RelaysOfZone(membership_->Table(), self.zone), self.id);
}

bool SpreadingService::IsFirstRelayOfStoreRegion() const
{
  const Member& self = membership_->Self();
  if (self.region != KnownStoreRegion()) {
    return false;
  }
  std::vector<const Member*> ranked = membership_->Table().RankedInRegion(self.region);
  return !ranked.empty() && ranked.front()->id == self.id;
}

} // namespace dandelion
