/// Decides how many calls of a service may leave their zone, and their region.
#ifndef DANDELION_ROUTING_ZONE_SHARES_H
#define DANDELION_ROUTING_ZONE_SHARES_H

#include "membership/Membership.h"

#include <array>
#include <map>
#include <optional>
#include <random>
#include <string>

namespace dandelion {

/// Where an upstream is, seen from the node that chooses it.
enum class Destination
{
  OwnZone,
  OwnRegion,
  OtherRegion,
};

template<>
struct EnumNames<Destination>
{
  static constexpr EnumName<Destination> kTable[] = {
    { Destination::OwnZone, "own-zone" },
    { Destination::OwnRegion, "own-region" },
    { Destination::OtherRegion, "other-region" },
  };
};

constexpr size_t kDestinations = 3;

Destination DestinationOf(const Member& aMember, const Member& aSelf);

/// What leaving costs, from the settings.
struct ZonePrices
{
  /// How long a call may be expected to wait locally before it may leave the zone or the region.
  Duration zoneWait = Duration::zero();
  Duration regionWait = Duration::zero();
  /// Bytes that this node's calls may send between regions in a second.
  double regionBytesPerSecond = 0;
};

class ZoneShares
{
public:
  /// The earliest expected finish at each destination; nothing where there is no upstream.
  using Finishes = std::array<std::optional<Duration>, kDestinations>;
  using Allowed = std::array<bool, kDestinations>;

  ZoneShares(const ZonePrices& aPrices, uint64_t aSeed);

  /// Takes the finishes that a new call is offered into account, and decides where it may be sent.
  /// Where its own zone has no upstream, the nearest destination that has one is allowed.
  /// `aTimeLeft`: time to the call's target.
  Allowed Decide(const std::string& aService,
                 const Finishes& aFinishes,
                 Duration aTimeLeft,
                 TimePoint aNow);

  /// Whether a call of this size may still be sent to the other region now.
  bool HasRegionBudget(double aBytes, TimePoint aNow);
  /// Takes the bytes of a call that is sent to the other region from the budget.
  void TakeRegionBudget(double aBytes) { regionBudget_ -= aBytes; }

  /// Waiting time that a call must save by leaving to this destination. It falls to zero for a call
  /// that would miss its target nearer by.
  Duration PriceOf(Destination aDestination, const Finishes& aFinishes, Duration aTimeLeft) const;
  /// The share of the calls that may leave to this destination; 1 for the own zone.
  double ShareOf(const std::string& aService, Destination aDestination) const;

private:
  struct Share
  {
    double value = 0;
    /// Sum of what the calls since the last step would have saved by leaving, relative to the
    /// price, and their number.
    double saved = 0;
    int calls = 0;
  };
  struct ServiceShares
  {
    std::array<Share, kDestinations> shares;
    TimePoint nextStepAt;
  };

  void Observe(ServiceShares& aService, const Finishes& aFinishes, Duration aTimeLeft) const;
  void Step(ServiceShares& aService, TimePoint aNow);
  double UnitRandom() { return std::uniform_real_distribution<double>(0, 1)(random_); }

  ZonePrices prices_;
  std::mt19937_64 random_;
  std::map<std::string, ServiceShares> services_;
  double regionBudget_ = 0;
  TimePoint regionBudgetAt_;
};

} // namespace dandelion

#endif
