/// Limits of chained calls: a call that an upstream makes on behalf of another call has the limits
/// of the first call. Otherwise the retries of all levels of a chain would multiply.
#include "support/Check.h"
#include "support/Cluster.h"

using namespace dandelion;
using namespace dandelion::testing;

namespace {

/// Returns the `x-chain` header "s1,s0,s1,...", which with a first call to s0 makes a chain of
/// `aDepth` calls.
std::string ChainOfDepth(int aDepth)
{
  std::string chain;
  for (int i = 1; i < aDepth; ++i) {
    chain += fmt::format("{}s{}", chain.empty() ? "" : ",", i % 2);
  }
  return chain;
}

} // namespace

Test(chains, chain_of_29_calls_completes)
{
  ClusterShape shape{ 8 };
  shape.upstreamSlots = 64;
  Cluster cluster(shape);
  cr_assert(cluster.StartWithFirstNote());
  CallResult call = cluster.Call(0, "GET", "/s0/x", "deep", { { "x-chain", ChainOfDepth(29) } });
  cr_assert_eq(call.outcome, "ran", "%s %s", call.outcome.c_str(), call.error.c_str());
  cr_assert_eq(call.callId, "deep");
  size_t startedCalls = 0;
  for (int i = 0; i < cluster.Size(); ++i) {
    startedCalls += cluster.JournalOf(i).size();
  }
  cr_assert_eq(startedCalls, 29);
}

Test(chains, refusal_is_retried_at_one_level_only)
{
  ClusterShape shape{ 8 };
  shape.upstreamSlots = 64;
  Cluster cluster(shape);
  cr_assert(cluster.StartWithFirstNote());
  // Four calls run before the last call of the chain, which has no route.
  HttpHeaders headers = { { "x-chain", "s1,s0,s1,nowhere" } };
  CallResult call = cluster.Call(0, "GET", "/s0/x", "refused", headers);
  cr_assert_eq(call.outcome, "not-run");
  size_t startedCalls = 0;
  for (int i = 0; i < cluster.Size(); ++i) {
    startedCalls += cluster.JournalOf(i).size();
  }
  // Only the level nearest to the refusal makes more than one attempt.
  cr_assert_leq(static_cast<int64_t>(startedCalls), 3 + PolicySpec().attempts);
}

Test(chains, invalid_limit_headers_are_refused)
{
  Cluster cluster(ClusterShape{ 4 });
  cr_assert(cluster.StartWithFirstNote());
  CallResult call = cluster.Call(0, "GET", "/s0/x", "", { { "dandelion-deadline-ms", "soon" } });
  cr_assert_eq(call.status, 400);
  cr_assert_eq(call.outcome, "not-run");
  cr_assert(call.body.find("dandelion-deadline-ms") != std::string::npos);
  call = cluster.Call(0, "GET", "/s0/x", "", { { "dandelion-class", "royal" } });
  cr_assert_eq(call.error, "usage");
}
