#include "routing/SplitChoice.h"

namespace dandelion {

namespace {

/// 2^64 divided by the golden ratio: multiples of it spread most evenly over the 64-bit circle.
constexpr uint64_t kGoldenRatioStep = 0x9e3779b97f4a7c15;

} // namespace

SplitChoice::SplitChoice(uint64_t aSeed)
  : seed_(aSeed)
{
}

const std::string& SplitChoice::Choose(const RouteSpec& aRoute)
{
  uint64_t total = 0;
  for (const WeightedService& part : aRoute.split) {
    total += static_cast<uint64_t>(part.weight);
  }
  if (total == 0) {
    return aRoute.service;
  }
  uint64_t start = HashBytes(aRoute.name, seed_);
  uint64_t point = start + kGoldenRatioStep * callCounts_[aRoute.name]++;
  // The upper bits only: a product of 32 and 64 bits would not fit.
  uint64_t position = ((point >> 32) * total) >> 32;
  for (const WeightedService& part : aRoute.split) {
    uint64_t weight = static_cast<uint64_t>(part.weight);
    if (position < weight) {
      return part.service;
    }
    position -= weight;
  }
  return aRoute.split.back().service;
}

} // namespace dandelion
