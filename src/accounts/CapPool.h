/// The owner's side of quotas: pools the shares of the caps that members have delegated to this
/// node, and grants tokens for calls.
#ifndef DANDELION_ACCOUNTS_CAP_POOL_H
#define DANDELION_ACCOUNTS_CAP_POOL_H

#include "accounts/CapMessages.h"
#include "accounts/CapShards.h"

#include <optional>
#include <variant>

namespace dandelion {

/// The caps of the configuration have changed.
struct CapsChanged
{
  UsageCaps caps;
};

/// The table of members has changed.
struct OwnersChanged
{
  CapOwners owners;
  /// Number of members that have a share, this node included.
  int64_t members = 1;
};

/// A member has sent a grant.
struct GrantArrived
{
  std::string sender;
  TokenGrant grant;
};

using CapPoolEvent = std::variant<TokenRequest, GrantArrived, CapsChanged, OwnersChanged>;

/// Answer a request of a member.
struct SendGrant
{
  std::string member;
  TokenGrant grant;
};

/// Ask a member for tokens.
struct SendRequest
{
  std::string member;
  TokenRequest request;
};

using CapPoolEffect = std::variant<SendGrant, SendRequest>;
using CapPoolEffects = std::vector<CapPoolEffect>;

/// The longest delegation that is accepted.
constexpr Duration kMaxDelegationTerm = seconds(1);
/// Tokens that have not been used this long after the request for them expire.
constexpr Duration kTokenLife = milliseconds(250);

class CapPool
{
public:
  /// A part of the tolerance is given to the buckets. `aClockOffset` is added to the readings of
  /// the clock that are sent to members.
  CapPool(std::string aSelf, const CapTolerance& aTolerance, int64_t aClockOffset);

  CapPoolEffects Handle(const CapPoolEvent& aEvent, TimePoint aNow);
  /// Asks the owners of other regions for tokens that they do not use.
  CapPoolEffects Advance(TimePoint aNow);
  /// When `Advance` is due; nothing if no account needs it.
  std::optional<TimePoint> NextAdvance() const;

  /// The sum of the shares that are delegated to this node.
  double ShareOf(int64_t aShard, TimePoint aNow);

private:
  struct Delegation
  {
    TimePoint until;
    int64_t members = 0;
  };
  struct Bucket
  {
    UsageCap cap;
    double level = 0;
    /// `Shard::shareSeconds` up to which the level includes the refill.
    double shareSeconds = 0;
    TimePoint lastWanted;
    /// The lender has no tokens before.
    TimePoint nextLoan;
  };
  struct Shard
  {
    std::map<std::string, Delegation> delegations;
    /// A time before which no delegation ends.
    TimePoint earliestEnd = TimePoint::max();
    double share = 0;
    /// Integral of the share over time, up to `at`. An account's refill is its rate times this.
    double shareSeconds = 0;
    TimePoint at;
    std::map<std::string, Bucket> buckets;
    TimePoint lastWanted;
    TimePoint nextLoan;
    size_t nextLender = 0;
  };
  struct Loan
  {
    int64_t shard = 0;
    std::string lender;
    TimePoint askedAt;
  };

  TokenGrant Grant(const TokenRequest& aRequest, TimePoint aNow);
  void Delegate(Shard& aShard, const TokenRequest& aRequest, TimePoint aNow);
  TokensGranted Take(Shard& aShard, const TokensWanted& aWanted, bool aIsLoan, TimePoint aNow);
  std::optional<SendRequest> AskForLoan(int64_t aIndex, TimePoint aNow);
  void OnLoan(const GrantArrived& aArrived, TimePoint aNow);
  void SetCaps(const UsageCaps& aCaps, TimePoint aNow);
  /// Adds the refill up to now and ends the delegations that have expired.
  void Update(Shard& aShard, TimePoint aNow);
  void Accrue(Shard& aShard, TimePoint aUntil);
  void SetShare(Shard& aShard);
  void Refill(const Shard& aShard, Bucket& aBucket) const;
  /// The highest level of a bucket.
  double Capacity(const Shard& aShard, const Bucket& aBucket) const;

  std::string self_;
  /// Buckets are refilled at the rate times this, and may hold this much beyond the burst.
  double refillFactor_;
  double extraBurst_;
  int64_t clockOffset_;
  CapOwners owners_;
  std::array<Shard, kCapShards> shards_;
  std::map<uint64_t, Loan> loans_;
  uint64_t nextId_;
};

} // namespace dandelion

#endif
