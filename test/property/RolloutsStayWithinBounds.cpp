/// Guards against a bad version that gets more calls than the bounds allow, against a good version
/// that is not completed before its deadline, and against a bad one that is. Load: see
/// RolloutWorld, 30 to 300 calls per second, 3 to 8 upstreams of each version, orders of 12 to 20
/// s.
#include "support/Check.h"
#include "support/RolloutWorld.h"

using namespace dandelion;
using namespace dandelion::testing;

namespace {

RolloutWorldSettings AnySettings()
{
  RolloutWorldSettings settings;
  settings.upstreamsPerVersion = *rc::gen::inRange(3, 9);
  settings.callsPerSecond = *rc::gen::inRange(30, 300);
  settings.duration = milliseconds(*rc::gen::inRange(12000, 20000));
  settings.seed = *rc::gen::inRange<uint64_t>(1, 1000000);
  return settings;
}

RolloutWorldSettings AnyBadSettings()
{
  RolloutWorldSettings settings = AnySettings();
  settings.targetFault = kBadFaults[*rc::gen::inRange<size_t>(0, std::size(kBadFaults))];
  if (settings.targetFault == Fault::UnderLoad) {
    // About two calls at a time; with fewer there is no load that could show the fault.
    settings.callsPerSecond =
      std::max(settings.callsPerSecond, 40.0 * settings.upstreamsPerVersion);
  }
  return settings;
}

RolloutStage StageOf(const RolloutWorld& aWorld)
{
  return aWorld.record.has_value() ? aWorld.record->stage : RolloutStage::Canary;
}

void CheckBounds(const RolloutWorld& aWorld)
{
  RC_LOG() << "calls " << aWorld.serviceCalls << ", of the target " << aWorld.targetCalls
           << ", bad " << aWorld.badAnswers << ", refused " << aWorld.refusedCalls << ", stage "
           << NameOf(StageOf(aWorld)) << ", reason "
           << (aWorld.record.has_value() ? aWorld.record->reason : "") << "\n";
  RC_ASSERT(!aWorld.hasExceededExposure);
  RC_ASSERT(!aWorld.hasExceededRollback);
}

void CheckDecision(const RolloutWorldSettings& aSettings, RolloutStage aExpected)
{
  RolloutWorld world(aSettings);
  world.Run();
  if (aExpected == RolloutStage::RolledBack) {
    CheckBounds(world);
  }
  RC_LOG() << "fault " << static_cast<int>(aSettings.targetFault) << "; decided at "
           << (world.decidedAt.has_value() ? ToMilliseconds(*world.decidedAt) : -1) << " of "
           << ToMilliseconds(aSettings.duration) << " ms: " << NameOf(StageOf(world)) << ", "
           << (world.record.has_value() ? world.record->reason : "") << "\n";
  RC_ASSERT(StageOf(world) == aExpected);
  RC_ASSERT(*world.decidedAt < aSettings.duration);
}

} // namespace

Test(rollouts, good_version_is_completed_before_its_deadline)
{
  CHECK_PROPERTY("a good version", [] {
    RolloutWorldSettings settings = AnySettings();
    CheckDecision(settings, RolloutStage::Completed);
  });
}

Test(rollouts, good_version_costs_no_calls_and_few_calls_to_the_store)
{
  CHECK_PROPERTY("a good version", [] {
    RolloutWorldSettings settings = AnySettings();
    settings.judges = 2;
    RolloutWorld world(settings);
    world.Run();
    RC_ASSERT(world.refusedCalls == 0);
    // Two per judge and second at most, whatever the load.
    RC_ASSERT(world.storeCalls <= 4 * (settings.duration / seconds(1)));
  });
}

Test(rollouts, bad_version_is_rolled_back_within_its_bounds)
{
  CHECK_PROPERTY("five ways of being bad", [] {
    RolloutWorldSettings settings = AnyBadSettings();
    CheckDecision(settings, RolloutStage::RolledBack);
  });
}

Test(rollouts, bounds_hold_where_both_versions_are_bad)
{
  CHECK_PROPERTY("two bad versions", [] {
    RolloutWorldSettings settings = AnyBadSettings();
    settings.oldFault = Fault::Errors;
    RolloutWorld world(settings);
    world.Run();
    CheckBounds(world);
  });
}

Test(rollouts, good_version_is_completed_although_messages_are_lost)
{
  CHECK_PROPERTY("late, repeated and lost messages, two judges", [] {
    RolloutWorldSettings settings = AnySettings();
    settings.judges = 2;
    settings.lossRate = 0.1;
    settings.duplicateRate = 0.2;
    CheckDecision(settings, RolloutStage::Completed);
  });
}

Test(rollouts, bounds_hold_with_two_judges_and_lost_messages)
{
  CHECK_PROPERTY("late, repeated and lost messages, two judges", [] {
    RolloutWorldSettings settings = AnyBadSettings();
    settings.judges = 2;
    settings.lossRate = 0.1;
    settings.duplicateRate = 0.2;
    CheckDecision(settings, RolloutStage::RolledBack);
  });
}

Test(rollouts, bounds_hold_while_the_store_is_down)
{
  CHECK_PROPERTY("a store that is down from any moment", [] {
    RolloutWorldSettings settings = AnyBadSettings();
    settings.judges = *rc::gen::inRange<size_t>(1, 3);
    settings.storeDownAt = milliseconds(*rc::gen::inRange(0, 12000));
    RolloutWorld world(settings);
    world.Run();
    CheckBounds(world);
  });
}

Test(rollouts, bounds_hold_when_all_nodes_restart)
{
  CHECK_PROPERTY("a restart of all nodes midway", [] {
    RolloutWorldSettings settings = AnyBadSettings();
    settings.judges = *rc::gen::inRange<size_t>(1, 3);
    settings.restartAt = milliseconds(*rc::gen::inRange(500, 12000));
    RolloutWorld world(settings);
    world.Run();
    CheckBounds(world);
    RC_ASSERT(StageOf(world) == RolloutStage::RolledBack);
  });
}
