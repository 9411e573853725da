#include "wire/ReconnectBackoff.h"

#include <algorithm>

namespace dandelion {

namespace {

constexpr Duration kInitialDelayBound = milliseconds(50);
/// Bounds the delay until a recovered peer is reconnected. It must be well below the time in which
/// a note must be in force everywhere.
constexpr Duration kMaxDelayBound = seconds(2);
constexpr int kMaxDoublings = 10;
constexpr Duration kFailureRetention = seconds(60);

} // namespace

ReconnectBackoff::ReconnectBackoff(uint64_t aSeed)
  : random_(aSeed)
{
}

bool ReconnectBackoff::MayConnect(const Endpoint& aPeer, TimePoint aNow) const
{
  auto found = failures_.find(aPeer);
  return found == failures_.end() || aNow >= found->second.nextAttempt;
}

void ReconnectBackoff::OnConnectFailed(const Endpoint& aPeer, TimePoint aNow)
{
  Failures& failures = failures_[aPeer];
  int doublings = std::min(failures.consecutive, kMaxDoublings);
  Duration bound = std::min(kMaxDelayBound, kInitialDelayBound * (1 << doublings));
  std::uniform_int_distribution<Duration::rep> jitter(0, bound.count());
  ++failures.consecutive;
  failures.lastFailure = aNow;
  failures.nextAttempt = aNow + Duration(jitter(random_));
}

void ReconnectBackoff::OnConnected(const Endpoint& aPeer)
{
  failures_.erase(aPeer);
}

void ReconnectBackoff::RemoveExpired(TimePoint aNow)
{
  for (auto entry = failures_.begin(); entry != failures_.end();) {
    entry = aNow - entry->second.lastFailure > kFailureRetention ? failures_.erase(entry)
                                                                 : std::next(entry);
  }
}

} // namespace dandelion
