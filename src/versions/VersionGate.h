/// Decides whether the node beside an upstream may send calls to its version.
#ifndef DANDELION_VERSIONS_VERSION_GATE_H
#define DANDELION_VERSIONS_VERSION_GATE_H

#include "versions/RolloutMessages.h"

#include <optional>

namespace dandelion {

/// A permit that was not renewed for this long no longer opens an unproven version.
constexpr Duration kPermitLifetime = milliseconds(1500);
/// If no other upstream of the service is known to be running for this long, and no judge answers,
/// the version opens. Longer than a restarted node needs to learn of the members of its service.
constexpr Duration kAloneTime = seconds(3);

class VersionGate
{
public:
  /// Sets what is known of the upstream; without `aVersion` it has not reported yet.
  void OnUpstream(const std::optional<std::string>& aVersion,
                  const std::string& aUpstreamId,
                  TimePoint aNow);
  /// Sets which other upstreams of the service are known to accept calls.
  void OnMembers(bool aIsSameVersionRunning, bool aIsOtherVersionRunning, TimePoint aNow);
  /// Handles a permit of a judge, or one made from this node's own read of the store.
  void OnPermit(const RolloutPermit& aPermit, TimePoint aNow);
  /// The whole mesh is started for the first time, so no order can exist.
  void AssumeNoOrder(TimePoint aNow);
  /// Counts a call of the current version that is sent to the upstream.
  void OnAdmitted() { ++admitted_; }

  bool IsOpen(TimePoint aNow) const;
  /// Whether the gate is closed because it is not known whether an order names the version.
  bool NeedsAnswer() const;
  bool IsOrderRunning() const;
  /// The order, the highest stage learned and the calls allowed in all, for reports.
  int64_t OrderRevision() const { return order_; }
  RolloutStage Stage() const { return stage_; }
  int64_t MaxCalls() const { return maxCalls_; }

private:
  bool IsFresh(TimePoint aNow) const { return aNow - permittedAt_ <= kPermitLifetime; }
  bool IsAlone(TimePoint aNow) const;
  bool IsTarget() const { return version_.has_value() && *version_ == target_; }
  bool IsUnprovenOpen(TimePoint aNow) const;
  void ApplyStage(const RolloutPermit& aPermit);

  std::optional<std::string> version_;
  std::string upstreamId_;
  bool isFirstVersionKnown_ = false;
  /// When this node first saw the version.
  TimePoint versionSeenAt_;
  bool isSameVersionRunning_ = false;
  bool isOtherVersionRunning_ = false;
  /// Since when no other upstream of the service is known to be running.
  std::optional<TimePoint> aloneSince_;
  /// Whether anything about orders of the service has been learned, and until when that was true.
  bool isInformed_ = false;
  TimePoint informedAsOf_;
  /// Revision of the newest order; 0 while there is none.
  int64_t order_ = 0;
  std::string target_;
  RolloutStage stage_ = RolloutStage::Canary;
  /// Whether the store holds `stage_`.
  bool isStageStored_ = false;
  TimePoint permittedAt_;
  bool isPermitOpen_ = false;
  /// Whether the newest permit has no limit of calls.
  bool isUnlimited_ = false;
  int64_t maxCalls_ = 0;
  int64_t admitted_ = 0;
  /// The old upstream that was closed before the order was completed.
  std::string closedUpstreamId_;
  std::optional<std::string> closedVersion_;
};

} // namespace dandelion

#endif
