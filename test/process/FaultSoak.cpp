/// Fault soak with a few fixed seeds. `SOAK_SEEDS=FIRST-LAST` runs that range of seeds instead; see
/// scripts/run_soak.
#include "support/Check.h"
#include "support/Soak.h"

#include <cstdio>
#include <cstdlib>

using namespace dandelion;
using namespace dandelion::testing;

namespace {

/// Seeds of every run. Seeds that have failed once are added here, each with its cause.
constexpr uint64_t kSeeds[] = { 1, 2 };

std::vector<uint64_t> Seeds()
{
  const char* range = std::getenv("SOAK_SEEDS");
  uint64_t first = 0;
  uint64_t last = 0;
  if (range == nullptr || std::sscanf(range, "%lu-%lu", &first, &last) != 2) {
    return { std::begin(kSeeds), std::end(kSeeds) };
  }
  std::vector<uint64_t> seeds;
  for (uint64_t seed = first; seed <= last; ++seed) {
    seeds.push_back(seed);
  }
  return seeds;
}

} // namespace

Test(soak, no_invariant_is_violated_while_faults_overlap)
{
  for (uint64_t seed : Seeds()) {
    SoakPlan plan;
    plan.seed = seed;
    std::vector<std::string> violations = Soak(plan).Run();
    for (const std::string& line : violations) {
      fmt::print(stderr, "soak, seed {}: {}\n", seed, line);
    }
    fmt::print(stderr, "soak, seed {}: {}\n", seed, violations.empty() ? "passed" : "FAILED");
    cr_expect(violations.empty(), "seed %lu", static_cast<unsigned long>(seed));
  }
}
