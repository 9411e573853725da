/// Mocks and fakes of the interfaces between services and to other processes.
#ifndef DANDELION_TEST_SUPPORT_MOCKS_H
#define DANDELION_TEST_SUPPORT_MOCKS_H

#include "dandeliond/AccountServices.h"
#include "dandeliond/CallServices.h"
#include "dandeliond/MembershipServices.h"
#include "dandeliond/ReleaseServices.h"

#include <criterion/criterion.h>
#include <trompeloeil.hpp>

namespace dandelion::testing {

class MockLinks
  : public Service
  , public trompeloeil::mock_interface<Links>
{
public:
  IMPLEMENT_MOCK2(Open);
  IMPLEMENT_MOCK2(Send);
  IMPLEMENT_MOCK1(AwaitAnswer);
  IMPLEMENT_MOCK1(AnswerReceived);
  IMPLEMENT_CONST_MOCK1(PeerOf);
  IMPLEMENT_MOCK1(AddHandler);
  IMPLEMENT_MOCK1(SetVersion);
  IMPLEMENT_MOCK1(OnVersionSeen);
  IMPLEMENT_CONST_MOCK0(Continuations);
  IMPLEMENT_CONST_MOCK1(BytesSent);
  size_t QueuedBytes() const override { return queuedBytes; }
  size_t queuedBytes = 0;
};

class MockUpstream
  : public Service
  , public trompeloeil::mock_interface<Upstream>
{
public:
  IMPLEMENT_MOCK2(Send);
  IMPLEMENT_MOCK1(Cancel);
  void WithdrawUnsent() override
  {
    if (onWithdrawUnsent) {
      onWithdrawUnsent();
    }
  }
  std::function<void()> onWithdrawUnsent;
};

class MockAdmission
  : public Service
  , public trompeloeil::mock_interface<Admission>
{
public:
  IMPLEMENT_MOCK2(Serve);
  IMPLEMENT_MOCK1(Cancel);
  IMPLEMENT_MOCK1(Drain);
};

/// A configuration that the test sets. A fake rather than a mock, since nearly every call reads it.
class FakeReleases
  : public Service
  , public Releases
{
public:
  FakeReleases() { Set(Configuration()); }

  void Set(const Configuration& aConfiguration)
  {
    current_ = std::make_shared<Configuration>(aConfiguration);
    routes_ = std::make_shared<RouteTable>(current_);
    accounts_ = std::make_shared<AccountTable>(current_);
    for (const auto& listener : listeners_) {
      listener();
    }
  }

  const ConfigurationPtr& Current() const override { return current_; }
  const std::string& CurrentHash() const override { return hash_; }
  std::shared_ptr<const RouteTable> Routes() const override { return routes_; }
  std::shared_ptr<const AccountTable> Accounts() const override { return accounts_; }
  absl::Status ApplyEntries(const std::vector<Entry>& /* aEntries */) override
  {
    return absl::OkStatus();
  }
  absl::Status ApplySnapshot(const Configuration& /* aConfiguration */,
                             const std::string& /* aHash */) override
  {
    return absl::OkStatus();
  }
  absl::Status ApplyDeltas(const std::vector<ConfigurationDelta>& /* aDeltas */) override
  {
    return absl::OkStatus();
  }
  std::optional<std::vector<ConfigurationDelta>> DeltasAfter(Version /* aVersion */) const override
  {
    return std::nullopt;
  }
  std::optional<std::vector<Entry>> EntriesAfter(Version /* aVersion */) const override
  {
    return std::nullopt;
  }
  void AddListener(std::function<void()> aOnVersion) override
  {
    listeners_.push_back(std::move(aOnVersion));
  }

private:
  ConfigurationPtr current_;
  std::shared_ptr<const RouteTable> routes_;
  std::shared_ptr<const AccountTable> accounts_;
  std::string hash_;
  std::vector<std::function<void()>> listeners_;
};

/// The state of the upstream beside the node, set by the test.
class FakeUpstreamState
  : public Service
  , public UpstreamState
{
public:
  void Set(int64_t aSlots)
  {
    slots_ = aSlots;
    for (const auto& listener : listeners_) {
      listener();
    }
  }

  int64_t Slots() const override { return slots_; }
  const std::string& Id() const override { return id_; }
  void AddListener(std::function<void()> aOnChange) override
  {
    listeners_.push_back(std::move(aOnChange));
  }

private:
  int64_t slots_ = 1;
  std::string id_ = "upstream-1";
  std::vector<std::function<void()>> listeners_;
};

/// A member table that the test sets.
class FakeMembership
  : public Service
  , public Membership
{
public:
  explicit FakeMembership(const Member& aSelf)
    : selfId_(aSelf.id)
  {
    table.Merge(aSelf);
  }

  MemberTable table;
  bool isFenced = false;
  bool isReady = true;

  void NotifyListeners()
  {
    for (const auto& listener : listeners_) {
      listener();
    }
  }

  const MemberTable& Table() const override { return table; }
  const Member& Self() const override { return *table.Find(selfId_); }
  bool IsReady() const override { return isReady; }
  bool IsFenced(TimePoint /* aNow */) const override { return isFenced; }
  std::vector<const Member*> CountedMembersInZone(TimePoint /* aNow */) const override
  {
    return {};
  }
  void OnVersionReported(const std::string& /* aMember */, Version /* aVersion */) override {}
  void AddListener(std::function<void()> aOnChange) override
  {
    listeners_.push_back(std::move(aOnChange));
  }
  void OnVersionSeen(std::function<void(const Endpoint&, Version)> /* aCallback */) override {}
  void AnnounceDeparture(MemberState /* aState */) override {}
  void ContactSeeds(const std::vector<Endpoint>& /* aSeeds */) override {}
  void OnStoreAnswered(TimePoint /* aAskedAt */) override {}
  void OnStoreLost() override {}

private:
  std::string selfId_;
  std::vector<std::function<void()>> listeners_;
};

/// Rollout state of a node that is never behind.
class FakeSpreading
  : public Service
  , public Spreading
{
public:
  void QueryProgress(Version /* aVersion */, OnProgress /* aDone */) override {}
  void RequireVersion(Version /* aVersion */) override {}
  void ForwardEntry(const Entry& /* aEntry */) override {}
  void OnVersionSeen(const Endpoint& /* aPeer */, Version /* aVersion */) override {}
  bool IsBehind() const override { return false; }
};

/// Gives every call a token unless the test says otherwise.
class FakeAccountCaps
  : public Service
  , public AccountCaps
{
public:
  void TryTake(const std::string& aAccount, OnToken aDone) override
  {
    if (isSilent) {
      waiting.push_back(std::move(aDone));
    } else {
      taken.push_back(aAccount);
      aDone(hasTokens, milliseconds(40));
    }
  }
  void Return(const std::string& aAccount) override { returned.push_back(aAccount); }

  bool hasTokens = true;
  bool isSilent = false;
  std::vector<OnToken> waiting;
  std::vector<std::string> taken;
  std::vector<std::string> returned;
};

/// Creates a service, registers it and returns it, so that the test can set it up.
template<class T, class... Args>
T& AddService(Registry& aRegistry, ServiceName aName, Args&&... aArgs)
{
  auto created = std::make_unique<T>(std::forward<Args>(aArgs)...);
  T& service = *created;
  aRegistry.Add(aName, std::move(created));
  return service;
}

inline Member MakeMember(const std::string& aId, const std::string& aService, uint16_t aPort)
{
  Member member;
  member.id = aId;
  member.region = "east";
  member.zone = "east-0";
  member.service = aService;
  member.endpoint = Endpoint{ "10.0.0.1", aPort };
  member.crossRegionEndpoint = member.endpoint;
  member.incarnation = 1;
  return member;
}

} // namespace dandelion::testing

#endif
