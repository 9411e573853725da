/// Queues calls for the upstream beside this node and sends them to it. Once a call has reached
/// this node, only this node may report that the call has not run.
#ifndef DANDELION_DANDELIOND_ADMISSION_SERVICE_H
#define DANDELION_DANDELIOND_ADMISSION_SERVICE_H

#include "dandeliond/CallServices.h"
#include "dandeliond/MembershipServices.h"
#include "dandeliond/ReleaseServices.h"

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
  /// A call that has not been answered; `request` is set once it has been sent to the upstream.
  struct PendingCall
  {
    OpenCall call;
    OnReply reply;
    TimePoint arrivedAt;
    TimePoint deadline;
    TimePoint startedAt;
    std::optional<Upstream::RequestId> request;
    /// Version of the upstream that it was sent to.
    std::string upstreamVersion = {};
    /// Body of a call of another node. That of a call of this node is charged to its connection.
    HeldBytes body = {};
  };
  /// A call that arrived over a link: the link and the sender's id of the call.
  using RemoteCallKey = std::pair<LinkId, uint64_t>;

  void Execute(const AdmissionEffects& aEffects);
  /// Wakes up when the upstream's limit lets a waiting call start.
  void ScheduleNextStart();
  void SendToUpstream(Ticket aTicket);
  void OnUpstreamResult(Ticket aTicket, const UpstreamResult& aResult);
  void Refuse(Ticket aTicket, ErrorKind aReason);
  void Reply(Ticket aTicket, CallReply aReply);
  bool IsGateClosed() const;
  /// Logs when the upstream begins, changes or ends its limit, and once a second how many calls it
  /// is sent while it names one.
  void LogLimit(const UpstreamNotices& aNotices);
  void LogOutcome(const PendingCall& aPending, const UpstreamResult& aResult) const;
  /// Completes a drain when no call is running.
  void CheckDrained();
  /// Refuses queued calls that have expired, and repeats this periodically.
  void CheckExpired();
  /// Why this node must not run the call now; nothing if it may.
  std::optional<ErrorKind> FindRefusalReason(const OpenCall& aCall) const;
  /// Applies the slots of the upstream to the queue; 0 slots close it.
  void ApplyUpstreamState();
  /// Refuses queued calls that this node must not run under the current configuration.
  void RefuseWithdrawn();
  /// Time until the answers queued for this machine's link have been sent.
  Duration LinkDelay() const;
  /// Time to send one answer of a cost class over this machine's link.
  Duration TransmissionTime(const CostClass& aCostClass) const;
  /// Whether answers of a cost class are large enough to occupy the link noticeably.
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
  /// Smoothed size of answers in bytes, by cost class.
  std::map<CostClass, double> smoothedAnswerBytes_;
  std::map<RemoteCallKey, Ticket> remoteTickets_;
  /// The limit that the upstream named last.
  std::optional<double> namedLimit_;
  /// Calls sent to the upstream since the last line about its limit.
  int64_t sentSinceLimitLog_ = 0;
  TimePoint limitLoggedAt_;
  bool isDraining_ = false;
  std::function<void()> onDrained_;
  Timer expiryTimer_;
  Timer startTimer_;
};

} // namespace dandelion

#endif
