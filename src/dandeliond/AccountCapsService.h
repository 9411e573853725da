/// Enforces the quotas of client accounts: connects `CapClient` and `CapPool` to the links, the
/// members and the configuration.
#ifndef DANDELION_DANDELIOND_ACCOUNT_CAPS_SERVICE_H
#define DANDELION_DANDELIOND_ACCOUNT_CAPS_SERVICE_H

#include "dandeliond/AccountServices.h"
#include "dandeliond/MembershipServices.h"
#include "dandeliond/ReleaseServices.h"

#include <map>

namespace dandelion {

class AccountCapsService
  : public Service
  , public AccountCaps
  , public LinkHandler
{
public:
  AccountCapsService(const NodeContext& aContext, uint64_t aSeed);

  absl::Status Start() override;
  void Stop() override;

  void TryTake(const std::string& aAccount, OnToken aDone) override;
  void Return(const std::string& aAccount) override;

  void OnLinkMessage(LinkId aLink, const LinkMessage& aMessage) override;
  void OnLinkClosed(LinkId aLink, const std::vector<LinkMessage>& aUnsent) override;

private:
  struct Taker
  {
    std::string account;
    OnToken done;
  };

  /// Whether the settings ask for caps, accounts have caps and this node has joined.
  bool IsEnforcing() const;
  void OnConfiguration();
  void UpdateOwners();
  void Advance();
  void ScheduleAdvance();
  void Execute(const CapClientEffects& aEffects);
  /// `aLink` is the link of the request that is answered; nothing if this node has sent it.
  void Execute(const CapPoolEffects& aEffects, std::optional<LinkId> aLink);
  void AnswerCall(const AnswerTaker& aAnswer);
  void SendTo(const SendRequest& aSend);
  void OnGrant(const std::string& aMember, const TokenGrant& aGrant);

  const NodeContext& context_;
  CapClient client_;
  CapPool pool_;
  CapMembers members_;
  Links* links_ = nullptr;
  Membership* membership_ = nullptr;
  Releases* releases_ = nullptr;
  Metrics* metrics_ = nullptr;
  UsageCaps caps_;
  bool hasOwners_ = false;
  /// The owners that were last logged, by shard.
  std::string loggedOwners_;
  std::map<uint64_t, Taker> takers_;
  uint64_t nextTaker_ = 1;
  /// The members to which links lead on which requests were sent.
  std::map<LinkId, std::string> memberOfLink_;
  Timer advanceTimer_;
  TimePoint advanceAt_;
  Timer ownersTimer_;
};

} // namespace dandelion

#endif
