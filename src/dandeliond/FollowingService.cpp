#include "dandeliond/FollowingService.h"

#include "absl/strings/str_join.h"

namespace dandelion {

namespace {

std::string IdsOf(const std::vector<const Member*>& aMembers)
{
  auto appendId = [](std::string* aText, const Member* aMember) { aText->append(aMember->id); };
  return absl::StrJoin(aMembers, ", ", appendId);
}

} // namespace

FollowingService::FollowingService(const NodeContext& aContext)
  : context_(aContext)
  , freshness_(aContext.loop.Now())
{
}

absl::Status FollowingService::Start()
{
  Registry& registry = context_.registry;
  datagrams_ = &registry.Find<Datagrams>(ServiceName::Datagrams);
  membership_ = &registry.Find<Membership>(ServiceName::Membership);
  releases_ = &registry.Find<Releases>(ServiceName::Releases);
  log_ = &registry.Find<ReleaseLog>(ServiceName::ReleaseLog);
  spreading_ = &registry.Find<Spreading>(ServiceName::Spreading);
  datagrams_->AddHandler([this](const Endpoint& aFrom, const Datagram& aDatagram) {
    const auto* confirmation = std::get_if<VersionConfirmation>(&aDatagram);
    if (confirmation != nullptr) {
      OnConfirmedByMember(aFrom, *confirmation);
    }
  });
  log_->OnConfirmed(
    [this](TimePoint aAsOf, int64_t aRevision) { OnConfirmedByStore(aAsOf, aRevision); });
  membership_->AddListener([this] { UpdateFollowing(); });
  releases_->AddListener([this] { OnVersionInForce(); });
  Tick();
  return absl::OkStatus();
}

void FollowingService::Stop()
{
  tickTimer_.Cancel();
}

void FollowingService::Tick()
{
  if (!membership_->IsReady() && context_.settings.isFirstStart) {
    // No version was ever in force, so none is missed.
    freshness_.OnConfirmed(releases_->Current()->version, context_.loop.Now(), 0);
  }
  UpdateFollowing();
  tickTimer_ = context_.loop.After(kFreshnessCheckPeriod, [this] { Tick(); });
}

void FollowingService::UpdateFollowing()
{
  if (!membership_->IsReady()) {
    return;
  }
  FollowReason reason = ReasonToFollow(context_.loop.Now());
  if (reason == FollowReason::None) {
    log_->Unfollow();
  } else {
    log_->Follow(freshness_.Revision());
  }
  LogRole(reason);
}

FollowReason FollowingService::ReasonToFollow(TimePoint aNow) const
{
  if (WatchesStore(membership_->Table(), membership_->Self(), KnownStoreRegion())) {
    return FollowReason::Watcher;
  }
  // Where progress is tracked, relays poll the store instead.
  bool isUnconfirmed = !context_.TracksProgress() && !freshness_.IsConfirmed(aNow);
  return isUnconfirmed ? FollowReason::Unconfirmed : FollowReason::None;
}

void FollowingService::LogRole(FollowReason aReason)
{
  const Member& self = membership_->Self();
  std::string role =
    fmt::format("Follows the store: {}. Relays of the zone: {}; of the region: {}.",
                NameOf(aReason),
                IdsOf(RelaysOfZone(membership_->Table(), self.zone)),
                IdsOf(RelaysOfRegion(membership_->Table(), self.region)));
  if (role != loggedRole_) {
    loggedRole_ = role;
    Log(LogPart::Spreading, LogLevel::Info, "{}", role);
  }
}

void FollowingService::OnVersionInForce()
{
  freshness_.OnVersionInForce(releases_->Current()->version);
  // A confirmation that arrived before its version can be passed on from now on.
  bool isConfirmed = freshness_.Revision() > 0 && freshness_.IsConfirmed(context_.loop.Now());
  if (membership_->IsReady() && isConfirmed) {
    SendConfirmation(freshness_.ConfirmedAt(), freshness_.Revision(), Children());
  }
}

void FollowingService::OnConfirmedByStore(TimePoint aAsOf, int64_t aRevision)
{
  if (!membership_->IsReady()) {
    // A joining node reads the newest version in the store. By the time at which it has joined,
    // this may be long ago.
    freshness_.OnConfirmed(releases_->Current()->version, aAsOf, aRevision);
    return;
  }
  std::vector<const Member*> targets = Children();
  // A node that asks the store only for itself may have no children; the relays pass it on.
  for (const Member* relay : EntryForwardTargets(membership_->Table(), membership_->Self())) {
    if (!ContainsMember(targets, relay->id)) {
      targets.push_back(relay);
    }
  }
  SendConfirmation(aAsOf, aRevision, targets);
}

void FollowingService::OnConfirmedByMember(const Endpoint& aFrom,
                                           const VersionConfirmation& aConfirmation)
{
  bool isUsable =
    aConfirmation.ageMs >= 0 && aConfirmation.ageMs <= ToMilliseconds(kMaxUnconfirmedTime);
  if (!isUsable) {
    return;
  }
  TimePoint asOf = context_.loop.Now() - milliseconds(aConfirmation.ageMs);
  freshness_.OnConfirmed(aConfirmation.version, asOf, aConfirmation.revision);
  const Member* sender = membership_->Table().Find(aConfirmation.sender);
  spreading_->OnVersionSeen(sender == nullptr ? aFrom : EndpointOf(*sender), aConfirmation.version);
  bool isInForce = aConfirmation.version <= releases_->Current()->version;
  if (membership_->IsReady() && isInForce) {
    SendConfirmation(asOf, aConfirmation.revision, Children());
  }
}

void FollowingService::SendConfirmation(TimePoint aAsOf,
                                        int64_t aRevision,
                                        const std::vector<const Member*>& aTargets)
{
  if (!freshness_.ShouldSend(aAsOf)) {
    return;
  }
  VersionConfirmation confirmation{ context_.settings.id,
                                    releases_->Current()->version,
                                    ToMilliseconds(context_.loop.Now() - aAsOf),
                                    aRevision };
  for (const Member* target : aTargets) {
    datagrams_->Send(EndpointOf(*target), confirmation);
  }
}

std::vector<const Member*> FollowingService::Children() const
{
  return PushTargets(membership_->Table(), membership_->Self(), KnownStoreRegion());
}

std::string FollowingService::KnownStoreRegion() const
{
  return StoreRegion(membership_->Table(), context_.settings.store.region);
}

} // namespace dandelion
