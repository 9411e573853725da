/// Guards against deltas that produce a configuration other than the intended one, or are applied
/// to a parent that they were not computed from.
#include "support/Check.h"

#include "release/Release.h"

using namespace dandelion;

namespace {

Configuration ArbitraryConfiguration(Version aVersion)
{
  Configuration configuration;
  configuration.version = aVersion;
  configuration.services["s"] = { ServiceSpec{ "s" }, 0 };
  int routes = *rc::gen::inRange(0, 12);
  for (int i = 0; i < routes; ++i) {
    std::string name = fmt::format("r{}", *rc::gen::inRange(0, 20));
    PolicySpec policy;
    policy.name = fmt::format("p{}", *rc::gen::inRange(0, 4));
    policy.timeoutMs = *rc::gen::inRange<int64_t>(1, 5);
    configuration.policies[policy.name] = { policy, 0 };
    configuration.routes[name] = { RouteSpec{ name, "/" + name + "/", "s", policy.name }, 0 };
  }
  int accounts = *rc::gen::inRange(0, 4);
  for (int i = 0; i < accounts; ++i) {
    AccountSpec account;
    account.name = fmt::format("c{}", *rc::gen::inRange(0, 5));
    account.keyDigests = { std::string(kKeyDigestDigits, account.name[1]) };
    account.ratePerS = *rc::gen::inRange<int64_t>(0, 3);
    configuration.accounts[account.name] = { account, 0 };
  }
  configuration.limits.idleTimeoutMs = *rc::gen::inRange<int64_t>(1, 9);
  return configuration;
}

} // namespace

Test(deltas, reproduce_the_resulting_configuration)
{
  CHECK_PROPERTY("any two configurations", [] {
    Configuration parent = ArbitraryConfiguration(3);
    Configuration result = ArbitraryConfiguration(8);
    ConfigurationDelta delta = MakeDelta(parent, HashOf(parent), result, HashOf(result));
    auto applied = ApplyDelta(parent, HashOf(parent), delta);
    RC_ASSERT(applied.ok());
    RC_ASSERT(HashOf(*applied) == HashOf(result));
  });
}

Test(deltas, advance_a_replica_from_any_remembered_version)
{
  CHECK_PROPERTY("any sequence of versions", [] {
    Replica ahead;
    Replica behind;
    Version version = 1;
    int steps = *rc::gen::inRange(2, 10);
    int lastShared = *rc::gen::inRange(0, steps);
    for (int i = 0; i < steps; ++i) {
      version += *rc::gen::inRange<Version>(1, 5);
      Configuration next = ArbitraryConfiguration(version);
      RC_ASSERT(ahead.ApplySnapshot(next, HashOf(next)).ok());
      if (i <= lastShared) {
        RC_ASSERT(behind.ApplySnapshot(next, HashOf(next)).ok());
      }
    }
    auto deltas = ahead.DeltasAfter(behind.Current()->version);
    RC_ASSERT(deltas.has_value());
    for (const ConfigurationDelta& delta : *deltas) {
      RC_ASSERT(behind.AdvanceByDelta(delta).ok());
    }
    RC_ASSERT(behind.CurrentHash() == ahead.CurrentHash());
  });
}

Test(deltas, leave_a_replica_with_a_different_parent_unchanged)
{
  Configuration parent;
  parent.version = 3;
  Configuration result;
  result.version = 5;
  ConfigurationDelta delta = MakeDelta(parent, HashOf(parent), result, HashOf(result));
  Replica replica;
  cr_assert(KindOf(replica.AdvanceByDelta(delta)) == ErrorKind::VersionGap);
  Configuration other = parent;
  other.limits.idleTimeoutMs = 7;
  cr_assert(replica.ApplySnapshot(other, HashOf(other)).ok());
  cr_assert(KindOf(replica.AdvanceByDelta(delta)) == ErrorKind::WrongHash);
  cr_assert_eq(replica.Current()->version, 3);
}
