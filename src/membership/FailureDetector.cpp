#include "membership/FailureDetector.h"

#include <algorithm>

namespace dandelion {

namespace {

constexpr size_t kIndirectProbes = 3;
/// Number of zone members that receive urgent records immediately, before the next probe.
constexpr size_t kImmediateFanout = 8;
constexpr size_t kRelaysPerZone = 2;
/// A process that did not run for this long discards its pending probes and restarts the timeouts
/// of all members, instead of marking members suspect or gone.
constexpr Duration kPauseThreshold = milliseconds(500);
/// Tables are compared over a link after this many datagrams in a row with a different digest.
constexpr int kMismatchesBeforeCompare = 3;
constexpr Duration kCompareInterval = seconds(2);

const Gossip& GossipOf(const ProbeMessage& aMessage)
{
  return std::visit([](const auto& aAny) -> const Gossip& { return aAny.gossip; }, aMessage);
}

} // namespace

FailureDetector::FailureDetector(Member aSelf, uint64_t aSeed, TimePoint aNow)
  : selfId_(aSelf.id)
  , random_(aSeed)
  , nextSequence_(random_() >> 16)
  , lastTick_(aNow)
  , nextProbe_(aNow)
  , lastAnsweredRequestAt_(aNow)
  , nextCompare_(aNow)
{
  table_.Merge(aSelf);
  pendingUpdates_.Add(aSelf, table_.All().size());
}

FailureDetectorEffects FailureDetector::Tick(TimePoint aNow)
{
  FailureDetectorEffects effects;
  if (aNow - lastTick_ > kPauseThreshold) {
    // Answers may have arrived and been lost while this process was paused, so the pending probes
    // are no evidence that their targets failed.
    probes_.clear();
    stateTimes_.Restart(aNow);
  }
  lastTick_ = aNow;
  CheckProbes(effects, aNow);
  ExpireMembers(effects, aNow);
  if (aNow >= nextProbe_) {
    nextProbe_ = aNow + kProbePeriod;
    StartProbes(effects, aNow);
  }
  if (hasUpdatesForOtherZones_ && IsZoneRelay()) {
    NotifyOtherZones(effects, aNow);
  }
  hasUpdatesForOtherZones_ = false;
  return effects;
}

FailureDetectorEffects FailureDetector::OnMessage(const Endpoint& aFrom,
                                                  const ProbeMessage& aMessage,
                                                  TimePoint aNow)
{
  FailureDetectorEffects effects;
  OnGossip(effects, aFrom, GossipOf(aMessage), aNow);
  std::visit(Overloaded{
               [&](const Ping& aPing) { OnPing(effects, aFrom, aPing); },
               [&](const Ack& aAck) { OnAck(effects, aAck); },
               [&](const PingRequest& aRequest) { OnPingRequest(effects, aFrom, aRequest, aNow); },
             },
             aMessage);
  return effects;
}

FailureDetectorEffects FailureDetector::OnRecords(const std::vector<Member>& aRecords,
                                                  TimePoint aNow)
{
  FailureDetectorEffects effects;
  for (const Member& record : aRecords) {
    MergeRecord(effects, record, aNow);
  }
  digestMismatches_ = 0;
  return effects;
}

FailureDetectorEffects FailureDetector::ContactSeed(const Endpoint& aSeed, TimePoint aNow)
{
  FailureDetectorEffects effects;
  if (aSeed == Self().endpoint) {
    return effects;
  }
  uint64_t sequence = nextSequence_++;
  probes_[sequence] = Probe{ "", aSeed, aNow, false, true };
  effects.push_back(SendProbe{ aSeed, Ping{ sequence, MakeGossip(selfId_) } });
  effects.push_back(CompareTables{ aSeed });
  return effects;
}

FailureDetectorEffects FailureDetector::AnnounceDeparture(MemberState aState, TimePoint aNow)
{
  FailureDetectorEffects effects;
  Member self = Self();
  self.state = aState;
  table_.Merge(self);
  effects.push_back(MembersChanged{});
  pendingUpdates_.Add(self, table_.All().size());
  NotifyZone(effects, aNow);
  NotifyOtherZones(effects, aNow);
  return effects;
}

void FailureDetector::NotifyZone(FailureDetectorEffects& aEffects, TimePoint aNow)
{
  std::vector<const Member*> others = table_.InZone(Self().zone);
  std::shuffle(others.begin(), others.end(), random_);
  size_t notified = 0;
  for (const Member* other : others) {
    if (other->id != selfId_ && notified < kImmediateFanout) {
      SendPing(aEffects, *other, false, aNow);
      ++notified;
    }
  }
}

FailureDetectorEffects FailureDetector::SetUpstream(int64_t aSlots,
                                                    const std::string& aVersion,
                                                    TimePoint aNow)
{
  Member self = Self();
  if (self.slots == aSlots && self.upstreamVersion == aVersion) {
    return {};
  }
  self.slots = aSlots;
  self.upstreamVersion = aVersion;
  return ReplaceSelf(std::move(self), aNow);
}

FailureDetectorEffects FailureDetector::SetStoreLatency(int64_t aMilliseconds, TimePoint aNow)
{
  Member self = Self();
  if (self.storeLatencyMs == aMilliseconds) {
    return {};
  }
  self.storeLatencyMs = aMilliseconds;
  return ReplaceSelf(std::move(self), aNow);
}

FailureDetectorEffects FailureDetector::ReplaceSelf(Member aSelf, TimePoint aNow)
{
  FailureDetectorEffects effects;
  // Records of one incarnation may differ only in their state, so this change needs a new one.
  ++aSelf.incarnation;
  table_.Merge(aSelf);
  pendingUpdates_.Add(aSelf, table_.All().size());
  effects.push_back(MembersChanged{});
  NotifyZone(effects, aNow);
  NotifyOtherZones(effects, aNow);
  return effects;
}

FailureDetectorEffects FailureDetector::AnnounceVersion(TimePoint aNow)
{
  FailureDetectorEffects effects;
  if (IsZoneRelay()) {
    NotifyZone(effects, aNow);
    NotifyOtherZones(effects, aNow);
  }
  return effects;
}

void FailureDetector::RecordLivenessWitness(TimePoint aAskedAt)
{
  lastAnsweredRequestAt_ = std::max(lastAnsweredRequestAt_, aAskedAt);
}

bool FailureDetector::NeedsLivenessWitness(TimePoint aNow) const
{
  return table_.All().size() > 1 && aNow - lastAnsweredRequestAt_ > kFenceTimeout / 2;
}

void FailureDetector::SetVersion(uint64_t aVersion)
{
  table_.RaiseVersion(selfId_, aVersion);
}

bool FailureDetector::IsFenced(TimePoint aNow) const
{
  bool isAlone = table_.All().size() == 1;
  return !isAlone && aNow - lastAnsweredRequestAt_ > kFenceTimeout;
}

std::vector<const Member*> FailureDetector::CountedMembersInZone(TimePoint aNow) const
{
  std::vector<const Member*> counted = table_.InZone(Self().zone);
  for (const auto& [id, member] : table_.All()) {
    if (member.zone != Self().zone || member.state != MemberState::Gone) {
      continue;
    }
    std::optional<TimePoint> since = stateTimes_.Since(id);
    if (since.has_value() && aNow - *since < kGoneGracePeriod) {
      counted.push_back(&member);
    }
  }
  return counted;
}

void FailureDetector::MergeRecord(FailureDetectorEffects& aEffects,
                                  const Member& aRecord,
                                  TimePoint aNow)
{
  if (aRecord.id == selfId_) {
    Refute(aRecord);
    return;
  }
  if (!table_.Merge(aRecord)) {
    return;
  }
  stateTimes_.OnRecord(aRecord, aNow);
  pendingUpdates_.Add(aRecord, table_.All().size());
  if (aRecord.zone == Self().zone) {
    hasUpdatesForOtherZones_ = true;
  }
  aEffects.push_back(MembersChanged{});
}

void FailureDetector::Refute(const Member& aRecord)
{
  Member self = Self();
  table_.RaiseVersion(selfId_, aRecord.version);
  bool isOwnDeparture = self.state == MemberState::Leaving && aRecord.state <= MemberState::Leaving;
  bool contradicts = aRecord.incarnation > self.incarnation ||
                     (aRecord.incarnation == self.incarnation && aRecord.state > self.state);
  if (!contradicts || (isOwnDeparture && aRecord.incarnation == self.incarnation)) {
    return;
  }
  self.incarnation = aRecord.incarnation + 1;
  table_.Merge(self);
  pendingUpdates_.Add(self, table_.All().size());
  hasUpdatesForOtherZones_ = true;
}

Gossip FailureDetector::MakeGossip(const std::string& aFirstId)
{
  Gossip gossip;
  gossip.sender = selfId_;
  gossip.version = Self().version;
  gossip.digest = table_.Digest();
  const Member* first = aFirstId.empty() ? nullptr : table_.Find(aFirstId);
  if (first != nullptr) {
    gossip.updates.push_back(*first);
  }
  pendingUpdates_.TakeInto(gossip.updates);
  return gossip;
}

void FailureDetector::OnGossip(FailureDetectorEffects& aEffects,
                               const Endpoint& aFrom,
                               const Gossip& aGossip,
                               TimePoint aNow)
{
  for (const Member& record : aGossip.updates) {
    MergeRecord(aEffects, record, aNow);
  }
  table_.RaiseVersion(aGossip.sender, aGossip.version);
  // Between regions the source address may be a translated one that accepts no links.
  const Member* sender = table_.Find(aGossip.sender);
  Endpoint peer = sender == nullptr ? aFrom : EndpointOf(*sender);
  aEffects.push_back(VersionSeen{ peer, aGossip.version });
  if (aGossip.digest == table_.Digest()) {
    digestMismatches_ = 0;
    return;
  }
  ++digestMismatches_;
  if (digestMismatches_ >= kMismatchesBeforeCompare && aNow >= nextCompare_) {
    digestMismatches_ = 0;
    nextCompare_ = aNow + kCompareInterval;
    aEffects.push_back(CompareTables{ peer });
  }
}

void FailureDetector::OnPing(FailureDetectorEffects& aEffects,
                             const Endpoint& aFrom,
                             const Ping& aPing)
{
  // The first record is the one about the sender of the ping, so that it can refute a suspicion.
  aEffects.push_back(SendProbe{ aFrom, Ack{ aPing.sequence, MakeGossip(aPing.gossip.sender) } });
}

void FailureDetector::OnAck(FailureDetectorEffects& aEffects, const Ack& aAck)
{
  auto forwarded = forwardedProbes_.find(aAck.sequence);
  if (forwarded != forwardedProbes_.end()) {
    Ack forwardedAck{ forwarded->second.requesterSequence, aAck.gossip };
    aEffects.push_back(SendProbe{ forwarded->second.requester, forwardedAck });
    forwardedProbes_.erase(forwarded);
    return;
  }
  auto probe = probes_.find(aAck.sequence);
  if (probe == probes_.end()) {
    return;
  }
  // Uses the send time, because the answer may have been buffered while this process was paused.
  lastAnsweredRequestAt_ = std::max(lastAnsweredRequestAt_, probe->second.sentAt);
  probes_.erase(probe);
}

void FailureDetector::OnPingRequest(FailureDetectorEffects& aEffects,
                                    const Endpoint& aFrom,
                                    const PingRequest& aRequest,
                                    TimePoint aNow)
{
  uint64_t sequence = nextSequence_++;
  forwardedProbes_[sequence] = ForwardedProbe{ aFrom, aRequest.sequence, aNow };
  aEffects.push_back(SendProbe{ aRequest.target, Ping{ sequence, MakeGossip() } });
}

void FailureDetector::SendPing(FailureDetectorEffects& aEffects,
                               const Member& aTarget,
                               bool aIsExemptFromSuspicion,
                               TimePoint aNow)
{
  uint64_t sequence = nextSequence_++;
  probes_[sequence] = Probe{ aTarget.id, aTarget.endpoint, aNow, false, aIsExemptFromSuspicion };
  aEffects.push_back(SendProbe{ EndpointOf(aTarget), Ping{ sequence, MakeGossip(aTarget.id) } });
}

void FailureDetector::StartProbes(FailureDetectorEffects& aEffects, TimePoint aNow)
{
  ProbeOwnZone(aEffects, aNow);
  ProbeGone(aEffects, aNow);
  bool isAloneInZone = table_.InZone(Self().zone).size() <= 1;
  if (IsZoneRelay() || isAloneInZone) {
    ProbeOtherZone(aEffects, aNow);
  }
}

void FailureDetector::ProbeOwnZone(FailureDetectorEffects& aEffects, TimePoint aNow)
{
  // Each round probes every member once, in a new random order, which bounds the detection time.
  while (true) {
    if (probeOrder_.empty()) {
      for (const Member* member : table_.InZone(Self().zone)) {
        if (member->id != selfId_) {
          probeOrder_.push_back(member->id);
        }
      }
      std::shuffle(probeOrder_.begin(), probeOrder_.end(), random_);
    }
    if (probeOrder_.empty()) {
      return;
    }
    const Member* target = table_.Find(probeOrder_.back());
    probeOrder_.pop_back();
    if (target != nullptr && target->state != MemberState::Gone) {
      SendPing(aEffects, *target, false, aNow);
      return;
    }
  }
}

/// Probes a member that is gone. A process restarted in its slot may know no other member, so the
/// members that knew the slot probe its endpoint.
void FailureDetector::ProbeGone(FailureDetectorEffects& aEffects, TimePoint aNow)
{
  std::vector<const Member*> goneMembers;
  for (const auto& [id, member] : table_.All()) {
    bool isProbedHere = member.zone == Self().zone || IsZoneRelay();
    if (member.state == MemberState::Gone && isProbedHere) {
      goneMembers.push_back(&member);
    }
  }
  if (!goneMembers.empty()) {
    SendPing(aEffects, *goneMembers[random_() % goneMembers.size()], true, aNow);
  }
}

void FailureDetector::ProbeOtherZone(FailureDetectorEffects& aEffects, TimePoint aNow)
{
  std::vector<std::string> zones = table_.Zones();
  zones.erase(std::remove(zones.begin(), zones.end(), Self().zone), zones.end());
  if (zones.empty()) {
    return;
  }
  std::vector<const Member*> ranked = table_.RankedInZone(zones[nextZone_++ % zones.size()]);
  if (ranked.empty()) {
    return;
  }
  // One probe in four goes to any member, because both known relays of the zone may have failed.
  constexpr uint64_t kAnyMemberOneIn = 4;
  size_t choices = random_() % kAnyMemberOneIn == 0 ? ranked.size() : kRelaysPerZone;
  choices = std::min(choices, ranked.size());
  SendPing(aEffects, *ranked[random_() % choices], true, aNow);
}

void FailureDetector::CheckProbes(FailureDetectorEffects& aEffects, TimePoint aNow)
{
  std::vector<std::string> failed;
  for (auto row = probes_.begin(); row != probes_.end();) {
    Probe& probe = row->second;
    Duration elapsed = aNow - probe.sentAt;
    if (elapsed >= kProbePeriod) {
      if (!probe.isExemptFromSuspicion) {
        failed.push_back(probe.target);
      }
      row = probes_.erase(row);
      continue;
    }
    if (elapsed >= kProbeTimeout && !probe.hasIndirectProbes && !probe.isExemptFromSuspicion) {
      probe.hasIndirectProbes = true;
      SendIndirectProbes(aEffects, row->first, probe);
    }
    ++row;
  }
  for (const std::string& target : failed) {
    MarkSuspect(aEffects, target, aNow);
  }
  for (auto forwarded = forwardedProbes_.begin(); forwarded != forwardedProbes_.end();) {
    bool isExpired = aNow - forwarded->second.sentAt >= kProbePeriod;
    forwarded = isExpired ? forwardedProbes_.erase(forwarded) : std::next(forwarded);
  }
}

void FailureDetector::SendIndirectProbes(FailureDetectorEffects& aEffects,
                                         uint64_t aSequence,
                                         const Probe& aProbe)
{
  std::vector<const Member*> helpers = table_.InZone(Self().zone);
  std::shuffle(helpers.begin(), helpers.end(), random_);
  size_t asked = 0;
  for (const Member* helper : helpers) {
    if (helper->id == selfId_ || helper->id == aProbe.target || asked >= kIndirectProbes) {
      continue;
    }
    PingRequest request{ aSequence, aProbe.endpoint, MakeGossip() };
    aEffects.push_back(SendProbe{ helper->endpoint, request });
    ++asked;
  }
}

void FailureDetector::MarkSuspect(FailureDetectorEffects& aEffects,
                                  const std::string& aTarget,
                                  TimePoint aNow)
{
  const Member* target = table_.Find(aTarget);
  if (target == nullptr || target->state != MemberState::Alive) {
    return;
  }
  Member record = *target;
  record.state = MemberState::Suspect;
  MergeRecord(aEffects, record, aNow);
}

void FailureDetector::ExpireMembers(FailureDetectorEffects& aEffects, TimePoint aNow)
{
  std::vector<Member> expired = stateTimes_.Overdue(table_, Self().zone, aNow);
  std::vector<std::string> forgotten = stateTimes_.Forgotten(table_, aNow);
  for (Member& record : expired) {
    // A leaving member that still answers is finishing its work. It is marked gone when it no
    // longer answers.
    bool answers = record.state == MemberState::Leaving;
    for (const auto& [sequence, probe] : probes_) {
      answers = answers && !(probe.target == record.id && probe.hasIndirectProbes);
    }
    if (!answers) {
      record.state = MemberState::Gone;
      MergeRecord(aEffects, record, aNow);
    }
  }
  for (const std::string& id : forgotten) {
    table_.Erase(id);
    stateTimes_.Erase(id);
  }
}

void FailureDetector::NotifyOtherZones(FailureDetectorEffects& aEffects, TimePoint aNow)
{
  for (const std::string& zone : table_.Zones()) {
    std::vector<const Member*> ranked = table_.RankedInZone(zone);
    if (zone != Self().zone && !ranked.empty()) {
      SendPing(aEffects, *ranked.front(), true, aNow);
    }
  }
}

bool FailureDetector::IsZoneRelay() const
{
  std::vector<const Member*> ranked = table_.RankedInZone(Self().zone);
  size_t relays = std::min(ranked.size(), kRelaysPerZone);
  auto isSelf = [&](const Member* aMember) { return aMember->id == selfId_; };
  return std::any_of(ranked.begin(), ranked.begin() + static_cast<ptrdiff_t>(relays), isSelf);
}

} // namespace dandelion
