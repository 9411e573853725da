/// Guards against nodes that keep an older version for longer than `kApplyLimit` because nothing
/// reaches them: watches, relays and links may fall silent at any time and in any order.
#include "support/Check.h"

#include "spread/Spread.h"

using namespace dandelion;

namespace {

TimePoint At(int64_t aMilliseconds)
{
  return TimePoint(milliseconds(aMilliseconds));
}

} // namespace

Test(freshness, node_asks_the_store_in_time_when_all_messages_stop)
{
  CHECK_PROPERTY("confirmations that stop at any time", [] {
    Freshness freshness{ At(0) };
    freshness.OnVersionInForce(7);
    // Messages in any order: copies, delayed ones, and ones about the time before this version.
    int64_t now = 0;
    int64_t newest = 0;
    int messages = *rc::gen::inRange(0, 60);
    for (int i = 0; i < messages; ++i) {
      now += *rc::gen::inRange<int64_t>(0, 900);
      int64_t asOf = std::max<int64_t>(0, now - *rc::gen::inRange<int64_t>(0, 3000));
      Version version = *rc::gen::element<Version>(5, 6, 7);
      freshness.OnConfirmed(version, At(asOf), 0);
      newest = std::max(newest, asOf);
    }
    // A later version may be accepted right after the newest confirmation.
    TimePoint accepted = At(newest);
    TimePoint check = At(now);
    while (freshness.IsConfirmed(check)) {
      check += kFreshnessCheckPeriod;
    }
    TimePoint latestUseful = accepted + kApplyLimit - kReadAllowance;
    RC_ASSERT(check <= std::max(latestUseful, At(now)));
  });
}

Test(freshness, later_version_counts_as_confirmed_only_once_it_is_in_force)
{
  Freshness freshness{ At(0) };
  freshness.OnVersionInForce(7);
  freshness.OnConfirmed(9, At(5000), 40);
  cr_assert_not(freshness.IsConfirmed(At(5000)));
  freshness.OnVersionInForce(8);
  cr_assert_not(freshness.IsConfirmed(At(5000)));
  cr_assert_eq(freshness.Revision(), 0);
  freshness.OnVersionInForce(9);
  cr_assert(freshness.IsConfirmed(At(5000)));
  cr_assert_eq(freshness.Revision(), 40);
}

/// Guards against nodes that all ask the store while versions follow each other faster than
/// confirmations.
Test(freshness, confirmation_counts_for_later_versions_in_force)
{
  Freshness freshness{ At(0) };
  freshness.OnConfirmed(8, At(5000), 40);
  freshness.OnVersionInForce(9);
  cr_assert(freshness.IsConfirmed(At(5000)));
  freshness.OnConfirmed(8, At(6000), 40);
  cr_assert_eq(freshness.ConfirmedAt(), At(6000));
}

/// Guards against datagrams that members pass to each other in a circle without end.
Test(freshness, copies_of_one_confirmation_are_sent_once)
{
  Freshness freshness{ At(0) };
  cr_assert(freshness.ShouldSend(At(1000)));
  cr_assert_not(freshness.ShouldSend(At(1000)));
  cr_assert_not(freshness.ShouldSend(At(900)));
  cr_assert(freshness.ShouldSend(At(1000) + kMinConfirmationInterval));
}

/// Guards against a node that keeps pulling from peers behind silent links instead of asking the
/// store.
Test(catch_up, peers_that_do_not_deliver_keep_no_node_from_the_store)
{
  CHECK_PROPERTY("the store is read in time", [] {
    CatchUp catchUp(kPushWait);
    catchUp.OnVersionInForce(5, At(0));
    constexpr int kCheckMs = 50;
    std::optional<int> readAt;
    for (int now = 0; now <= 5000 && !readAt.has_value(); now += kCheckMs) {
      bool isReported = now == 0 || *rc::gen::inRange(0, 4) == 0;
      if (isReported) {
        Endpoint peer{ "10.0.0.1", static_cast<uint16_t>(*rc::gen::inRange(1, 4)) };
        catchUp.OnVersionSeen(peer, *rc::gen::inRange<Version>(6, 9));
      }
      std::optional<CatchUpEffect> effect = catchUp.Next(At(now));
      if (effect.has_value() && std::holds_alternative<PullFromStore>(*effect)) {
        readAt = now;
      }
    }
    RC_ASSERT(readAt.has_value());
    RC_ASSERT(milliseconds(*readAt) <= kApplyLimit - kReadAllowance);
  });
}
