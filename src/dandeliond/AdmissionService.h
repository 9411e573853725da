/// Serves calls at the node beside the upstream: only this node may say that a call has not run.
#ifndef DANDELION_DANDELIOND_ADMISSION_SERVICE_H
#define DANDELION_DANDELIOND_ADMISSION_SERVICE_H

#include "dandeliond/Services.h"

#include <map>

namespace dandelion {

class AdmissionService
  : public Service
  , public Admission
  , public LinkHandler
{
public:
  explicit AdmissionService(const NodeContext& aContext);

  absl::Status Start() override;
  void Stop() override;

  Ticket Serve(const OpenCall& aCall, OnReply aReply) override;
  void Cancel(Ticket aTicket) override;
  void Drain(std::function<void()> aDone) override;

  void OnLinkMessage(LinkId aLink, const LinkMessage& aMessage) override;
  void OnLinkClosed(LinkId aLink, const std::vector<LinkMessage>& aUnsent) override;

private:
  struct PendingCall
  {
    OpenCall call;
    OnReply reply;
    TimePoint arrivedAt;
    TimePoint deadline;
    TimePoint startedAt;
    std::optional<Upstream::RequestId> request;
  };
  using RemoteCallKey = std::pair<LinkId, uint64_t>;

  void Execute(const AdmissionEffects& aEffects);
  void SendToUpstream(Ticket aTicket);
  void OnUpstreamResult(Ticket aTicket, const UpstreamResult& aResult);
  void Refuse(Ticket aTicket, ErrorKind aReason);
  void Reply(Ticket aTicket, CallReply aReply);
  void LogOutcome(const PendingCall& aPending, const UpstreamResult& aResult) const;
  void CheckDrained();
  void CheckExpired();
  std::optional<ErrorKind> FindRefusalReason(const OpenCall& aCall) const;
  void ApplyUpstreamState();
  /// Refuses what waits and is led elsewhere by a new version.
  void RefuseWithdrawn();
  /// Time that answers which wait on the links need to leave this machine.
  Duration LinkDelay() const;
  /// Time that one answer of a kind needs on this machine's link.
  Duration TransmissionTime(const CostClass& aCostClass) const;
  bool HasBulkAnswers(const CostClass& aCostClass) const;

  const NodeContext& context_;
  AdmissionQueue queue_;
  Links* links_ = nullptr;
  Upstream* upstream_ = nullptr;
  UpstreamState* upstreamState_ = nullptr;
  Releases* releases_ = nullptr;
  Membership* membership_ = nullptr;
  Metrics* metrics_ = nullptr;
  Ticket nextTicket_ = 1;
  std::map<Ticket, PendingCall> pending_;
  /// Smoothed size of answers, by kind.
  std::map<CostClass, double> smoothedAnswerBytes_;
  std::map<RemoteCallKey, Ticket> remoteTickets_;
  bool isDraining_ = false;
  std::function<void()> onDrained_;
  Timer expiryTimer_;
};

} // namespace dandelion

#endif
