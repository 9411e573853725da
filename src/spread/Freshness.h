/// Decides how long a node may take its version for the newest one without evidence.
///
/// Silence does not show that nothing has changed: connections, relays and whole regions can fall
/// silent. A version is confirmed only by the store's answers, which members that receive them pass
/// on. A node whose version has not been confirmed for `kMaxUnconfirmedTime` must ask the store
/// itself, whether or not any message arrives.
#ifndef DANDELION_SPREAD_FRESHNESS_H
#define DANDELION_SPREAD_FRESHNESS_H

#include "release/Release.h"

#include <optional>

namespace dandelion {

/// Time within which a node that can reach the store has an accepted version in force.
constexpr Duration kApplyLimit = milliseconds(2500);
/// Part of `kApplyLimit` for connecting to the store, reading the version and putting it in force.
constexpr Duration kReadAllowance = milliseconds(600);
/// How long a node takes its version for the newest one after it was last confirmed.
constexpr Duration kMaxUnconfirmedTime = milliseconds(1700);
/// Maximum time between two checks of whether the version is confirmed.
constexpr Duration kFreshnessCheckPeriod = milliseconds(50);
/// How long the store may hold a watch request before it answers that nothing has changed.
constexpr Duration kWatchRenewalPeriod = milliseconds(800);
/// A watch request without an answer for this much longer than that is given up.
constexpr Duration kWatchAnswerMargin = milliseconds(500);
/// Minimum time between two confirmations that a node passes on.
constexpr Duration kMinConfirmationInterval = milliseconds(500);

static_assert(kMaxUnconfirmedTime + kFreshnessCheckPeriod + kReadAllowance <= kApplyLimit);
static_assert(kWatchRenewalPeriod + kWatchAnswerMargin + kReadAllowance <= kApplyLimit);
// One lost confirmation does not make a node ask the store.
static_assert(2 * kWatchRenewalPeriod < kMaxUnconfirmedTime);

class Freshness
{
public:
  explicit Freshness(TimePoint aNow)
    : confirmedAt_(aNow)
  {
  }

  /// Records that `aVersion` was the newest version at `aAsOf`, when the store was at `aRevision`
  /// (0 if that is not known). It also confirms a later version in force. A version that is not in
  /// force yet counts from when it, or a later one, is.
  void OnConfirmed(Version aVersion, TimePoint aAsOf, int64_t aRevision);
  void OnVersionInForce(Version aVersion);
  /// Whether the node has in force all that was accepted until `kMaxUnconfirmedTime` ago.
  bool IsConfirmed(TimePoint aNow) const { return aNow - confirmedAt_ <= kMaxUnconfirmedTime; }
  /// The latest time until which all accepted versions are known to be in force.
  TimePoint ConfirmedAt() const { return confirmedAt_; }
  /// The highest revision of the store up to which all accepted versions are known to be in force;
  /// 0 if none is known. A node needs to ask the store only for changes after it.
  int64_t Revision() const { return revision_; }
  /// Returns whether a confirmation as of `aAsOf` should be sent to other members, and if so
  /// records that it was. Copies of one confirmation that arrive by several ways are sent once.
  bool ShouldSend(TimePoint aAsOf);

private:
  Version inForce_ = 0;
  TimePoint confirmedAt_;
  /// The latest confirmation of the highest version that is not in force yet.
  Version pendingVersion_ = 0;
  TimePoint pendingAt_;
  int64_t pendingRevision_ = 0;
  int64_t revision_ = 0;
  std::optional<TimePoint> lastSentAsOf_;
};

} // namespace dandelion

#endif
