/// Decides when a slow call is hedged: sent to a second upstream as well.
#ifndef DANDELION_ROUTING_HEDGING_H
#define DANDELION_ROUTING_HEDGING_H

#include "release/Release.h"

#include <map>
#include <optional>
#include <string>
#include <variant>

namespace dandelion {

struct NoHedge
{};
/// Hedges a call once its first attempt has taken longer than a high quantile of recent answers.
struct HedgeSlowCalls
{};
using HedgeStrategy = std::variant<NoHedge, HedgeSlowCalls>;

enum class HedgeName
{
  None,
  Late,
};

template<>
struct EnumNames<HedgeName>
{
  static constexpr EnumName<HedgeName> kTable[] = {
    { HedgeName::None, "none" },
    { HedgeName::Late, "late" },
  };
};

HedgeStrategy MakeHedgeStrategy(HedgeName aName);

class Hedging
{
public:
  explicit Hedging(HedgeStrategy aStrategy);

  /// How long to wait for an answer before the call is hedged, or nothing if it must not be: it is
  /// not idempotent, it is a bulk or background call, or too few answers of the service are known.
  /// Must be called once for each call, as it also adds the call's credit to the hedge budget.
  std::optional<Duration> DelayFor(const std::string& aService,
                                   TrafficClass aClass,
                                   bool aIsIdempotent);

  /// Takes one hedge from the budget, which is a few for each hundred calls. Returns whether there
  /// was one.
  bool TryTake();

  /// Records the latency of an answered call of the service.
  void OnAnswered(const std::string& aService, Duration aLatency);

private:
  /// Running estimate of a high quantile of answer latencies.
  struct QuantileEstimate
  {
    double microseconds = 0;
    int64_t samples = 0;
  };

  HedgeStrategy strategy_;
  std::map<std::string, QuantileEstimate> estimates_;
  int64_t credit_ = 0;
};

} // namespace dandelion

#endif
