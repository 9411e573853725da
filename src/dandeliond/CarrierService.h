/// Carries attempts to the nodes of upstreams over links, or to the upstream beside this node.
#ifndef DANDELION_DANDELIOND_CARRIER_SERVICE_H
#define DANDELION_DANDELIOND_CARRIER_SERVICE_H

#include "dandeliond/CallServices.h"

#include <map>
#include <optional>

namespace dandelion {

class CarrierService
  : public Service
  , public Carrier
  , public LinkHandler
{
public:
  explicit CarrierService(const NodeContext& aContext)
    : context_(aContext)
  {
  }

  absl::Status Start() override;
  void Stop() override { attempts_.clear(); }

  void Send(const Member& aMember, const OpenCall& aCall, OnReply aReply) override;
  void Cancel(uint64_t aAttempt) override;

  void OnLinkMessage(LinkId aLink, const LinkMessage& aMessage) override;
  void OnLinkClosed(LinkId aLink, const std::vector<LinkMessage>& aUnsent) override;

private:
  /// An attempt without a reply. `link` is empty for the upstream beside this node, and `ticket` is
  /// used only there.
  struct OpenAttempt
  {
    OnReply reply;
    std::optional<LinkId> link = {};
    Admission::Ticket ticket = 0;
  };

  void SendLocally(const OpenCall& aCall);
  void OnReplyTo(uint64_t aAttempt, const CallReply& aReply);
  Lane LaneFor(TrafficClass aClass) const;

  const NodeContext& context_;
  Links* links_ = nullptr;
  Admission* admission_ = nullptr;
  std::map<uint64_t, OpenAttempt> attempts_;
};

} // namespace dandelion

#endif
