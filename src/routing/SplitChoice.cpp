#include "routing/SplitChoice.h"

namespace dandelion {

namespace {

/// 2^64 divided by the golden ratio: its multiples modulo 2^64 are evenly distributed (Fibonacci
/// hashing).
constexpr uint64_t kGoldenRatioStep = 0x9e3779b97f4a7c15;

} // namespace

SplitChoice::SplitChoice(uint64_t aSeed)
  : seed_(aSeed)
{
}

const std::string& SplitChoice::Choose(const RouteSpec& aRoute)
{
  uint64_t total = 0;
  for (const WeightedService& entry : aRoute.split) {
    total += static_cast<uint64_t>(entry.weight);
  }
  if (total == 0) {
    return aRoute.service;
  }
  uint64_t start = HashBytes(aRoute.name, seed_);
  uint64_t point = start + kGoldenRatioStep * callCounts_[aRoute.name]++;
  // Only the upper 32 bits are used, so that the product fits into 64 bits.
  uint64_t position = ((point >> 32) * total) >> 32;
  for (const WeightedService& entry : aRoute.split) {
    uint64_t weight = static_cast<uint64_t>(entry.weight);
    if (position < weight) {
      return entry.service;
    }
    position -= weight;
  }
  return aRoute.split.back().service;
}

} // namespace dandelion
