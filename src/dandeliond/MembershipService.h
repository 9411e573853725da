/// Connects the failure detector and the join procedure to datagrams, links and the store's seeds.
#ifndef DANDELION_DANDELIOND_MEMBERSHIP_SERVICE_H
#define DANDELION_DANDELIOND_MEMBERSHIP_SERVICE_H

#include "dandeliond/CallServices.h"
#include "dandeliond/MembershipServices.h"
#include "dandeliond/ReleaseServices.h"

namespace dandelion {

class MembershipService
  : public Service
  , public Membership
  , public LinkHandler
{
public:
  /// `aIncarnation` must be higher than the incarnation of every earlier start in the slot.
  MembershipService(const NodeContext& aContext, uint64_t aIncarnation, uint64_t aSeed);

  absl::Status Start() override;
  void Stop() override;

  const MemberTable& Table() const override { return detector_.Table(); }
  const Member& Self() const override { return detector_.Self(); }
  bool IsReady() const override { return isReady_; }
  bool IsFenced(TimePoint aNow) const override;
  std::vector<const Member*> CountedMembersInZone(TimePoint aNow) const override
  {
    return detector_.CountedMembersInZone(aNow);
  }
  void OnVersionReported(const std::string& aMember, Version aVersion) override
  {
    detector_.OnVersionReported(aMember, aVersion);
  }
  void AddListener(std::function<void()> aOnChange) override
  {
    listeners_.push_back(std::move(aOnChange));
  }
  void OnVersionSeen(std::function<void(const Endpoint&, Version)> aCallback) override
  {
    onVersionSeen_ = std::move(aCallback);
  }
  void AnnounceDeparture(MemberState aState) override;
  void ContactSeeds(const std::vector<Endpoint>& aSeeds) override;
  void OnStoreAnswered(TimePoint aSentAt) override;
  void OnStoreLost() override { Execute(detector_.SetStoreLatency(0, context_.loop.Now())); }

  void OnLinkMessage(LinkId aLink, const LinkMessage& aMessage) override;

private:
  void Tick();
  void Execute(const FailureDetectorEffects& aEffects);
  void OnDatagram(const Endpoint& aFrom, const Datagram& aDatagram);
  void OnJoinQuery(LinkId aLink, const JoinQuery& aQuery);
  void OnJoinAnswer(const JoinAnswer& aAnswer);
  void ReadHead();
  /// Endpoints of the seeds and of the active members, without this node.
  std::set<Endpoint> KnownPeers() const;
  void QueryPeers();
  void TryToFinishJoining();
  void AnnounceJoin();
  void RequestLivenessWitness();

  const NodeContext& context_;
  FailureDetector detector_;
  Joining joining_;
  std::mt19937_64 random_;
  Datagrams* datagrams_ = nullptr;
  Links* links_ = nullptr;
  ReleaseLog* log_ = nullptr;
  Releases* releases_ = nullptr;
  Spreading* spreading_ = nullptr;
  UpstreamState* upstream_ = nullptr;
  std::set<Endpoint> knownSeeds_;
  std::set<Endpoint> queriedPeers_;
  bool isReady_ = false;
  bool isReadingHead_ = false;
  bool isWitnessRequested_ = false;
  std::vector<std::function<void()>> listeners_;
  std::function<void(const Endpoint&, Version)> onVersionSeen_;
  Timer tickTimer_;
  Timer peerQueryTimer_;
  Timer headRetryTimer_;
};

} // namespace dandelion

#endif
