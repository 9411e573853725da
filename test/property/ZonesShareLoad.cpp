/// Guards against calls that leave their zone where that does not pay, against nodes that swing
/// between zones, and against work that is lost because another zone's figures are wrong. Guards
/// also against all nodes sending to the fastest upstreams, since each node learns speeds alone.
///
/// Load: two regions of two zones, 20 callers and six upstreams (speeds 0.6, 1.0 and 1.4) in each,
/// demand in waves of plus or minus 0.55 out of phase, 40 s of which the last 20 s count. The
/// target is 500 ms and the work 150 ms.
#include "support/Check.h"
#include "support/ZoneLoad.h"

using namespace dandelion;
using namespace dandelion::testing;

namespace {

constexpr double kLoads[] = { 0.6, 0.8, 0.95 };
const ZonePrices kPrices{ milliseconds(20), milliseconds(60), 250 * 1024 };

ZoneLoad Play(ZoneLoadSpec aSpec, bool aSharesZones)
{
  if (aSharesZones) {
    aSpec.prices = kPrices;
  }
  ZoneLoad load(aSpec);
  load.Run();
  return load;
}

double AcceptedShare(const ZoneLoad& aLoad)
{
  return aLoad.InTimeShare() + aLoad.LateShare();
}

} // namespace

Test(zone_shares, send_less_between_zones_and_regions_and_accept_as_much)
{
  for (double load : kLoads) {
    ZoneLoadSpec spec;
    spec.load = load;
    ZoneLoad earliest = Play(spec, false);
    ZoneLoad shared = Play(spec, true);
    cr_assert_leq(shared.leftRegion * 100, earliest.leftRegion * 70, "between regions at %g", load);
    cr_assert_lt(shared.leftZone + shared.leftRegion,
                 earliest.leftZone + earliest.leftRegion,
                 "between zones at %g",
                 load);
    cr_assert_gt(AcceptedShare(shared), AcceptedShare(earliest) - 0.005, "accepted at %g", load);
    cr_assert_gt(shared.InTimeShare(), earliest.InTimeShare() - 0.025, "in time at %g", load);
    cr_assert_leq(shared.Swings(0.2), 10, "%d swings at %g", shared.Swings(0.2), load);
  }
}

Test(zone_shares, do_not_swing_while_demand_is_constant)
{
  for (double load : kLoads) {
    ZoneLoadSpec spec;
    spec.load = load;
    spec.skew = { 1.5, 0.8, 0.9, 0.8 };
    ZoneLoad shared = Play(spec, true);
    cr_assert_leq(shared.Swings(0.2), 1, "%d swings at %g", shared.Swings(0.2), load);
    cr_assert_gt(AcceptedShare(shared), 0.99, "accepted at %g", load);
  }
}

Test(zone_shares, lose_no_work_to_wrong_figures_of_another_zone)
{
  ZoneLoadSpec spec;
  spec.load = 0.95;
  double usual = AcceptedShare(Play(spec, true));
  for (ZoneFault fault :
       { ZoneFault::Old, ZoneFault::Missing, ZoneFault::TooGood, ZoneFault::TooBad }) {
    spec.fault = fault;
    double accepted = AcceptedShare(Play(spec, true));
    cr_assert_gt(accepted,
                 usual - 0.005,
                 "fault %d: %g, usually %g",
                 static_cast<int>(fault),
                 accepted,
                 usual);
  }
}

Test(zone_shares, serve_the_callers_of_a_zone_whose_upstreams_are_lost)
{
  ZoneLoadSpec spec;
  spec.load = 0.6;
  spec.fault = ZoneFault::Lost;
  ZoneLoad shared = Play(spec, true);
  cr_assert_gt(shared.InTimeShare(), 0.99, "%g in time", shared.InTimeShare());
}

Test(zone_shares, keep_budget_between_regions)
{
  ZoneShares shares(ZonePrices{ milliseconds(20), milliseconds(60), 1000 }, 1);
  TimePoint now(seconds(1));
  int sent = 0;
  for (int i = 0; i < 1000; ++i) {
    now += milliseconds(10);
    if (shares.HasRegionBudget(100, now)) {
      shares.TakeRegionBudget(100);
      ++sent;
    }
  }
  // 10 s at ten calls of 100 bytes a second, after a burst of one second.
  cr_assert_leq(sent, 111, "%d", sent);
  cr_assert_geq(sent, 105, "%d", sent);
}

Test(earliest_finish, spreads_calls_over_upstreams_of_different_speeds)
{
  // With zone sharing: 80 callers and nine upstreams in one zone. Each fast upstream has 0.156 of
  // the capacity.
  ZoneLoadSpec spec;
  spec.zones = 1;
  spec.callersPerZone = 80;
  spec.upstreamsPerZone = 9;
  spec.skew = { 1 };
  spec.load = 0.95;
  ZoneLoad load = Play(spec, true);
  cr_assert_gt(load.InTimeShare(), 0.985, "%g in time", load.InTimeShare());
  cr_assert_lt(load.BusiestShare(), 0.17, "busiest: %g", load.BusiestShare());
  spec.load = 0.8;
  cr_assert_gt(Play(spec, true).InTimeShare(), 0.999);
}
