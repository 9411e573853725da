/// Holds the gate in front of the upstream, reports its calls while an order of its service runs,
/// and judges orders where this node follows the store.
#ifndef DANDELION_DANDELIOND_ROLLOUTS_SERVICE_H
#define DANDELION_DANDELIOND_ROLLOUTS_SERVICE_H

#include "dandeliond/CallServices.h"
#include "dandeliond/ReleaseServices.h"
#include "dandeliond/RolloutJudges.h"

#include <algorithm>

namespace dandelion {

/// `ServiceName::Rollouts`; registered only where the settings ask for rollouts.
class RolloutsService
  : public Service
  , public UpstreamGate
{
public:
  /// `aIncarnation` identifies this start of the process in reports.
  RolloutsService(const NodeContext& aContext, uint64_t aIncarnation, RolloutProtocol aProtocol);

  absl::Status Start() override;
  void Stop() override;

  bool IsOpen() const override { return gate_.IsOpen(context_.loop.Now()); }
  std::string OnCallStarted(const std::string& aPolicy) override;
  void OnCallEnded(const std::string& aVersion,
                   const std::string& aPolicy,
                   TimePoint aStartedAt,
                   bool aHasFailed) override;
  void OnCallCancelled() override { running_ = std::max<int64_t>(0, running_ - 1); }

private:
  void Tick();
  void OnUpstream();
  void OnDatagram(const Datagram& aDatagram);
  void OnPermit(const RolloutPermit& aPermit);
  /// Passes on what the member table says of other upstreams, and announces a changed gate.
  void UpdateGate();
  void SendReport();
  RolloutReport MakeReport() const;
  void SendPermit(const std::string& aTo, const RolloutPermit& aPermit);
  /// Reads the order of this node's service, and its record, where no judge answers.
  void ReadOrder();
  void ReadRecord(const RolloutOrder& aOrder, TimePoint aSentAt);
  std::string KnownStoreRegion() const;

  const NodeContext& context_;
  uint64_t incarnation_;
  RolloutProtocol protocol_;
  VersionGate gate_;
  UpstreamCounts counts_;
  RolloutJudges judges_;
  Store* store_ = nullptr;
  Datagrams* datagrams_ = nullptr;
  Membership* membership_ = nullptr;
  UpstreamState* upstream_ = nullptr;
  Metrics* metrics_ = nullptr;
  int64_t running_ = 0;
  bool wasOpen_ = false;
  /// Since when this node asks whether an order names its upstream's version.
  std::optional<TimePoint> askingSince_;
  bool isReading_ = false;
  TimePoint nextRead_;
  Timer tickTimer_;
  Timer updateTimer_;
  Timer askTimer_;
};

} // namespace dandelion

#endif
