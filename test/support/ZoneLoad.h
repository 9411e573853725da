/// Virtual-time load of one service over availability zones: callers with stale estimates,
/// upstreams of different speeds, and demand in waves.
#ifndef DANDELION_TEST_SUPPORT_ZONE_LOAD_H
#define DANDELION_TEST_SUPPORT_ZONE_LOAD_H

#include "admission/Admission.h"
#include "routing/Routing.h"

#include <functional>
#include <memory>
#include <queue>

namespace dandelion::testing {

/// What happens to zone 1 in the middle of the load.
enum class ZoneFault
{
  None,
  /// Its upstreams are lost with the calls there.
  Lost,
  /// Its replies carry estimates that are up to 5 s old, or none.
  Old,
  Missing,
  /// Its replies say that it is ten times faster or slower, with as much shorter or longer queues.
  TooGood,
  TooBad,
};

struct ZoneLoadSpec
{
  size_t zones = 4;
  size_t callersPerZone = 20;
  size_t upstreamsPerZone = 6;
  /// Demand as a share of the capacity.
  double load = 0.8;
  /// Demand of a zone rises and falls by this share in 20 s; the zones are out of phase.
  double wave = 0.55;
  /// Constant factors on the demand of the zones, instead of waves.
  std::vector<double> skew = {};
  std::optional<ZonePrices> prices = {};
  ZoneFault fault = ZoneFault::None;
};

class ZoneLoad
{
public:
  explicit ZoneLoad(const ZoneLoadSpec& aSpec);
  /// Plays 40 s.
  void Run();

  /// Share of the calls that were answered within the target, after the middle of the load.
  double InTimeShare() const { return static_cast<double>(inTime) / static_cast<double>(arrived); }
  double LateShare() const { return static_cast<double>(late) / static_cast<double>(arrived); }
  /// Largest share of the calls of one upstream.
  double BusiestShare() const;
  /// Changes of direction of the share of zone 0 that leaves, where both movements exceed `aSize`.
  int Swings(double aSize) const;

  /// Calls that arrived and how they ended, after the middle of the load.
  int arrived = 0;
  int inTime = 0;
  int late = 0;
  int refused = 0;
  /// Sends of answered calls from one zone to another of the region, and to the other region.
  int leftZone = 0;
  int leftRegion = 0;
  /// The share of zone 0's calls that left it, by seconds.
  std::vector<double> leaving;

private:
  struct Upstream
  {
    Member member;
    size_t zone;
    TargetQueue queue;
    double speed;
    int runs = 0;
    bool isLost = false;
    QueueEstimate old;
    std::map<CallKey, std::function<void()>> onRun;
  };
  struct Call
  {
    size_t zone;
    size_t caller;
    TimePoint arrivedAt;
    TimePoint sentAt;
    TriedMembers tried;
    int sendsLeft = Attempts::kMaxSends;
  };
  struct Event
  {
    TimePoint at;
    uint64_t order;
    std::function<void()> run;
    bool operator<(const Event& aOther) const
    {
      return std::tie(aOther.at, aOther.order) < std::tie(at, order);
    }
  };

  void After(Duration aDelay, std::function<void()> aRun);
  void Arrive(size_t aZone);
  double DemandOf(size_t aZone) const;
  void Send(const std::shared_ptr<Call>& aCall);
  void ArriveAtQueue(const std::shared_ptr<Call>& aCall,
                     const std::string& aId,
                     Duration aMaxDelay);
  void Finish(const std::shared_ptr<Call>& aCall, const std::string& aId, CallKey aKey);
  void Execute(const std::string& aId, const AdmissionEffects& aEffects);
  void OnRefused(const std::shared_ptr<Call>& aCall, const std::string& aId);
  /// Gives the caller the estimate that the reply carries.
  void Reply(const std::shared_ptr<Call>& aCall, const std::string& aId, bool aIsAnswer);
  std::optional<QueueEstimate> EstimateOf(Upstream& aUpstream, size_t aCallerZone);
  Duration OneWay(size_t aFrom, size_t aTo) const;
  bool IsFaulty() const;
  bool IsCounted(const Call& aCall) const;
  void Sample();

  ZoneLoadSpec spec_;
  TimePoint now_;
  std::vector<Member> callers_;
  std::vector<std::unique_ptr<UpstreamChoice>> choices_;
  MemberTable table_;
  std::map<std::string, Upstream> upstreams_;
  std::map<CallKey, std::function<void()>> onRefuse_;
  std::priority_queue<Event> events_;
  uint64_t order_ = 1;
  int sampleSent_ = 0;
  int sampleLeft_ = 0;
  std::mt19937_64 random_{ 20261204 };
};

} // namespace dandelion::testing

#endif
