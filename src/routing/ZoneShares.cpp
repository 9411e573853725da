#include "routing/ZoneShares.h"

#include <algorithm>
#include <cmath>

namespace dandelion {

namespace {

/// Mean time between two steps of a share. Each step is drawn between half and one and a half of
/// it, so that nodes that see the same queues do not step together.
constexpr Duration kStepPeriod = milliseconds(250);
/// Largest change of a share in one step. A share falls more slowly than it rises: a zone that has
/// just recovered would otherwise get all calls back at once.
constexpr double kMaxRise = 0.15;
constexpr double kMaxFall = 0.08;
/// Smaller mean savings and losses, relative to the price, change no share. Without this the nodes
/// of a zone moved together between 0.30 and 0.55 while demand was constant.
constexpr double kDeadBand = 0.3;
/// A saving this many times the price makes the largest step; smaller savings make smaller ones.
constexpr double kFullStepSaving = 1;
/// Savings are compared with at least this.
constexpr Duration kMinScale = milliseconds(20);
/// A call that is expected to take more than this share of its time nearby would often miss its
/// target: it may leave for any saving.
constexpr int64_t kSafePercent = 70;
/// The region budget holds the bytes of at most this time.
constexpr Duration kRegionBudgetTime = seconds(1);

size_t IndexOf(Destination aDestination)
{
  return static_cast<size_t>(aDestination);
}

/// The earliest finish at the destinations that are nearer than this one.
std::optional<Duration> NearestBefore(Destination aDestination,
                                      const ZoneShares::Finishes& aFinishes)
{
  std::optional<Duration> earliest;
  for (size_t i = 0; i < IndexOf(aDestination); ++i) {
    const std::optional<Duration>& finish = aFinishes.at(i);
    if (finish.has_value() && (!earliest.has_value() || *finish < *earliest)) {
      earliest = finish;
    }
  }
  return earliest;
}

} // namespace

Destination DestinationOf(const Member& aMember, const Member& aSelf)
{
  if (aMember.zone == aSelf.zone) {
    return Destination::OwnZone;
  }
  return aMember.region == aSelf.region ? Destination::OwnRegion : Destination::OtherRegion;
}

ZoneShares::ZoneShares(const ZonePrices& aPrices, uint64_t aSeed)
  : prices_(aPrices)
  , random_(aSeed)
  , regionBudget_(aPrices.regionBytesPerSecond)
{
}

Duration ZoneShares::PriceOf(Destination aDestination,
                             const Finishes& aFinishes,
                             Duration aTimeLeft) const
{
  std::optional<Duration> nearest = NearestBefore(aDestination, aFinishes);
  if (!nearest.has_value() || *nearest > aTimeLeft * kSafePercent / 100) {
    return Duration::zero();
  }
  switch (aDestination) {
    case Destination::OwnZone:
      break;
    case Destination::OwnRegion:
      return prices_.zoneWait;
    case Destination::OtherRegion:
      return prices_.regionWait;
  }
  return Duration::zero();
}

double ZoneShares::ShareOf(const std::string& aService, Destination aDestination) const
{
  if (aDestination == Destination::OwnZone) {
    return 1;
  }
  auto found = services_.find(aService);
  return found == services_.end() ? 0 : found->second.shares.at(IndexOf(aDestination)).value;
}

ZoneShares::Allowed ZoneShares::Decide(const std::string& aService,
                                       const Finishes& aFinishes,
                                       Duration aTimeLeft,
                                       TimePoint aNow)
{
  ServiceShares& service = services_[aService];
  Observe(service, aFinishes, aTimeLeft);
  if (aNow >= service.nextStepAt) {
    Step(service, aNow);
  }
  Allowed allowed{};
  // One draw for all destinations: the calls that may leave the region are among those that may
  // leave the zone, as long as its share is the smaller one.
  double draw = UnitRandom();
  for (Destination destination : { Destination::OwnRegion, Destination::OtherRegion }) {
    size_t index = IndexOf(destination);
    allowed.at(index) = aFinishes.at(index).has_value() && draw < service.shares.at(index).value;
  }
  auto nearest = std::find_if(
    aFinishes.begin(), aFinishes.end(), [](const auto& aFinish) { return aFinish.has_value(); });
  if (nearest != aFinishes.end()) {
    allowed.at(static_cast<size_t>(nearest - aFinishes.begin())) = true;
  }
  return allowed;
}

void ZoneShares::Observe(ServiceShares& aService,
                         const Finishes& aFinishes,
                         Duration aTimeLeft) const
{
  for (Destination destination : { Destination::OwnRegion, Destination::OtherRegion }) {
    const std::optional<Duration>& finish = aFinishes.at(IndexOf(destination));
    // The other region is compared with the whole own region, so that no call goes there for what a
    // neighbour zone can do.
    std::optional<Duration> nearest = NearestBefore(destination, aFinishes);
    if (finish.has_value() && nearest.has_value()) {
      Duration price = PriceOf(destination, aFinishes, aTimeLeft);
      double scale = static_cast<double>(std::max(price, kMinScale).count());
      double saved = static_cast<double>((*nearest - *finish - price).count()) / scale;
      Share& share = aService.shares.at(IndexOf(destination));
      // A single wrong figure must not outweigh many others.
      share.saved += std::clamp(saved / kFullStepSaving, -1.0, 1.0);
      ++share.calls;
    }
  }
}

void ZoneShares::Step(ServiceShares& aService, TimePoint aNow)
{
  for (Share& share : aService.shares) {
    if (share.calls > 0) {
      double saved = share.saved / share.calls;
      double change = saved * (saved > 0 ? kMaxRise : kMaxFall);
      change = std::abs(saved) < kDeadBand ? 0 : change;
      share.value = std::clamp(share.value + change, 0.0, 1.0);
    }
    share.saved = 0;
    share.calls = 0;
  }
  double spread = 0.5 + UnitRandom();
  aService.nextStepAt =
    aNow + Duration(static_cast<int64_t>(spread * static_cast<double>(kStepPeriod.count())));
}

bool ZoneShares::HasRegionBudget(double aBytes, TimePoint aNow)
{
  double elapsed = std::chrono::duration<double>(aNow - regionBudgetAt_).count();
  double most =
    prices_.regionBytesPerSecond * std::chrono::duration<double>(kRegionBudgetTime).count();
  regionBudget_ = std::min(most, regionBudget_ + elapsed * prices_.regionBytesPerSecond);
  regionBudgetAt_ = aNow;
  return regionBudget_ >= std::min(aBytes, most);
}

} // namespace dandelion
