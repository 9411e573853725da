/// Distributes versions between nodes and tracks where they are in force.
#ifndef DANDELION_DANDELIOND_SPREADING_SERVICE_H
#define DANDELION_DANDELIOND_SPREADING_SERVICE_H

#include "dandeliond/MembershipServices.h"
#include "dandeliond/ReleaseServices.h"

#include <map>
#include <random>

namespace dandelion {

class SpreadingService
  : public Service
  , public Spreading
  , public LinkHandler
{
public:
  SpreadingService(const NodeContext& aContext, uint64_t aSeed);

  absl::Status Start() override;
  void Stop() override;

  void QueryProgress(Version aVersion, OnProgress aDone) override;
  void RequireVersion(Version aVersion) override;
  void ForwardEntry(const Entry& aEntry) override;
  void OnVersionSeen(const Endpoint& aPeer, Version aVersion) override;
  bool IsBehind() const override { return catchUp_.IsBehind(); }

  void OnLinkMessage(LinkId aLink, const LinkMessage& aMessage) override;
  void OnLinkClosed(LinkId aLink, const std::vector<LinkMessage>& aUnsent) override;

private:
  struct ProgressRequest
  {
    OnProgress done;
    LinkId link;
    Timer timeout;
  };
  struct ReportState
  {
    Version acknowledged = 0;
    TimePoint nextSend;
    int sends = 0;
  };

  void Tick();
  void OnDatagram(const Endpoint& aFrom, const Datagram& aDatagram);
  void OnVersionInForce();
  std::string KnownStoreRegion() const;
  void PushVersion();
  /// The message that brings a node from `aVersion` to the current version: entries if the replica
  /// still holds them, else deltas if it holds these, else a snapshot.
  LinkMessage MakeUpdateAfter(Version aVersion) const;
  void AdvanceCatchUp();
  void ReadStore();
  void OnStoreRead(const absl::Status& aStatus);
  void OnPull(LinkId aLink, const PullEntries& aPull);
  void LogDelivery(LinkId aLink, Version aVersion) const;
  void ReportVersion(TimePoint aNow);
  void ReportZone(TimePoint aNow);
  void MaybeCompact();
  void PollStore(TimePoint aNow);
  void FinishProgressRequest(uint64_t aId,
                             const absl::StatusOr<std::vector<ZoneProgress>>& aProgress);
  bool IsRelay() const;
  const Endpoint& EndpointOf(const Member& aMember) const
  {
    return EndpointFrom(context_.settings.region, aMember);
  }
  bool IsFirstRelayOfStoreRegion() const;

  const NodeContext& context_;
  std::mt19937_64 random_;
  CatchUp catchUp_;
  VersionProgress progress_;
  Datagrams* datagrams_ = nullptr;
  Links* links_ = nullptr;
  Membership* membership_ = nullptr;
  Releases* releases_ = nullptr;
  ReleaseLog* log_ = nullptr;
  Version pushedVersion_ = 0;
  /// What each relay of this node's zone has acknowledged, by the relay's id.
  std::map<std::string, ReportState> reports_;
  std::optional<ZoneReport> lastZoneReport_;
  TimePoint nextZoneReport_;
  TimePoint nextStorePoll_;
  TimePoint lastStoreRegionContact_;
  bool isReadingStore_ = false;
  bool isRepairing_ = false;
  bool isCompacting_ = false;
  Version compactedVersion_ = 0;
  uint64_t nextRequestId_ = 1;
  std::map<uint64_t, ProgressRequest> progressRequests_;
  Timer tickTimer_;
};

} // namespace dandelion

#endif
