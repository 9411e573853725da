#include "dandeliond/MembershipService.h"

#include <algorithm>

namespace dandelion {

namespace {

constexpr Duration kTickPeriod = milliseconds(100);
constexpr Duration kPeerQueryPeriod = milliseconds(500);
constexpr Duration kHeadRetryDelay = milliseconds(500);

Member SelfOf(const NodeSettings& aSettings, uint64_t aIncarnation)
{
  Member self;
  self.id = aSettings.id;
  self.region = aSettings.region;
  self.zone = aSettings.zone;
  self.service = aSettings.service;
  self.endpoint = aSettings.peers;
  self.crossRegionEndpoint = aSettings.peersFromOtherRegions.value_or(aSettings.peers);
  self.incarnation = aIncarnation;
  self.slots = 0;
  self.relayCapacity =
    static_cast<int64_t>(aSettings.machine.cpuShare * aSettings.machine.linkMbps);
  return self;
}

bool IsProbe(const Datagram& aDatagram)
{
  return std::holds_alternative<Ping>(aDatagram) || std::holds_alternative<Ack>(aDatagram) ||
         std::holds_alternative<PingRequest>(aDatagram);
}

Datagram ToDatagram(const ProbeMessage& aMessage)
{
  return std::visit([](const auto& aAny) { return Datagram(aAny); }, aMessage);
}

ProbeMessage ToProbeMessage(const Datagram& aDatagram)
{
  return std::visit(Overloaded{
                      [](const Ping& aPing) { return ProbeMessage(aPing); },
                      [](const Ack& aAck) { return ProbeMessage(aAck); },
                      [](const PingRequest& aRequest) { return ProbeMessage(aRequest); },
                      [](const auto&) { return ProbeMessage(); },
                    },
                    aDatagram);
}

} // namespace

MembershipService::MembershipService(const NodeContext& aContext,
                                     uint64_t aIncarnation,
                                     uint64_t aSeed)
  : context_(aContext)
  , detector_(SelfOf(aContext.settings, aIncarnation), aSeed, aContext.loop.Now())
  , joining_(aContext.loop.Now())
  , random_(aSeed + 1)
{
}

absl::Status MembershipService::Start()
{
  Registry& registry = context_.registry;
  datagrams_ = &registry.Find<Datagrams>(ServiceName::Datagrams);
  links_ = &registry.Find<Links>(ServiceName::Links);
  log_ = &registry.Find<ReleaseLog>(ServiceName::ReleaseLog);
  releases_ = &registry.Find<Releases>(ServiceName::Releases);
  spreading_ = &registry.Find<Spreading>(ServiceName::Spreading);
  upstream_ = &registry.Find<UpstreamState>(ServiceName::UpstreamState);
  auto onUpstream = [this] {
    // Member records are sent often, so they name versions only where rollouts need them.
    std::string version =
      context_.settings.rollouts.has_value() ? upstream_->Version().value_or("") : "";
    Execute(detector_.SetUpstream(upstream_->Slots(), version, context_.loop.Now()));
  };
  upstream_->AddListener(onUpstream);
  onUpstream();
  links_->AddHandler(*this);
  datagrams_->AddHandler(
    [this](const Endpoint& aFrom, const Datagram& aDatagram) { OnDatagram(aFrom, aDatagram); });
  releases_->AddListener([this] {
    detector_.SetVersion(releases_->Current()->version);
    if (isReady_) {
      Execute(detector_.AnnounceVersion(context_.loop.Now()));
    }
    TryToFinishJoining();
  });
  knownSeeds_.insert(context_.settings.seeds.begin(), context_.settings.seeds.end());
  knownSeeds_.erase(context_.settings.peers);
  ReadHead();
  QueryPeers();
  Tick();
  return absl::OkStatus();
}

void MembershipService::Stop()
{
  tickTimer_.Cancel();
  peerQueryTimer_.Cancel();
  headRetryTimer_.Cancel();
}

void MembershipService::AnnounceDeparture(MemberState aState)
{
  Execute(detector_.AnnounceDeparture(aState, context_.loop.Now()));
}

void MembershipService::Tick()
{
  TimePoint now = context_.loop.Now();
  if (isReady_) {
    Execute(detector_.Tick(now));
    RequestLivenessWitness();
  } else {
    TryToFinishJoining();
  }
  tickTimer_ = context_.loop.After(kTickPeriod, [this] { Tick(); });
}

void MembershipService::Execute(const FailureDetectorEffects& aEffects)
{
  bool hasChanged = false;
  for (const FailureDetectorEffect& effect : aEffects) {
    std::visit(
      Overloaded{
        [&](const SendProbe& aProbe) { datagrams_->Send(aProbe.to, ToDatagram(aProbe.message)); },
        [&](const CompareTables& aCompare) {
          LinkId link = links_->Open(aCompare.with, Lane::Control);
          links_->Send(link, MemberDigests{ detector_.Table().Digests() });
        },
        [&](const MembersChanged&) { hasChanged = true; },
        [&](const VersionSeen& aSeen) {
          if (onVersionSeen_) {
            onVersionSeen_(aSeen.peer, aSeen.version);
          }
        },
      },
      effect);
  }
  if (hasChanged) {
    for (const auto& listener : listeners_) {
      listener();
    }
  }
}

void MembershipService::OnDatagram(const Endpoint& aFrom, const Datagram& aDatagram)
{
  if (!IsProbe(aDatagram)) {
    return;
  }
  if (isReady_) {
    Execute(detector_.OnMessage(aFrom, ToProbeMessage(aDatagram), context_.loop.Now()));
  } else {
    // A process that has not joined must not answer probes as a member does. The sender is a
    // member, so it is queried like a seed for the records of the other members.
    ContactSeeds({ aFrom });
  }
}

void MembershipService::OnStoreAnswered(TimePoint aSentAt)
{
  detector_.RecordLivenessWitness(aSentAt);
  // Only the first answer is measured, and the first one after the store was lost. It distinguishes
  // a near store from a far one; load on the machine distorts later measurements.
  if (Self().storeLatencyMs == 0) {
    TimePoint now = context_.loop.Now();
    Execute(detector_.SetStoreLatency(std::max<int64_t>(1, ToMilliseconds(now - aSentAt)), now));
  }
}

bool MembershipService::IsFenced(TimePoint aNow) const
{
  // Fencing keeps reports of "in force everywhere" true. Only the standalone environment makes such
  // reports. On the platform, a node that is cut off keeps serving its own callers.
  bool isNeeded = context_.settings.environment == EnvironmentName::Standalone;
  return isNeeded && detector_.IsFenced(aNow);
}

void MembershipService::OnLinkMessage(LinkId aLink, const LinkMessage& aMessage)
{
  std::visit(Overloaded{
               [&](const MemberDigests& aDigests) {
                 MemberRecords records;
                 records.records = detector_.RecordsFor(aDigests.digests);
                 records.wanted = detector_.Table().Digests();
                 links_->Send(aLink, records);
               },
               [&](const MemberRecords& aRecords) {
                 if (aRecords.wanted.has_value()) {
                   links_->Send(
                     aLink, MemberRecords{ detector_.RecordsFor(*aRecords.wanted), std::nullopt });
                 }
                 Execute(detector_.OnRecords(aRecords.records, context_.loop.Now()));
               },
               [&](const JoinQuery& aQuery) { OnJoinQuery(aLink, aQuery); },
               [&](const JoinAnswer& aAnswer) { OnJoinAnswer(aAnswer); },
               [](const auto&) {},
             },
             aMessage);
}

void MembershipService::OnJoinQuery(LinkId aLink, const JoinQuery& aQuery)
{
  JoinAnswer answer;
  answer.sender = context_.settings.id;
  answer.isReady = isReady_;
  answer.version = releases_->Current()->version;
  const Member* slot = detector_.Table().Find(aQuery.slot);
  if (slot != nullptr && slot->id != context_.settings.id) {
    answer.slotVersion = slot->version;
  }
  for (const auto& [id, member] : detector_.Table().All()) {
    bool isUnannounced = id == context_.settings.id && !isReady_;
    if (!isUnannounced) {
      answer.records.push_back(member);
    }
  }
  links_->Send(aLink, answer);
}

void MembershipService::OnJoinAnswer(const JoinAnswer& aAnswer)
{
  Execute(detector_.OnRecords(aAnswer.records, context_.loop.Now()));
  if (isReady_) {
    return;
  }
  joining_.OnAnswer(aAnswer);
  QueryPeers();
  TryToFinishJoining();
}

void MembershipService::ReadHead()
{
  if (isReady_ || isReadingHead_) {
    return;
  }
  if (context_.settings.isFirstStart) {
    // No version was ever in force, so the node cannot serve an older one than before.
    joining_.OnStoreHead(0);
    return;
  }
  isReadingHead_ = true;
  log_->ReadHead([this](const absl::StatusOr<Version>& aHead) {
    isReadingHead_ = false;
    if (aHead.ok()) {
      joining_.OnStoreHead(*aHead);
      TryToFinishJoining();
    } else {
      Duration jitter = milliseconds(static_cast<int64_t>(random_() % 500));
      headRetryTimer_ = context_.loop.After(kHeadRetryDelay + jitter, [this] { ReadHead(); });
    }
  });
}

void MembershipService::QueryPeers()
{
  if (isReady_) {
    return;
  }
  std::set<Endpoint> known = KnownPeers();
  joining_.OnPeersKnown(known.size());
  if (!joining_.BeginRound(context_.loop.Now())) {
    return;
  }
  std::vector<Endpoint> peers(known.begin(), known.end());
  std::shuffle(peers.begin(), peers.end(), random_);
  size_t queriedNow = 0;
  for (const Endpoint& peer : peers) {
    if (queriedNow < kMaxPeersPerQueryRound && queriedPeers_.insert(peer).second) {
      links_->Send(links_->Open(peer, Lane::Control), JoinQuery{ context_.settings.id });
      ++queriedNow;
    }
  }
  if (queriedNow == 0) {
    // Every peer was queried once. The next rounds query them again, because some did not answer or
    // were not ready.
    queriedPeers_.clear();
  }
  peerQueryTimer_ = context_.loop.After(kPeerQueryPeriod, [this] { QueryPeers(); });
}

std::set<Endpoint> MembershipService::KnownPeers() const
{
  std::set<Endpoint> peers = knownSeeds_;
  for (const auto& [id, member] : detector_.Table().All()) {
    const Endpoint& endpoint = EndpointFrom(context_.settings.region, member);
    bool canAnswer = id != context_.settings.id && IsActive(member);
    // Members that are leaving or gone need not answer, so the node does not wait for them.
    if (canAnswer) {
      peers.insert(endpoint);
    } else {
      peers.erase(endpoint);
    }
  }
  return peers;
}

void MembershipService::TryToFinishJoining()
{
  if (isReady_) {
    return;
  }
  std::optional<Version> required = joining_.RequiredVersion(context_.loop.Now());
  if (!required.has_value()) {
    return;
  }
  if (releases_->Current()->version < *required) {
    spreading_->RequireVersion(*required);
    return;
  }
  isReady_ = true;
  Log(LogPart::Membership,
      LogLevel::Info,
      "{} has joined with version {}.",
      context_.settings.id,
      releases_->Current()->version);
  AnnounceJoin();
}

void MembershipService::AnnounceJoin()
{
  TimePoint now = context_.loop.Now();
  for (const Endpoint& seed : knownSeeds_) {
    Execute(detector_.ContactSeed(seed, now));
  }
  size_t contacts = 0;
  std::vector<const Member*> zone = detector_.Table().InZone(context_.settings.zone);
  std::shuffle(zone.begin(), zone.end(), random_);
  for (const Member* member : zone) {
    if (member->id != context_.settings.id && contacts < kMaxPeersPerQueryRound) {
      Execute(detector_.ContactSeed(member->endpoint, now));
      ++contacts;
    }
  }
  for (const auto& listener : listeners_) {
    listener();
  }
}

void MembershipService::ContactSeeds(const std::vector<Endpoint>& aSeeds)
{
  for (const Endpoint& seed : aSeeds) {
    bool isUnknown =
      seed != context_.settings.peers && detector_.Table().FindByEndpoint(seed) == nullptr;
    if (!isUnknown) {
      continue;
    }
    knownSeeds_.insert(seed);
    if (isReady_) {
      Execute(detector_.ContactSeed(seed, context_.loop.Now()));
    }
  }
  if (!isReady_) {
    QueryPeers();
  }
}

void MembershipService::RequestLivenessWitness()
{
  TimePoint now = context_.loop.Now();
  bool needsWitness = context_.settings.environment == EnvironmentName::Standalone;
  if (isWitnessRequested_ || !needsWitness || !detector_.NeedsLivenessWitness(now)) {
    return;
  }
  isWitnessRequested_ = true;
  log_->ReadHead([this, now](const absl::StatusOr<Version>& aHead) {
    isWitnessRequested_ = false;
    if (aHead.ok()) {
      detector_.RecordLivenessWitness(now);
    }
  });
}

} // namespace dandelion
