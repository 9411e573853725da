/// Decides with `Freshness` whether this node follows the store, and passes on what the store
/// confirms.
#ifndef DANDELION_DANDELIOND_FOLLOWING_SERVICE_H
#define DANDELION_DANDELIOND_FOLLOWING_SERVICE_H

#include "dandeliond/MembershipServices.h"
#include "dandeliond/ReleaseServices.h"

namespace dandelion {

/// Why a node follows the store itself.
enum class FollowReason
{
  None,
  Watcher,
  Unconfirmed,
};

template<>
struct EnumNames<FollowReason>
{
  static constexpr EnumName<FollowReason> kTable[] = {
    { FollowReason::None, "no" },
    { FollowReason::Watcher, "watcher of its zone" },
    { FollowReason::Unconfirmed, "its version was not confirmed" },
  };
};

/// `ServiceName::Following`; no other service uses it.
class FollowingService : public Service
{
public:
  explicit FollowingService(const NodeContext& aContext);

  absl::Status Start() override;
  void Stop() override;

private:
  void Tick();
  void UpdateFollowing();
  FollowReason ReasonToFollow(TimePoint aNow) const;
  /// Logs whether the node follows the store and who its relays are, when this has changed.
  void LogRole(FollowReason aReason);
  void OnVersionInForce();
  void OnConfirmedByStore(TimePoint aAsOf, int64_t aRevision);
  void OnConfirmedByMember(const Endpoint& aFrom, const VersionConfirmation& aConfirmation);
  void SendConfirmation(TimePoint aAsOf,
                        int64_t aRevision,
                        const std::vector<const Member*>& aTargets);
  /// The members to which this node passes on confirmations of other members.
  std::vector<const Member*> Children() const;
  std::string KnownStoreRegion() const;
  const Endpoint& EndpointOf(const Member& aMember) const
  {
    return EndpointFrom(context_.settings.region, aMember);
  }

  const NodeContext& context_;
  Freshness freshness_;
  Datagrams* datagrams_ = nullptr;
  Membership* membership_ = nullptr;
  Releases* releases_ = nullptr;
  ReleaseLog* log_ = nullptr;
  Spreading* spreading_ = nullptr;
  std::string loggedRole_;
  Timer tickTimer_;
};

} // namespace dandelion

#endif
