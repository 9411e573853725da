/// Decides when a node that is behind pulls the missing versions, and from which peer or the store.
#ifndef DANDELION_SPREAD_CATCH_UP_H
#define DANDELION_SPREAD_CATCH_UP_H

#include "membership/Membership.h"
#include "release/Release.h"
#include "spread/Freshness.h"

#include <map>
#include <optional>
#include <variant>

namespace dandelion {

/// Request all entries after the node's version from a peer.
struct PullFromPeer
{
  Endpoint peer;
  Version after;
};
/// Read the store's log, because no peer has delivered the missing versions.
struct PullFromStore
{};
using CatchUpEffect = std::variant<PullFromPeer, PullFromStore>;

/// On the platform, a node that is behind waits this long for a push before it pulls the version.
constexpr Duration kPushWait = milliseconds(250);
/// Time for a peer to deliver. It doubles with each read of the store that has not helped.
constexpr Duration kPullTimeout = milliseconds(500);
/// After this many pulls without a result the store is read.
constexpr int kFailedPullsBeforeStore = 2;

// Peers that do not deliver must not keep a node from the version until it is late.
static_assert(kPushWait + kFailedPullsBeforeStore * kPullTimeout + kReadAllowance <= kApplyLimit);

class CatchUp
{
public:
  /// A node that is behind waits `aPullDelay` for a peer to push the version before it pulls.
  explicit CatchUp(Duration aPullDelay = Duration::zero())
    : pullDelay_(aPullDelay)
  {
  }

  /// Records that a peer has reported `aVersion` as its own.
  void OnVersionSeen(const Endpoint& aPeer, Version aVersion);

  /// Records that `aVersion` exists, while it is unknown which peer has it.
  void OnVersionRequired(Version aVersion);

  /// Records that the node's own version is now `aVersion`.
  void OnVersionInForce(Version aVersion, TimePoint aNow);

  /// Returns the next request to send, if any. At most one request is pending at a time, and it has
  /// a timeout.
  std::optional<CatchUpEffect> Next(TimePoint aNow);

  /// Highest version that is known to exist.
  Version HighestSeen() const { return highestSeen_; }
  bool IsBehind() const { return highestSeen_ > inForce_; }

private:
  Duration pullDelay_;
  std::optional<TimePoint> behindSince_;
  Version inForce_ = 0;
  Version highestSeen_ = 0;
  /// Peers with a higher version than this node, and their versions.
  std::map<Endpoint, Version> peersAhead_;
  std::optional<TimePoint> pullStartedAt_;
  Duration pullTimeout_ = Duration::zero();
  int failedPulls_ = 0;
  int failedStoreReads_ = 0;
};

} // namespace dandelion

#endif
