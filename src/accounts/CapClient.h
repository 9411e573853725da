/// A node's side of quotas: delegates this node's share of the caps to the owners in its
/// region, keeps tokens in stock and decides which calls get one.
#ifndef DANDELION_ACCOUNTS_CAP_CLIENT_H
#define DANDELION_ACCOUNTS_CAP_CLIENT_H

#include "accounts/CapPool.h"

#include <deque>
#include <set>

namespace dandelion {

/// A call needs a token of an account. It is answered with `AnswerTaker`, possibly at once.
struct TokenWanted
{
  std::string account;
  uint64_t taker = 0;
};

/// A call ended as not run and reached no upstream, so its token was not used.
struct TokenReturned
{
  std::string account;
};

using CapClientEvent =
  std::variant<TokenWanted, TokenReturned, GrantArrived, CapsChanged, OwnersChanged>;

/// The call has a token, or the account is at its cap and has its next token after `wait`.
struct AnswerTaker
{
  uint64_t taker = 0;
  bool isTaken = false;
  Duration wait = Duration::zero();
};

using CapClientEffect = std::variant<AnswerTaker, SendRequest>;
using CapClientEffects = std::vector<CapClientEffect>;

/// Longest time that a call waits for the answer of an owner.
constexpr Duration kTokenTimeout = milliseconds(20);

class CapClient
{
public:
  explicit CapClient(std::string aSelf);

  CapClientEffects Handle(const CapClientEvent& aEvent, TimePoint aNow);
  /// Sends what is due, and answers the calls that have waited for too long.
  CapClientEffects Advance(TimePoint aNow);
  /// When `Advance` is due; nothing if no account has a cap.
  std::optional<TimePoint> NextAdvance() const;

  /// Accounts whose state is kept here.
  size_t ActiveAccounts() const { return accounts_.size(); }

private:
  struct Stock
  {
    TimePoint expiresAt;
    int64_t tokens = 0;
  };
  struct Waiting
  {
    uint64_t taker = 0;
    TimePoint until;
  };
  struct Account
  {
    std::deque<Stock> stock;
    std::deque<Waiting> waiting;
    /// Tokens in requests that were not answered.
    int64_t asked = 0;
    int64_t spareAsked = 0;
    /// The owner has no tokens before these times.
    TimePoint refusedUntil;
    TimePoint spareRefusedUntil;
    /// Calls that took a token, a second, averaged over `kUseMemory`.
    double usesPerS = 0;
    TimePoint lastUse;
  };
  struct Shard
  {
    bool hasCaps = false;
    /// The member to which this node's share is delegated, until `freeAt`.
    std::string holder;
    TimePoint freeAt;
    TimePoint renewAt;
    TimePoint sendAt = TimePoint::max();
    TimePoint lastDemand;
    std::set<std::string> changedAccounts;
  };
  struct Owner
  {
    int64_t echoUs = 0;
    /// Has not answered; other members are preferred until then.
    TimePoint avoidedUntil;
  };
  struct Request
  {
    int64_t shard = 0;
    std::string owner;
    TimePoint sentAt;
    TimePoint deadline;
    std::vector<TokensWanted> wanted;
  };

  void OnWanted(const TokenWanted& aWanted, TimePoint aNow, CapClientEffects& aEffects);
  void OnReturned(const std::string& aAccount, TimePoint aNow, CapClientEffects& aEffects);
  void OnGrant(const GrantArrived& aArrived, TimePoint aNow, CapClientEffects& aEffects);
  void OnCaps(const UsageCaps& aCaps, CapClientEffects& aEffects);
  void OnOwners(const OwnersChanged& aChange, TimePoint aNow);
  void TakeGranted(const TokensGranted& aGranted,
                   const Request& aRequest,
                   TimePoint aNow,
                   CapClientEffects& aEffects);
  void ExpireRequests(TimePoint aNow);
  void RefuseExpired(TimePoint aNow, CapClientEffects& aEffects);
  void ForgetIdle(TimePoint aNow);
  /// Sends the requests that are due.
  void SendDue(TimePoint aNow, CapClientEffects& aEffects);
  SendRequest MakeRequest(int64_t aIndex, TimePoint aNow);
  std::vector<TokensWanted> WantedOf(Shard& aShard, TimePoint aNow);
  /// Schedules a request for an account.
  void Ask(const std::string& aAccount, Duration aDelay, TimePoint aNow);
  /// The first member in rank that is not avoided.
  const std::string& PreferredOwner(int64_t aIndex, TimePoint aNow) const;
  bool IsAvoided(const std::string& aMember, TimePoint aNow) const;
  /// Gives tokens in stock to waiting calls.
  void ServeWaiting(Account& aAccount, TimePoint aNow, CapClientEffects& aEffects);
  static bool TakeFromStock(Account& aAccount, TimePoint aNow);
  static int64_t InStock(const Account& aAccount);
  static int64_t SpareTarget(const Account& aAccount, TimePoint aNow);
  static double UsesPerS(const Account& aAccount, TimePoint aNow);
  static void CountUse(Account& aAccount, TimePoint aNow);
  void Release(const Request& aRequest);

  std::string self_;
  UsageCaps caps_;
  CapOwners owners_;
  int64_t members_ = 1;
  std::array<Shard, kCapShards> shards_;
  std::map<std::string, Account> accounts_;
  std::map<std::string, Owner> ownerStates_;
  /// By id; the oldest is the first to expire.
  std::map<uint64_t, Request> requests_;
  uint64_t nextId_ = 1;
  TimePoint nextForget_;
};

} // namespace dandelion

#endif
