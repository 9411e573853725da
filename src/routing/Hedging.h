/// Decides when a call that takes long is sent to a second upstream as well.
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
/// A second attempt once the first has taken longer than nearly all answers of late.
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

  /// How long to wait for the first answer of a call before it is hedged; nothing where it must
  /// not be: it is not idempotent, or its class is not short.
  std::optional<Duration> DelayFor(const std::string& aService,
                                   TrafficClass aClass,
                                   bool aIsIdempotent);

  /// Takes one hedge from the budget, a few for each hundred calls, where there is one.
  bool Spend();

  /// A call of the service has been answered in this time.
  void OnAnswered(const std::string& aService, Duration aTaken);

private:
  /// Running estimate of a high quantile.
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
