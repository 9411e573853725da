/// The calls of an account that pass through all nodes together stay within its cap, and no call is
/// refused below it.
///
/// Guards against tokens that are counted twice when nodes, owners or links fail, and against
/// tokens that are lost in shares too small to use. Load: Poisson arrivals at up to 7.5 times the
/// usual rate of an account, caps of 1.6 times that rate, bursts of one second of it.
#include "support/CapMesh.h"
#include "support/Check.h"

using namespace dandelion;
using namespace dandelion::testing;

namespace {

constexpr double kWindowS = 5;
constexpr CapTolerance kTolerance{ 0.1, 20 };

struct Result
{
  size_t taken = 0;
  size_t refused = 0;
  /// Refused although one token bucket for all nodes would have had a token.
  size_t wasted = 0;
  /// The most calls that passed in a window, less the bound.
  double excess = -1e9;
};

UsageCap CapFor(double aUsualRate)
{
  return UsageCap{ 1.6 * aUsualRate, std::max(1.0, aUsualRate) };
}

double SecondsOf(Duration aTime)
{
  return std::chrono::duration<double>(aTime).count();
}

Result Judge(const std::vector<CapMesh::Call>& aCalls, const UsageCap& aCap, TimePoint aFrom)
{
  Result result;
  std::deque<TimePoint> window;
  double bound =
    (aCap.ratePerS * kWindowS + aCap.burst) * (1 + kTolerance.overage) + kTolerance.slack;
  double level = aCap.burst;
  TimePoint at = aFrom;
  for (const CapMesh::Call& call : aCalls) {
    if (call.at < aFrom) {
      continue;
    }
    level = std::min(aCap.burst, level + aCap.ratePerS * SecondsOf(call.at - at));
    at = call.at;
    if (!call.isTaken) {
      ++result.refused;
      result.wasted += level >= 1 ? 1 : 0;
      continue;
    }
    ++result.taken;
    level -= 1;
    window.push_back(call.at);
    while (SecondsOf(call.at - window.front()) > kWindowS) {
      window.pop_front();
    }
    result.excess = std::max(result.excess, static_cast<double>(window.size()) - bound);
  }
  return result;
}

/// Sends the calls of one millisecond to nodes that `aChoose` returns.
template<class Choose>
void ArriveAtRate(CapMesh& aMesh, const std::string& aAccount, double aRate, Choose aChoose)
{
  int calls = std::poisson_distribution<int>(aRate / 1000)(aMesh.random);
  for (int i = 0; i < calls; ++i) {
    aMesh.Arrive(aChoose(), aAccount);
  }
}

/// A load on 81 nodes of two regions, after the time in which new owners collect their shares.
struct Load
{
  explicit Load(double aUsualRate)
    : cap(CapFor(aUsualRate))
    , usual(aUsualRate)
    , mesh(81, 2, { { "a", cap } })
  {
    mesh.Run(seconds(5));
    from = mesh.Now();
  }

  template<class Choose>
  void Run(Duration aTime, double aTimesUsual, Choose aChoose)
  {
    mesh.Run(aTime, [&] { ArriveAtRate(mesh, "a", usual * aTimesUsual, aChoose); });
  }
  size_t Anywhere() { return mesh.random() % mesh.Size(); }
  size_t InRegion(size_t aRegion) { return aRegion + 2 * (mesh.random() % 40); }
  Result Judged() { return Judge(mesh.CallsOf("a"), cap, from); }

  UsageCap cap;
  double usual;
  CapMesh mesh;
  TimePoint from;
};

void ExpectLittleWaste(const Result& aResult, double aShare)
{
  cr_expect(aResult.excess <= 0, "%f calls over the bound", aResult.excess);
  double calls = static_cast<double>(aResult.taken + aResult.refused);
  cr_expect(static_cast<double>(aResult.wasted) <= aShare * calls + 1,
            "%zu of %f calls were refused below the cap",
            aResult.wasted,
            calls);
}

constexpr double kRates[] = { 1.9, 20, 300 };

} // namespace

