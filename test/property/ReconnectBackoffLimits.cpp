/// The delays between connection attempts grow, are bounded, and are reset after a success.
///
/// Without a bound, a recovered peer stays disconnected for too long. Without jitter, nodes that
/// lost the same peer at the same time reconnect to it at the same time. If expired entries were
/// kept, the table would grow with each failed peer.
#include "support/Check.h"

#include "wire/Wire.h"

using namespace dandelion;

Test(backoff, limits_attempts_and_allows_immediate_retry_after_success)
{
  CHECK_PROPERTY("any seed and any interval between connection requests", [] {
    ReconnectBackoff backoff(*rc::gen::arbitrary<uint64_t>());
    Endpoint peer{ "10.0.0.1", 7002 };
    Duration interval = milliseconds(*rc::gen::inRange(1, 50));
    TimePoint now;
    int attempts = 0;
    for (; now < TimePoint(seconds(60)); now += interval) {
      if (backoff.MayConnect(peer, now)) {
        ++attempts;
        backoff.OnConnectFailed(peer, now);
      }
    }
    // Full jitter with a bound of 2 s gives one attempt per second on average.
    RC_ASSERT(attempts >= 30);
    RC_ASSERT(attempts <= 150);
    RC_ASSERT(backoff.MayConnect(peer, now + seconds(2)));
    backoff.OnConnected(peer);
    RC_ASSERT(backoff.MayConnect(peer, now));
  });
}

Test(backoff, spreads_first_retries_of_many_nodes)
{
  Endpoint peer{ "10.0.0.1", 7002 };
  std::map<int64_t, int> attemptsInInterval;
  constexpr int kNodeCount = 1000;
  for (uint64_t seed = 0; seed < kNodeCount; ++seed) {
    ReconnectBackoff backoff(seed);
    TimePoint now;
    for (int i = 0; i < 6; ++i) {
      backoff.OnConnectFailed(peer, now);
    }
    while (!backoff.MayConnect(peer, now)) {
      now += milliseconds(1);
    }
    ++attemptsInInterval[ToMilliseconds(now - TimePoint()) / 100];
  }
  // 1000 attempts spread over 1.6 s give about 62 in each interval of 100 ms.
  for (const auto& [intervalIndex, attempts] : attemptsInInterval) {
    cr_assert_leq(attempts, 100);
  }
}

Test(backoff, removes_peers_after_retention_time)
{
  ReconnectBackoff backoff(1);
  for (uint16_t port = 1; port <= 1000; ++port) {
    backoff.OnConnectFailed(Endpoint{ "10.0.0.1", port }, TimePoint());
  }
  backoff.RemoveExpired(TimePoint(seconds(61)));
  cr_assert_eq(backoff.TrackedPeers(), 0);
}
