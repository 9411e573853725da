#include "routing/Hedging.h"

#include <algorithm>

namespace dandelion {

namespace {

/// The quantile of answer times after which a call counts as late.
constexpr double kLateQuantile = 0.95;
/// Step of the estimate, as a share of its value.
constexpr double kStep = 0.05;
constexpr int64_t kSamplesNeeded = 20;
constexpr Duration kShortestDelay = milliseconds(2);
constexpr int64_t kHedgeCost = 100;
/// Each call earns this much, so that at most four calls in a hundred are hedged.
constexpr int64_t kEarnedPerCall = 4;
constexpr int64_t kMaxSaved = 1000;

bool IsHedgedClass(TrafficClass aClass)
{
  return aClass != TrafficClass::Bulk && aClass != TrafficClass::Background;
}

} // namespace

HedgeStrategy MakeHedgeStrategy(HedgeName aName)
{
  switch (aName) {
    case HedgeName::None:
      return NoHedge{};
    case HedgeName::Late:
      return HedgeLate{};
  }
  return NoHedge{};
}

Hedging::Hedging(HedgeStrategy aStrategy)
  : strategy_(aStrategy)
{
}

std::optional<Duration> Hedging::DelayFor(const std::string& aService,
                                          TrafficClass aClass,
                                          bool aIsIdempotent)
{
  saved_ = std::min(kMaxSaved, saved_ + kEarnedPerCall);
  auto late = [&](const HedgeLate&) -> std::optional<Duration> {
    const Estimate& estimate = estimates_[aService];
    if (!aIsIdempotent || !IsHedgedClass(aClass) || estimate.samples < kSamplesNeeded) {
      return std::nullopt;
    }
    return std::max(kShortestDelay, Duration(static_cast<int64_t>(estimate.microseconds)));
  };
  auto never = [](const NoHedge&) -> std::optional<Duration> { return std::nullopt; };
  return std::visit(Overloaded{ never, late }, strategy_);
}

bool Hedging::Spend()
{
  if (saved_ < kHedgeCost) {
    return false;
  }
  saved_ -= kHedgeCost;
  return true;
}

void Hedging::OnAnswered(const std::string& aService, Duration aTaken)
{
  Estimate& estimate = estimates_[aService];
  double sample = static_cast<double>(aTaken.count());
  ++estimate.samples;
  if (estimate.samples == 1) {
    estimate.microseconds = sample;
    return;
  }
  // Up by much for the few samples above, down by little for the many below: the two balance
  // where the wanted share of samples lies below.
  double share = sample > estimate.microseconds ? kLateQuantile : kLateQuantile - 1;
  estimate.microseconds = std::max(1.0, estimate.microseconds * (1 + kStep * share));
}

} // namespace dandelion