Test(usage_caps, waste_nothing_below_the_cap)
{
  for (double usual : kRates) {
    Load spread(usual);
    spread.Run(seconds(15), 1, [&] { return spread.Anywhere(); });
    ExpectLittleWaste(spread.Judged(), 0.005);
    Load skewed(usual);
    skewed.Run(seconds(15), 1.4, [&] { return skewed.mesh.random() % 2 * 17; });
    ExpectLittleWaste(skewed.Judged(), 0.01);
  }
}

Test(usage_caps, follow_clients_between_zones_and_regions)
{
  for (double usual : kRates) {
    Load load(usual);
    for (size_t move = 0; move < 8; ++move) {
      load.Run(seconds(2), 1.3, [&] { return load.InRegion(move % 2); });
    }
    ExpectLittleWaste(load.Judged(), 0.02);
  }
}

Test(usage_caps, bind_a_hot_account_and_give_it_its_cap)
{
  for (double usual : kRates) {
    for (bool isSpread : { true, false }) {
      Load load(usual);
      load.Run(seconds(15), 7.5, [&] { return isSpread ? load.Anywhere() : 3; });
      Result result = load.Judged();
      cr_expect(result.excess <= 0, "%f calls over the bound", result.excess);
      double owed = load.cap.ratePerS * 15;
      cr_expect(static_cast<double>(result.taken) >= 0.95 * owed,
                "only %zu of %f passed",
                result.taken,
                owed);
    }
  }
}

Test(usage_caps, keep_no_old_tokens_in_stock)
{
  Load load(300);
  for (size_t node = 0; node < 40; ++node) {
    load.Run(milliseconds(400), 0.6, [&] { return node; });
  }
  load.Run(seconds(6), 7.5, [&] { return load.Anywhere(); });
  cr_expect(load.Judged().excess <= 0, "%f calls over the bound", load.Judged().excess);
}

Test(usage_caps, survive_the_loss_of_an_owner)
{
  for (double usual : kRates) {
    Load load(usual);
    auto anywhere = [&] { return load.Anywhere(); };
    load.Run(seconds(3), 1, anywhere);
    size_t owner = load.mesh.OwnerIn("region-0", "a");
    load.mesh.Kill(owner);
    auto elsewhere = [&] { return (owner + 1 + load.mesh.random() % 80) % 81; };
    load.Run(seconds(1), 1, elsewhere);
    load.mesh.Announce();
    load.Run(seconds(5), 1, elsewhere);
    load.mesh.Restart(owner);
    load.mesh.Announce();
    load.Run(seconds(5), 1, elsewhere);
    // Two changes of the owner of one region: its half of the calls for at most a second each.
    Result result = load.Judged();
    cr_expect(result.excess <= 0, "%f calls over the bound", result.excess);
    cr_expect(static_cast<double>(result.wasted) <= usual + 2, "%zu calls wasted", result.wasted);
  }
}

Test(usage_caps, bind_in_a_partition_and_lower_at_once)
{
  for (double usual : kRates) {
    Load load(usual);
    auto anywhere = [&] { return load.Anywhere(); };
    load.mesh.fate = [&](size_t aFrom, size_t aTo, std::vector<Duration>& aDelays) {
      if (load.mesh.RegionOf(aFrom) != load.mesh.RegionOf(aTo)) {
        aDelays.clear();
      }
    };
    load.Run(seconds(7), 7.5, anywhere);
    load.mesh.fate = [](size_t, size_t, std::vector<Duration>&) {};
    load.Run(seconds(7), 7.5, anywhere);
    cr_expect(load.Judged().excess <= 0);
    UsageCap lower{ load.cap.ratePerS / 2, load.cap.burst / 2 };
    load.mesh.SetCaps({ { "a", lower } });
    TimePoint loweredAt = load.mesh.Now();
    load.Run(seconds(12), 7.5, anywhere);
    Result result = Judge(load.mesh.CallsOf("a"), lower, loweredAt + seconds(5));
    cr_expect(result.excess <= 0, "%f calls over the lowered bound", result.excess);
  }
}

