/// Decides when connecting to an unreachable peer may be retried.
#ifndef DANDELION_WIRE_RECONNECT_BACKOFF_H
#define DANDELION_WIRE_RECONNECT_BACKOFF_H

#include "membership/Membership.h"

#include <map>
#include <random>

namespace dandelion {

/// Exponential backoff with full jitter for each peer, so that nodes that lost the same peer at the
/// same time do not reconnect to it at the same time.
class ReconnectBackoff
{
public:
  explicit ReconnectBackoff(uint64_t aSeed);

  bool MayConnect(const Endpoint& aPeer, TimePoint aNow) const;
  void OnConnectFailed(const Endpoint& aPeer, TimePoint aNow);
  void OnConnected(const Endpoint& aPeer);
  /// Removes the peers whose last failure is older than the retention time.
  void RemoveExpired(TimePoint aNow);
  size_t TrackedPeers() const { return failures_.size(); }

private:
  struct Failures
  {
    int consecutive = 0;
    TimePoint lastFailure;
    TimePoint nextAttempt;
  };
  std::map<Endpoint, Failures> failures_;
  std::mt19937_64 random_;
};

} // namespace dandelion

#endif
