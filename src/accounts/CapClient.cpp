#include "accounts/CapClient.h"

#include <algorithm>
#include <cmath>

namespace dandelion {

namespace {

/// What is wanted within this time is sent in one request.
constexpr Duration kBatchTime = milliseconds(1);
/// The same for tokens that no call waits for yet.
constexpr Duration kSpareBatchTime = milliseconds(10);
/// An owner that has not answered for this long is avoided, and its shard goes to the next member
/// in rank. On a machine with 0.1 cores a process may be stopped for up to 90 ms at a time.
constexpr Duration kOwnerTimeout = milliseconds(100);
constexpr Duration kAvoidTime = seconds(2);
/// Delegations of nodes with demand are short, so that little is lost with an owner. They are
/// longer at other nodes, which saves messages.
constexpr Duration kActiveTerm = milliseconds(500);
constexpr Duration kActiveRenewal = milliseconds(200);
constexpr Duration kIdleTerm = kMaxDelegationTerm;
constexpr Duration kIdleRenewal = milliseconds(400);
constexpr Duration kActiveTime = seconds(1);
/// A node keeps as many spare tokens as it is expected to use in this time, which is less than
/// their life. It asks for them when this part of them is left.
constexpr Duration kSpareTime = milliseconds(200);
constexpr int64_t kSpareRefillDivisor = 4;
constexpr int64_t kMaxSpare = 1000;
/// Time over which the use of an account is averaged.
constexpr Duration kUseMemory = seconds(1);
/// After a refusal of spare tokens the account is near its cap, where stocks only waste tokens.
constexpr Duration kSpareRefusalTime = milliseconds(200);
/// The wait stated to calls whose owner does not answer.
constexpr Duration kSilentOwnerWait = milliseconds(100);
constexpr Duration kForgetPeriod = seconds(2);
/// Readings of one clock do not jump by this much between two grants.
constexpr int64_t kMaxClockStepUs = Duration(seconds(10)).count();

double SecondsOf(Duration aTime)
{
  return std::chrono::duration<double>(aTime).count();
}

} // namespace

CapClient::CapClient(std::string aSelf)
  : self_(std::move(aSelf))
{
}

CapClientEffects CapClient::Handle(const CapClientEvent& aEvent, TimePoint aNow)
{
  CapClientEffects effects;
  std::visit(
    Overloaded{
      [&](const TokenWanted& aWanted) { OnWanted(aWanted, aNow, effects); },
      [&](const TokenReturned& aReturned) { OnReturned(aReturned.account, aNow, effects); },
      [&](const GrantArrived& aArrived) { OnGrant(aArrived, aNow, effects); },
      [&](const CapsChanged& aChange) { OnCaps(aChange.caps, effects); },
      [&](const OwnersChanged& aChange) { OnOwners(aChange, aNow); },
    },
    aEvent);
  return effects;
}

void CapClient::OnWanted(const TokenWanted& aWanted, TimePoint aNow, CapClientEffects& aEffects)
{
  if (caps_.count(aWanted.account) == 0) {
    aEffects.emplace_back(AnswerTaker{ aWanted.taker, true });
    return;
  }
  Account& account = accounts_[aWanted.account];
  shards_.at(ShardOf(aWanted.account)).lastDemand = aNow;
  if (account.waiting.empty() && TakeFromStock(account, aNow)) {
    aEffects.emplace_back(AnswerTaker{ aWanted.taker, true });
    CountUse(account, aNow);
    int64_t target = SpareTarget(account, aNow);
    bool isLow = InStock(account) + account.spareAsked <= target / kSpareRefillDivisor;
    if (target > 0 && isLow && account.spareRefusedUntil <= aNow) {
      Ask(aWanted.account, kSpareBatchTime, aNow);
    }
    return;
  }
  if (aNow < account.refusedUntil) {
    aEffects.emplace_back(AnswerTaker{ aWanted.taker, false, account.refusedUntil - aNow });
    return;
  }
  account.waiting.push_back(Waiting{ aWanted.taker, aNow + kTokenTimeout });
  bool isOwner = PreferredOwner(ShardOf(aWanted.account), aNow) == self_;
  Ask(aWanted.account, isOwner ? Duration::zero() : kBatchTime, aNow);
}

void CapClient::OnReturned(const std::string& aAccount, TimePoint aNow, CapClientEffects& aEffects)
{
  if (caps_.count(aAccount) > 0) {
    Account& account = accounts_[aAccount];
    account.stock.push_back(Stock{ aNow + kTokenLife, 1 });
    ServeWaiting(account, aNow, aEffects);
  }
}

void CapClient::OnGrant(const GrantArrived& aArrived, TimePoint aNow, CapClientEffects& aEffects)
{
  Owner& owner = ownerStates_[aArrived.sender];
  owner.avoidedUntil = aNow;
  int64_t step = aArrived.grant.clockUs - owner.echoUs;
  bool isOtherClock = owner.echoUs == 0 || step > kMaxClockStepUs || step < -kMaxClockStepUs;
  owner.echoUs = aArrived.grant.clockUs;
  auto found = requests_.find(aArrived.grant.id);
  if (found == requests_.end() || found->second.owner != aArrived.sender) {
    return;
  }
  Request request = std::move(found->second);
  requests_.erase(found);
  Release(request);
  if (isOtherClock) {
    // The owner counts the delegation only after the next request, which has a reading of its
    // clock.
    Shard& shard = shards_.at(request.shard);
    shard.renewAt = aNow;
    shard.sendAt = std::min(shard.sendAt, aNow);
  }
  for (const TokensGranted& granted : aArrived.grant.granted) {
    TakeGranted(granted, request, aNow, aEffects);
  }
}

void CapClient::TakeGranted(const TokensGranted& aGranted,
                            const Request& aRequest,
                            TimePoint aNow,
                            CapClientEffects& aEffects)
{
  auto found = accounts_.find(aGranted.account);
  auto wanted =
    std::find_if(aRequest.wanted.begin(), aRequest.wanted.end(), [&](const TokensWanted& aWanted) {
      return aWanted.account == aGranted.account;
    });
  if (found == accounts_.end() || wanted == aRequest.wanted.end()) {
    return;
  }
  Account& account = found->second;
  TimePoint expiresAt = aRequest.sentAt + kTokenLife;
  int64_t tokens = std::min(aGranted.tokens, wanted->tokens + wanted->spare);
  if (tokens > 0 && aNow < expiresAt) {
    account.stock.push_back(Stock{ expiresAt, tokens });
  }
  ServeWaiting(account, aNow, aEffects);
  if (tokens < wanted->tokens + wanted->spare) {
    account.spareRefusedUntil = aNow + kSpareRefusalTime;
  }
  if (tokens < wanted->tokens) {
    Duration wait =
      milliseconds(std::clamp<int64_t>(aGranted.waitMs, 1, ToMilliseconds(kActiveTime)));
    account.refusedUntil = aNow + wait;
    for (const Waiting& waiting : account.waiting) {
      aEffects.emplace_back(AnswerTaker{ waiting.taker, false, wait });
    }
    account.waiting.clear();
  } else if (static_cast<int64_t>(account.waiting.size()) > account.asked) {
    Ask(aGranted.account, kBatchTime, aNow);
  }
}

void CapClient::OnCaps(const UsageCaps& aCaps, CapClientEffects& aEffects)
{
  caps_ = aCaps;
  for (Shard& shard : shards_) {
    shard.hasCaps = false;
  }
  for (const auto& [name, cap] : caps_) {
    shards_.at(ShardOf(name)).hasCaps = true;
  }
  for (auto& [name, account] : accounts_) {
    account.refusedUntil = TimePoint();
    if (caps_.count(name) == 0) {
      for (const Waiting& waiting : account.waiting) {
        aEffects.emplace_back(AnswerTaker{ waiting.taker, true });
      }
      account.waiting.clear();
    }
  }
}

void CapClient::OnOwners(const OwnersChanged& aChange, TimePoint aNow)
{
  owners_ = aChange.owners;
  members_ = std::max<int64_t>(1, aChange.members);
  for (int64_t index = 0; index < kCapShards; ++index) {
    Shard& shard = shards_.at(index);
    bool isOtherOwner = shard.holder != PreferredOwner(index, aNow);
    if (shard.hasCaps && isOtherOwner) {
      shard.renewAt = std::min(shard.renewAt, std::max(aNow, shard.freeAt));
    }
  }
}

CapClientEffects CapClient::Advance(TimePoint aNow)
{
  CapClientEffects effects;
  ExpireRequests(aNow);
  RefuseExpired(aNow, effects);
  SendDue(aNow, effects);
  ForgetIdle(aNow);
  return effects;
}

std::optional<TimePoint> CapClient::NextAdvance() const
{
  std::optional<TimePoint> next;
  auto add = [&](TimePoint aTime) { next = std::min(next.value_or(aTime), aTime); };
  for (const Shard& shard : shards_) {
    if (shard.hasCaps) {
      add(std::min(shard.sendAt, shard.renewAt));
    }
  }
  if (!requests_.empty()) {
    add(requests_.begin()->second.deadline);
  }
  for (const auto& [name, account] : accounts_) {
    if (!account.waiting.empty()) {
      add(account.waiting.front().until);
    }
  }
  return next;
}

void CapClient::ExpireRequests(TimePoint aNow)
{
  // If this process was stopped itself, the answers may have arrived unread. Every request then has
  // the time of a late timer to be answered.
  if (!requests_.empty()) {
    Duration late = aNow - requests_.begin()->second.deadline;
    if (late > kTokenTimeout) {
      for (auto& [id, request] : requests_) {
        request.deadline = std::max(request.deadline, aNow + kTokenTimeout);
      }
    }
  }
  while (!requests_.empty() && requests_.begin()->second.deadline <= aNow) {
    Request request = std::move(requests_.begin()->second);
    requests_.erase(requests_.begin());
    Release(request);
    ownerStates_[request.owner].avoidedUntil = aNow + kAvoidTime;
    Shard& shard = shards_.at(request.shard);
    if (shard.holder == request.owner) {
      shard.renewAt = std::max(aNow, shard.freeAt);
    }
  }
}

void CapClient::RefuseExpired(TimePoint aNow, CapClientEffects& aEffects)
{
  for (auto& [name, account] : accounts_) {
    while (!account.waiting.empty() && account.waiting.front().until <= aNow) {
      aEffects.emplace_back(AnswerTaker{ account.waiting.front().taker, false, kSilentOwnerWait });
      account.waiting.pop_front();
    }
  }
}

void CapClient::ForgetIdle(TimePoint aNow)
{
  if (aNow < nextForget_) {
    return;
  }
  nextForget_ = aNow + kForgetPeriod;
  for (auto found = accounts_.begin(); found != accounts_.end();) {
    Account& account = found->second;
    while (!account.stock.empty() && account.stock.front().expiresAt <= aNow) {
      account.stock.pop_front();
    }
    bool isIdle = account.stock.empty() && account.waiting.empty() && account.asked == 0 &&
                  account.spareAsked == 0 && account.refusedUntil <= aNow &&
                  aNow - account.lastUse > kForgetPeriod;
    found = isIdle ? accounts_.erase(found) : std::next(found);
  }
}

void CapClient::Ask(const std::string& aAccount, Duration aDelay, TimePoint aNow)
{
  Shard& shard = shards_.at(ShardOf(aAccount));
  shard.changedAccounts.insert(aAccount);
  shard.sendAt = std::min(shard.sendAt, aNow + aDelay);
}

void CapClient::SendDue(TimePoint aNow, CapClientEffects& aEffects)
{
  for (int64_t index = 0; index < kCapShards; ++index) {
    Shard& shard = shards_.at(index);
    if (shard.hasCaps && (shard.sendAt <= aNow || shard.renewAt <= aNow)) {
      SendRequest send = MakeRequest(index, aNow);
      bool delegates = send.request.members > 0;
      if (delegates || !send.request.wanted.empty()) {
        aEffects.emplace_back(std::move(send));
      }
    }
  }
}

SendRequest CapClient::MakeRequest(int64_t aIndex, TimePoint aNow)
{
  Shard& shard = shards_.at(aIndex);
  bool isActive = aNow - shard.lastDemand <= kActiveTime;
  Duration term = isActive ? kActiveTerm : kIdleTerm;
  std::string owner = PreferredOwner(aIndex, aNow);
  SendRequest send;
  TokenRequest& request = send.request;
  // The share may be delegated to another member only when the holder's use of it has ended. Until
  // then a holder that answers is still the best source of tokens.
  if (owner == shard.holder || aNow >= shard.freeAt) {
    shard.holder = owner;
    shard.freeAt = std::max(shard.freeAt, aNow + term);
    shard.renewAt = aNow + (isActive ? kActiveRenewal : kIdleRenewal);
    request.members = members_;
  } else {
    shard.renewAt = shard.freeAt;
    owner = IsAvoided(shard.holder, aNow) ? owner : shard.holder;
  }
  shard.sendAt = TimePoint::max();
  request.id = nextId_++;
  request.sender = self_;
  request.shard = aIndex;
  request.termMs = ToMilliseconds(term);
  request.echoUs = ownerStates_[owner].echoUs;
  request.wanted = WantedOf(shard, aNow);
  if (request.members > 0 || !request.wanted.empty()) {
    requests_[request.id] = Request{ aIndex, owner, aNow, aNow + kOwnerTimeout, request.wanted };
  }
  send.member = owner;
  return send;
}

std::vector<TokensWanted> CapClient::WantedOf(Shard& aShard, TimePoint aNow)
{
  std::vector<TokensWanted> wanted;
  for (const std::string& name : aShard.changedAccounts) {
    auto found = accounts_.find(name);
    if (found == accounts_.end()) {
      continue;
    }
    Account& account = found->second;
    TokensWanted entry{ name, 0, 0 };
    entry.tokens =
      std::max<int64_t>(0, static_cast<int64_t>(account.waiting.size()) - account.asked);
    if (account.spareRefusedUntil <= aNow) {
      int64_t kept = InStock(account) + account.spareAsked;
      entry.spare = std::max<int64_t>(0, SpareTarget(account, aNow) - kept);
    }
    if (entry.tokens > 0 || entry.spare > 0) {
      account.asked += entry.tokens;
      account.spareAsked += entry.spare;
      wanted.push_back(std::move(entry));
    }
  }
  aShard.changedAccounts.clear();
  return wanted;
}

void CapClient::Release(const Request& aRequest)
{
  for (const TokensWanted& wanted : aRequest.wanted) {
    auto found = accounts_.find(wanted.account);
    if (found != accounts_.end()) {
      found->second.asked -= wanted.tokens;
      found->second.spareAsked -= wanted.spare;
    }
  }
}

const std::string& CapClient::PreferredOwner(int64_t aIndex, TimePoint aNow) const
{
  for (const std::string& member : owners_.inRegion.at(aIndex)) {
    if (!IsAvoided(member, aNow)) {
      return member;
    }
  }
  return self_;
}

bool CapClient::IsAvoided(const std::string& aMember, TimePoint aNow) const
{
  auto found = ownerStates_.find(aMember);
  return found != ownerStates_.end() && aNow < found->second.avoidedUntil;
}

void CapClient::ServeWaiting(Account& aAccount, TimePoint aNow, CapClientEffects& aEffects)
{
  while (!aAccount.waiting.empty() && TakeFromStock(aAccount, aNow)) {
    aEffects.emplace_back(AnswerTaker{ aAccount.waiting.front().taker, true });
    aAccount.waiting.pop_front();
    CountUse(aAccount, aNow);
  }
}

bool CapClient::TakeFromStock(Account& aAccount, TimePoint aNow)
{
  while (!aAccount.stock.empty()) {
    Stock& first = aAccount.stock.front();
    if (first.expiresAt > aNow && first.tokens > 0) {
      --first.tokens;
      return true;
    }
    aAccount.stock.pop_front();
  }
  return false;
}

int64_t CapClient::InStock(const Account& aAccount)
{
  int64_t tokens = 0;
  for (const Stock& stock : aAccount.stock) {
    tokens += stock.tokens;
  }
  return tokens;
}

int64_t CapClient::SpareTarget(const Account& aAccount, TimePoint aNow)
{
  double uses = UsesPerS(aAccount, aNow) * SecondsOf(kSpareTime);
  return std::min(kMaxSpare, static_cast<int64_t>(std::lround(uses)));
}

void CapClient::CountUse(Account& aAccount, TimePoint aNow)
{
  aAccount.usesPerS = UsesPerS(aAccount, aNow) + 1 / SecondsOf(kUseMemory);
  aAccount.lastUse = aNow;
}

double CapClient::UsesPerS(const Account& aAccount, TimePoint aNow)
{
  return aAccount.usesPerS * std::exp(-SecondsOf(aNow - aAccount.lastUse) / SecondsOf(kUseMemory));
}

} // namespace dandelion