Test(usage_caps, count_members_that_are_out_of_touch)
{
  MemberTable table;
  auto set = [&](const char* aId, const char* aZone, MemberState aState) {
    Member member;
    member.id = aId;
    member.zone = aZone;
    member.incarnation = 1;
    member.state = aState;
    table.Merge(member);
  };
  TimePoint now;
  CapMembers members;
  set("a", "near", MemberState::Alive);
  set("b", "near", MemberState::Alive);
  set("c", "far", MemberState::Alive);
  set("d", "far", MemberState::Alive);
  cr_expect(members.Count(table, now) == 4);
  set("c", "far", MemberState::Gone);
  cr_expect(members.Count(table, now + kLostShareTime) == 3, "a lost member's share is given up");
  set("d", "far", MemberState::Gone);
  table.Erase("d");
  cr_expect(members.Count(table, now + 9 * kLostShareTime) == 4, "a lost zone may be a partition");
  set("b", "near", MemberState::Leaving);
  cr_expect(members.Count(table, now + 10 * kLostShareTime) == 3);
}

Test(usage_caps, bind_under_any_faults)
{
  CHECK_PROPERTY("delays, duplicates, losses, pauses, restarts and different views", [] {
    size_t nodes = *rc::gen::inRange<size_t>(1, 24);
    size_t regions = *rc::gen::inRange<size_t>(1, 3);
    double usual = *rc::gen::element(1.0, 10.0, 200.0);
    int trouble = *rc::gen::inRange(0, 30);
    UsageCap cap = CapFor(usual);
    CapMesh mesh(nodes, regions, { { "a", cap } });
    mesh.random.seed(*rc::gen::arbitrary<uint64_t>());
    auto happens = [&](int aOneIn) { return mesh.random() % static_cast<uint64_t>(aOneIn) == 0; };
    mesh.fate = [&](size_t, size_t, std::vector<Duration>& aDelays) {
      if (trouble > 0 && happens(200 / trouble)) {
        aDelays.push_back(milliseconds(mesh.random() % 700));
      }
      if (trouble > 0 && happens(200 / trouble)) {
        aDelays.front() = milliseconds(mesh.random() % 700);
      }
      if (trouble > 0 && happens(400 / trouble)) {
        aDelays.clear();
      }
    };
    mesh.Run(seconds(12), [&] {
      ArriveAtRate(mesh, "a", 7.5 * usual, [&] { return mesh.random() % nodes; });
      size_t node = mesh.random() % nodes;
      if (trouble > 0 && happens(30000 / trouble)) {
        mesh.Pause(node, milliseconds(mesh.random() % 1500));
      }
      if (trouble > 0 && happens(60000 / trouble)) {
        mesh.Restart(node);
      }
      // A view in which some members are missing, so that several owners are believed in.
      if (trouble > 0 && happens(20000 / trouble)) {
        MemberTable view;
        for (size_t i = 0; i < nodes; ++i) {
          Member member;
          member.id = fmt::format("{}", i);
          member.region = mesh.RegionOf(i);
          if (i == node || !happens(3)) {
            view.Merge(member);
          }
        }
        mesh.ApplyOwners(node, FindCapOwners(view, mesh.RegionOf(node)));
      }
    });
    Result result = Judge(mesh.CallsOf("a"), cap, TimePoint());
    RC_ASSERT(result.excess <= 0);
    RC_ASSERT(mesh.spins == 0);
    if (trouble == 0) {
      RC_ASSERT(static_cast<double>(result.taken) >= 0.9 * cap.ratePerS * 11);
    }
  });
}
