#include "accounts/CapPool.h"

#include <algorithm>
#include <cmath>

namespace dandelion {

namespace {

/// Part of the slack by which buckets may hold more than the burst. Without it, a bucket of a small
/// account could hold less than one token in each region. The rest of the slack covers tokens that
/// are in stock or on their way.
constexpr double kSlackShare = 0.5;
/// Part of the overage by which buckets are refilled faster. It makes up for tokens that expire
/// unused or are lost with an owner. With the rest, calls that passed over up to a second longer
/// than the window may reach upstreams within it.
constexpr double kOverageShare = 0.3;
/// A bucket holds at least one token where this share is pooled. At most four pools are as large.
constexpr double kMinShareForToken = 0.2;
/// Members may be told to wait this long for tokens; the shortest wait grows with the number of
/// members that the owner serves. With 10 ms, an account at 7.5 times its usual rate doubled the
/// number of messages. The tokens of a wait are kept in the bucket.
constexpr Duration kMinWait = milliseconds(50);
constexpr Duration kMinWaitPerMember = milliseconds(1);
constexpr Duration kMaxWait = seconds(1);
/// Time between two requests to the owners of other regions.
constexpr Duration kLoanPeriod = milliseconds(100);
/// An account that sent no calls for this long needs no tokens of another region.
constexpr Duration kDemandMemory = seconds(1);
/// Buckets of accounts that lost their cap are kept for this long, so that a cap that returns does
/// not begin with a full bucket.
constexpr Duration kBucketRetention = seconds(10);
/// The level below which a bucket is filled up from other regions, and above which it lends. Both
/// are the same, so that two owners do not lend each other the same tokens in turn.
constexpr double kLendingLevel = 0.5;
/// The level above which tokens are granted for stocks. It is higher than the lending level, so
/// that stocks do not cause loans.
constexpr double kSpareLevel = 0.75;
/// Rounding errors of sums must not hold back a whole token.
constexpr double kRounding = 1e-9;
/// Ids of requests for loans differ from those that `CapClient` gives to its requests.
constexpr uint64_t kFirstLoanId = uint64_t{ 1 } << 62;
constexpr double kMicrosecondsPerSecond = 1e6;

int64_t WholeTokens(double aLevel)
{
  return std::max<int64_t>(0, static_cast<int64_t>(std::floor(aLevel + kRounding)));
}

/// Time until a bucket that is refilled at this rate has gained the missing tokens.
int64_t WaitMs(double aMissing, double aRatePerS, size_t aMembers)
{
  double waitUs = static_cast<double>(Duration(kMaxWait).count());
  if (aRatePerS > 0) {
    waitUs = std::min(waitUs, aMissing / aRatePerS * kMicrosecondsPerSecond);
  }
  Duration minWait =
    std::clamp<Duration>(kMinWaitPerMember * static_cast<int64_t>(aMembers), kMinWait, kMaxWait);
  Duration wait = std::max(minWait, Duration(static_cast<int64_t>(waitUs)));
  return ToMilliseconds(wait + milliseconds(1) - microseconds(1));
}

} // namespace

CapPool::CapPool(std::string aSelf, const CapTolerance& aTolerance, int64_t aClockOffset)
  : self_(std::move(aSelf))
  , refillFactor_(1 + aTolerance.overage * kOverageShare)
  , extraBurst_(aTolerance.slack * kSlackShare)
  , clockOffset_(aClockOffset)
  , nextId_(kFirstLoanId)
{
}

CapPoolEffects CapPool::Handle(const CapPoolEvent& aEvent, TimePoint aNow)
{
  CapPoolEffects effects;
  std::visit(Overloaded{
               [&](const TokenRequest& aRequest) {
                 if (aRequest.shard >= 0 && aRequest.shard < kCapShards) {
                   effects.emplace_back(SendGrant{ aRequest.sender, Grant(aRequest, aNow) });
                 }
               },
               [&](const GrantArrived& aArrived) { OnLoan(aArrived, aNow); },
               [&](const CapsChanged& aChange) { SetCaps(aChange.caps, aNow); },
               [&](const OwnersChanged& aChange) { owners_ = aChange.owners; },
             },
             aEvent);
  return effects;
}

TokenGrant CapPool::Grant(const TokenRequest& aRequest, TimePoint aNow)
{
  Shard& shard = shards_.at(aRequest.shard);
  Update(shard, aNow);
  if (aRequest.members > 0) {
    Delegate(shard, aRequest, aNow);
  }
  TokenGrant grant;
  grant.id = aRequest.id;
  grant.clockUs = aNow.time_since_epoch().count() + clockOffset_;
  for (const TokensWanted& wanted : aRequest.wanted) {
    grant.granted.push_back(Take(shard, wanted, aRequest.isLoan, aNow));
  }
  return grant;
}

void CapPool::Delegate(Shard& aShard, const TokenRequest& aRequest, TimePoint aNow)
{
  TimePoint echo{ Duration(aRequest.echoUs - clockOffset_) };
  Duration term =
    std::clamp<Duration>(milliseconds(aRequest.termMs), Duration::zero(), kMaxDelegationTerm);
  // A reading that is later than now is not of this process.
  if (aRequest.echoUs == 0 || echo > aNow || aNow - echo >= term) {
    return;
  }
  Delegation& delegation = aShard.delegations[aRequest.sender];
  delegation.until = std::max(delegation.until, echo + term);
  aShard.earliestEnd = std::min(aShard.earliestEnd, delegation.until);
  if (delegation.members != aRequest.members) {
    delegation.members = aRequest.members;
    SetShare(aShard);
  }
}

TokensGranted CapPool::Take(Shard& aShard,
                            const TokensWanted& aWanted,
                            bool aIsLoan,
                            TimePoint aNow)
{
  TokensGranted granted{ aWanted.account, 0, 0 };
  auto found = aShard.buckets.find(aWanted.account);
  if (found == aShard.buckets.end()) {
    // This node may have another version of the configuration than the sender.
    granted.waitMs = WaitMs(1, 0, 0);
    return granted;
  }
  Bucket& bucket = found->second;
  Refill(aShard, bucket);
  if (aWanted.tokens > 0) {
    bucket.lastWanted = aNow;
    aShard.lastWanted = aNow;
  }
  double kept = (aIsLoan ? kLendingLevel : kSpareLevel) * Capacity(aShard, bucket);
  int64_t tokens = std::clamp<int64_t>(aWanted.tokens, 0, WholeTokens(bucket.level));
  bucket.level -= static_cast<double>(tokens);
  int64_t spare = std::clamp<int64_t>(aWanted.spare, 0, WholeTokens(bucket.level - kept));
  bucket.level -= static_cast<double>(spare);
  granted.tokens = tokens + spare;
  double rate = bucket.cap.ratePerS * aShard.share;
  size_t members = aShard.delegations.size();
  if (tokens < aWanted.tokens) {
    granted.waitMs = WaitMs(1 - bucket.level, rate, members);
  } else if (spare < aWanted.spare) {
    granted.waitMs = WaitMs(kept + 1 - bucket.level, rate, members);
  }
  return granted;
}

CapPoolEffects CapPool::Advance(TimePoint aNow)
{
  for (auto loan = loans_.begin(); loan != loans_.end();) {
    loan = aNow - loan->second.askedAt > kTokenLife ? loans_.erase(loan) : std::next(loan);
  }
  CapPoolEffects effects;
  for (int64_t index = 0; index < kCapShards; ++index) {
    Shard& shard = shards_.at(index);
    Update(shard, aNow);
    if (shard.nextLoan > aNow) {
      continue;
    }
    // Also without demand: `NextAdvance` must not name a time in the past again.
    shard.nextLoan = aNow + kLoanPeriod;
    if (shard.share > 0 && aNow - shard.lastWanted <= kDemandMemory) {
      std::optional<SendRequest> request = AskForLoan(index, aNow);
      if (request.has_value()) {
        effects.emplace_back(*std::move(request));
      }
    }
  }
  return effects;
}

std::optional<TimePoint> CapPool::NextAdvance() const
{
  std::optional<TimePoint> next;
  for (int64_t index = 0; index < kCapShards; ++index) {
    const Shard& shard = shards_.at(index);
    bool hasDemand = shard.share > 0 && shard.nextLoan <= shard.lastWanted + kDemandMemory;
    if (hasDemand && !owners_.inOtherRegions.at(index).empty()) {
      next = std::min(next.value_or(shard.nextLoan), shard.nextLoan);
    }
  }
  return next;
}

std::optional<SendRequest> CapPool::AskForLoan(int64_t aIndex, TimePoint aNow)
{
  Shard& shard = shards_.at(aIndex);
  const std::vector<std::string>& lenders = owners_.inOtherRegions.at(aIndex);
  TokenRequest request;
  for (auto& [account, bucket] : shard.buckets) {
    if (aNow - bucket.lastWanted > kDemandMemory || aNow < bucket.nextLoan) {
      continue;
    }
    Refill(shard, bucket);
    double capacity = Capacity(shard, bucket);
    int64_t missing = WholeTokens(capacity - bucket.level);
    if (bucket.level < kLendingLevel * capacity && missing > 0) {
      request.wanted.push_back(TokensWanted{ account, 0, missing });
    }
  }
  if (request.wanted.empty() || lenders.empty()) {
    return std::nullopt;
  }
  request.id = nextId_++;
  request.sender = self_;
  request.shard = aIndex;
  request.isLoan = true;
  const std::string& lender = lenders.at(shard.nextLender++ % lenders.size());
  loans_[request.id] = Loan{ aIndex, lender, aNow };
  return SendRequest{ lender, std::move(request) };
}

void CapPool::OnLoan(const GrantArrived& aArrived, TimePoint aNow)
{
  auto found = loans_.find(aArrived.grant.id);
  // A duplicate is ignored, and so is a grant that was on its way for long: many late ones together
  // could exceed a cap.
  if (found == loans_.end() || found->second.lender != aArrived.sender) {
    return;
  }
  Loan loan = found->second;
  loans_.erase(found);
  if (aNow - loan.askedAt > kTokenLife) {
    return;
  }
  Shard& shard = shards_.at(loan.shard);
  Update(shard, aNow);
  size_t lenders = std::max<size_t>(1, owners_.inOtherRegions.at(loan.shard).size());
  for (const TokensGranted& granted : aArrived.grant.granted) {
    auto bucket = shard.buckets.find(granted.account);
    if (bucket == shard.buckets.end()) {
      continue;
    }
    Refill(shard, bucket->second);
    double tokens = static_cast<double>(std::max<int64_t>(0, granted.tokens));
    bucket->second.level = std::min(Capacity(shard, bucket->second), bucket->second.level + tokens);
    // With several other regions, the next one is asked without a wait.
    if (granted.tokens <= 0 && shard.nextLender % lenders == 0) {
      bucket->second.nextLoan = aNow + milliseconds(std::max<int64_t>(0, granted.waitMs));
    }
  }
}

void CapPool::SetCaps(const UsageCaps& aCaps, TimePoint aNow)
{
  for (Shard& shard : shards_) {
    Update(shard, aNow);
    for (auto found = shard.buckets.begin(); found != shard.buckets.end();) {
      Bucket& bucket = found->second;
      Refill(shard, bucket);
      bool isRemoved = aCaps.count(found->first) == 0;
      if (isRemoved) {
        bucket.cap = UsageCap();
      }
      bool isForgotten = isRemoved && aNow - bucket.lastWanted > kBucketRetention;
      found = isForgotten ? shard.buckets.erase(found) : std::next(found);
    }
  }
  for (const auto& [account, cap] : aCaps) {
    Shard& shard = shards_.at(ShardOf(account));
    auto [found, isNew] = shard.buckets.try_emplace(account);
    Bucket& bucket = found->second;
    bucket.cap = cap;
    bucket.shareSeconds = shard.shareSeconds;
    double capacity = Capacity(shard, bucket);
    bucket.level = isNew ? capacity : std::min(capacity, bucket.level);
  }
}

double CapPool::ShareOf(int64_t aShard, TimePoint aNow)
{
  Update(shards_.at(aShard), aNow);
  return shards_.at(aShard).share;
}

void CapPool::Update(Shard& aShard, TimePoint aNow)
{
  while (aShard.earliestEnd <= aNow) {
    auto first = std::min_element(
      aShard.delegations.begin(), aShard.delegations.end(), [](const auto& aA, const auto& aB) {
        return aA.second.until < aB.second.until;
      });
    if (first == aShard.delegations.end()) {
      aShard.earliestEnd = TimePoint::max();
      break;
    }
    aShard.earliestEnd = first->second.until;
    if (aShard.earliestEnd <= aNow) {
      Accrue(aShard, aShard.earliestEnd);
      aShard.delegations.erase(first);
      SetShare(aShard);
    }
  }
  Accrue(aShard, aNow);
}

void CapPool::Accrue(Shard& aShard, TimePoint aUntil)
{
  if (aUntil > aShard.at) {
    double elapsed = std::chrono::duration<double>(aUntil - aShard.at).count();
    aShard.shareSeconds += aShard.share * elapsed;
    aShard.at = aUntil;
  }
}

void CapPool::SetShare(Shard& aShard)
{
  double before = aShard.share;
  for (auto& [account, bucket] : aShard.buckets) {
    Refill(aShard, bucket);
  }
  aShard.share = 0;
  for (const auto& [member, delegation] : aShard.delegations) {
    aShard.share += 1.0 / static_cast<double>(delegation.members);
  }
  // While a mesh starts, its nodes know few members and take their shares for larger than they are.
  aShard.share = std::min(1.0, aShard.share);
  if (aShard.share >= before) {
    return;
  }
  // A share that returns to its member takes its part of the buckets along.
  for (auto& [account, bucket] : aShard.buckets) {
    bucket.level = std::min(bucket.level, Capacity(aShard, bucket));
  }
}

void CapPool::Refill(const Shard& aShard, Bucket& aBucket) const
{
  double rate = aBucket.cap.ratePerS * refillFactor_;
  double refill = rate * (aShard.shareSeconds - aBucket.shareSeconds);
  aBucket.shareSeconds = aShard.shareSeconds;
  aBucket.level = std::min(Capacity(aShard, aBucket), aBucket.level + refill);
}

double CapPool::Capacity(const Shard& aShard, const Bucket& aBucket) const
{
  if (aBucket.cap.ratePerS <= 0) {
    return 0;
  }
  double capacity = aShard.share * (aBucket.cap.burst + extraBurst_);
  return aShard.share >= kMinShareForToken ? std::max(1.0, capacity) : capacity;
}

} // namespace dandelion
