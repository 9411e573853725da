#include "dandeliond/AccountCapsService.h"

#include "absl/strings/str_join.h"

namespace dandelion {

namespace {

/// The owners are chosen again this often, and this soon after a change of the members.
constexpr Duration kOwnersPeriod = seconds(1);
constexpr Duration kOwnersDelay = milliseconds(50);
/// Range of the random offset of the clock readings that are sent to members.
constexpr uint64_t kMaxClockOffsetUs = uint64_t{ 1 } << 50;

CapTolerance ToleranceOf(const std::optional<CapSettings>& aSettings)
{
  return aSettings.has_value() ? CapTolerance{ aSettings->overage, aSettings->slack }
                               : CapTolerance();
}

MetricLabel AccountLabel(const std::string& aAccount)
{
  return fmt::format("account=\"{}\"", aAccount);
}

} // namespace

AccountCapsService::AccountCapsService(const NodeContext& aContext, uint64_t aSeed)
  : context_(aContext)
  , client_(aContext.settings.id)
  , pool_(aContext.settings.id,
          ToleranceOf(aContext.settings.caps),
          static_cast<int64_t>(HashBytes(aContext.settings.id, aSeed) % kMaxClockOffsetUs))
{
}

absl::Status AccountCapsService::Start()
{
  Registry& registry = context_.registry;
  links_ = &registry.Find<Links>(ServiceName::Links);
  membership_ = &registry.Find<Membership>(ServiceName::Membership);
  releases_ = &registry.Find<Releases>(ServiceName::Releases);
  metrics_ = &registry.Find<Metrics>(ServiceName::Metrics);
  if (!context_.settings.caps.has_value()) {
    return absl::OkStatus();
  }
  links_->AddHandler(*this);
  releases_->AddListener([this] { OnConfiguration(); });
  membership_->AddListener([this] {
    if (!hasOwners_) {
      UpdateOwners();
    }
    // Members change in quick succession while a mesh starts or a zone is lost.
    if (!ownersTimer_.IsPending()) {
      ownersTimer_ = context_.loop.After(kOwnersDelay, [this] { UpdateOwners(); });
    }
  });
  OnConfiguration();
  return absl::OkStatus();
}

void AccountCapsService::Stop()
{
  advanceTimer_.Cancel();
  ownersTimer_.Cancel();
  takers_.clear();
}

bool AccountCapsService::IsEnforcing() const
{
  return hasOwners_ && !caps_.empty();
}

void AccountCapsService::TryTake(const std::string& aAccount, OnToken aDone)
{
  if (!IsEnforcing() || caps_.count(aAccount) == 0) {
    aDone(true, Duration::zero());
    return;
  }
  uint64_t taker = nextTaker_++;
  takers_[taker] = Taker{ aAccount, std::move(aDone) };
  Execute(client_.Handle(TokenWanted{ aAccount, taker }, context_.loop.Now()));
  ScheduleAdvance();
}

void AccountCapsService::Return(const std::string& aAccount)
{
  if (IsEnforcing() && caps_.count(aAccount) > 0) {
    metrics_->Count(CounterName::CapTokensReturned, AccountLabel(aAccount));
    Execute(client_.Handle(TokenReturned{ aAccount }, context_.loop.Now()));
    ScheduleAdvance();
  }
}

void AccountCapsService::OnConfiguration()
{
  caps_ = CapsOf(*releases_->Current());
  TimePoint now = context_.loop.Now();
  Execute(client_.Handle(CapsChanged{ caps_ }, now));
  Execute(pool_.Handle(CapsChanged{ caps_ }, now), std::nullopt);
  UpdateOwners();
}

void AccountCapsService::UpdateOwners()
{
  ownersTimer_ = context_.loop.After(kOwnersPeriod, [this] { UpdateOwners(); });
  // Before the node has joined, it does not know how large its share is.
  if (caps_.empty() || !membership_->IsReady()) {
    return;
  }
  TimePoint now = context_.loop.Now();
  OwnersChanged change{ FindCapOwners(membership_->Table(), context_.settings.region),
                        members_.Count(membership_->Table(), now) };
  std::vector<std::string> first;
  for (const std::vector<std::string>& ranked : change.owners.inRegion) {
    first.push_back(ranked.empty() ? context_.settings.id : ranked.front());
  }
  std::string owners = absl::StrJoin(first, ", ");
  if (owners != loggedOwners_) {
    loggedOwners_ = owners;
    Log(LogPart::Accounts,
        LogLevel::Info,
        "Quotas of {} accounts are shared by {} members; owners of the shards: {}.",
        caps_.size(),
        change.members,
        owners);
  }
  hasOwners_ = true;
  Execute(client_.Handle(change, now));
  Execute(pool_.Handle(change, now), std::nullopt);
  ScheduleAdvance();
}

void AccountCapsService::Advance()
{
  advanceTimer_.Cancel();
  TimePoint now = context_.loop.Now();
  Execute(client_.Advance(now));
  Execute(pool_.Advance(now), std::nullopt);
  ScheduleAdvance();
}

void AccountCapsService::ScheduleAdvance()
{
  if (!IsEnforcing()) {
    advanceTimer_.Cancel();
    return;
  }
  std::optional<TimePoint> next = client_.NextAdvance();
  std::optional<TimePoint> poolNext = pool_.NextAdvance();
  if (poolNext.has_value()) {
    next = std::min(next.value_or(*poolNext), *poolNext);
  }
  if (!next.has_value()) {
    advanceTimer_.Cancel();
    return;
  }
  if (advanceTimer_.IsPending() && *next == advanceAt_) {
    return;
  }
  advanceAt_ = *next;
  Duration delay = std::max<Duration>(Duration::zero(), *next - context_.loop.Now());
  advanceTimer_ = context_.loop.After(delay, [this] { Advance(); });
}

void AccountCapsService::Execute(const CapClientEffects& aEffects)
{
  for (const CapClientEffect& effect : aEffects) {
    std::visit(Overloaded{
                 [this](const AnswerTaker& aAnswer) { AnswerCall(aAnswer); },
                 [this](const SendRequest& aSend) { SendTo(aSend); },
               },
               effect);
  }
}

void AccountCapsService::Execute(const CapPoolEffects& aEffects, std::optional<LinkId> aLink)
{
  for (const CapPoolEffect& effect : aEffects) {
    std::visit(Overloaded{
                 [&](const SendGrant& aSend) {
                   if (aLink.has_value()) {
                     links_->Send(*aLink, aSend.grant);
                   } else {
                     OnGrant(context_.settings.id, aSend.grant);
                   }
                 },
                 [&](const SendRequest& aSend) { SendTo(aSend); },
               },
               effect);
  }
}

void AccountCapsService::AnswerCall(const AnswerTaker& aAnswer)
{
  auto found = takers_.find(aAnswer.taker);
  if (found == takers_.end()) {
    return;
  }
  Taker taker = std::move(found->second);
  takers_.erase(found);
  metrics_->Count(aAnswer.isTaken ? CounterName::CapTokensTaken : CounterName::CapRefusals,
                  AccountLabel(taker.account));
  taker.done(aAnswer.isTaken, aAnswer.wait);
}

void AccountCapsService::SendTo(const SendRequest& aSend)
{
  if (aSend.member == context_.settings.id) {
    Execute(pool_.Handle(aSend.request, context_.loop.Now()), std::nullopt);
    return;
  }
  const Member* member = membership_->Table().Find(aSend.member);
  if (member == nullptr) {
    return;
  }
  metrics_->Count(CounterName::CapRequests);
  LinkId link = links_->Open(EndpointFrom(context_.settings.region, *member), Lane::Control);
  memberOfLink_[link] = aSend.member;
  links_->AwaitAnswer(link);
  links_->Send(link, aSend.request);
}

void AccountCapsService::OnGrant(const std::string& aMember, const TokenGrant& aGrant)
{
  GrantArrived arrived{ aMember, aGrant };
  TimePoint now = context_.loop.Now();
  Execute(client_.Handle(arrived, now));
  Execute(pool_.Handle(arrived, now), std::nullopt);
}

void AccountCapsService::OnLinkMessage(LinkId aLink, const LinkMessage& aMessage)
{
  std::visit(Overloaded{
               [&](const TokenRequest& aRequest) {
                 Execute(pool_.Handle(aRequest, context_.loop.Now()), aLink);
                 ScheduleAdvance();
               },
               [&](const TokenGrant& aGrant) {
                 auto member = memberOfLink_.find(aLink);
                 if (member != memberOfLink_.end()) {
                   links_->AnswerReceived(aLink);
                   OnGrant(std::string(member->second), aGrant);
                   ScheduleAdvance();
                 }
               },
               [](const auto&) {},
             },
             aMessage);
}

void AccountCapsService::OnLinkClosed(LinkId aLink, const std::vector<LinkMessage>& /* aUnsent */)
{
  memberOfLink_.erase(aLink);
}

} // namespace dandelion
