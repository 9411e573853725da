/// Decides when a node that is behind asks whom for the versions it lacks.
#ifndef DANDELION_SPREAD_CATCH_UP_H
#define DANDELION_SPREAD_CATCH_UP_H

#include "membership/Membership.h"
#include "release/Release.h"

#include <map>
#include <optional>
#include <variant>

namespace dandelion {

/// Ask a peer for all entries after our version.
struct PullFrom
{
  Endpoint peer;
  Version after;
};
/// No peer has delivered: read the store's log.
struct PullFromStore
{};
using CatchUpEffect = std::variant<PullFrom, PullFromStore>;

class CatchUp
{
public:
  /// A node that is behind waits this long for the version to be pushed before it pulls.
  explicit CatchUp(Duration aPullDelay = Duration::zero())
    : pullDelay_(aPullDelay)
  {
  }

  /// A peer has shown that it holds `aVersion`.
  void OnVersionSeen(const Endpoint& aPeer, Version aVersion);

  /// A version is known to exist, though not who holds it.
  void OnVersionRequired(Version aVersion);

  /// The node's own version is now `aVersion`.
  void OnVersionInForce(Version aVersion, TimePoint aNow);

  /// What to do now. At most one request waits at a time, with a time limit.
  std::optional<CatchUpEffect> Next(TimePoint aNow);

  /// Highest version that anybody has shown.
  Version HighestSeen() const { return highestSeen_; }
  bool IsBehind() const { return highestSeen_ > inForce_; }

private:
  Duration pullDelay_;
  std::optional<TimePoint> behindSince_;
  Version inForce_ = 0;
  Version highestSeen_ = 0;
  /// Peers that hold more than this node, and what they hold.
  std::map<Endpoint, Version> peersAhead_;
  std::optional<TimePoint> pullStartedAt_;
  Duration pullTimeout_ = Duration::zero();
  int failedPulls_ = 0;
};

} // namespace dandelion

#endif
