#include "routing/Hedging.h"

#include <algorithm>

namespace dandelion {

namespace {

/// Quantile of answer latencies after which a call is hedged.
constexpr double kHedgeQuantile = 0.95;
/// Step of the quantile estimate, as a share of its value.
constexpr double kRelativeStep = 0.05;
constexpr int64_t kMinSamples = 20;
constexpr Duration kMinDelay = milliseconds(2);
constexpr int64_t kCreditPerHedge = 100;
/// Credit that each call adds, so that at most four calls in a hundred are hedged.
constexpr int64_t kCreditPerCall = 4;
/// Unused credit is kept for up to ten hedges.
constexpr int64_t kMaxCredit = 1000;

bool IsHedgeableClass(TrafficClass aClass)
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
      return HedgeSlowCalls{};
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
  credit_ = std::min(kMaxCredit, credit_ + kCreditPerCall);
  auto late = [&](const HedgeSlowCalls&) -> std::optional<Duration> {
    const QuantileEstimate& estimate = estimates_[aService];
    if (!aIsIdempotent || !IsHedgeableClass(aClass) || estimate.samples < kMinSamples) {
      return std::nullopt;
    }
    return std::max(kMinDelay, Duration(static_cast<int64_t>(estimate.microseconds)));
  };
  auto never = [](const NoHedge&) -> std::optional<Duration> { return std::nullopt; };
  return std::visit(Overloaded{ never, late }, strategy_);
}

bool Hedging::TryTake()
{
  if (credit_ < kCreditPerHedge) {
    return false;
  }
  credit_ -= kCreditPerHedge;
  return true;
}

void Hedging::OnAnswered(const std::string& aService, Duration aLatency)
{
  QuantileEstimate& estimate = estimates_[aService];
  double sample = static_cast<double>(aLatency.count());
  ++estimate.samples;
  if (estimate.samples == 1) {
    estimate.microseconds = sample;
    return;
  }
  // Stochastic quantile estimation: a sample above raises the estimate by much, one below lowers it
  // by little. The steps balance where `kHedgeQuantile` of the samples lie below.
  double share = sample > estimate.microseconds ? kHedgeQuantile : kHedgeQuantile - 1;
  estimate.microseconds = std::max(1.0, estimate.microseconds * (1 + kRelativeStep * share));
}

} // namespace dandelion
