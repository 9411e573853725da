/// The orders that this node judges while it follows the store, one `RolloutJudge` for each
/// service.
#ifndef DANDELION_DANDELIOND_ROLLOUT_JUDGES_H
#define DANDELION_DANDELIOND_ROLLOUT_JUDGES_H

#include "dandeliond/MembershipServices.h"

#include <map>

namespace dandelion {

/// Names and forms of the keys in the store. The platform library translates them.
struct RolloutProtocol
{
  std::string orderPrefix;
  std::function<std::string(const std::string& aService)> orderKey;
  std::function<std::string(const std::string& aService)> recordKey;
  std::function<absl::StatusOr<RolloutOrder>(const KeyValue&)> readOrder;
  /// What operators read about an order.
  std::function<KeyValue(const std::string& aService, const RolloutRecord&)> makeStatus;
};

/// The members that judge orders, in the order in which they act: the first that follow the store.
std::vector<const Member*> JudgesOf(const MemberTable& aTable, const std::string& aStoreRegion);

/// Parses a record of a rollout; nothing if it is broken.
std::optional<RolloutRecord> ParseRolloutRecord(const std::string& aText);

class RolloutJudges
{
public:
  using OnPermit = std::function<void(const std::string& aTo, const RolloutPermit&)>;

  RolloutJudges(const NodeContext& aContext, const RolloutProtocol& aProtocol, OnPermit aSend);

  void Start();
  /// A watch of the operators' keys has begun, and changes before it may have been missed.
  void OnWatch();
  void OnEvents(const WatchEvents& aEvents);
  /// Answers a report, also where no order names its service.
  void OnReport(const RolloutReport& aReport);
  /// Must be called every 200 ms. `aRank` is this node's place among the judges, nothing if it is
  /// none of them.
  void Tick(std::optional<size_t> aRank);

private:
  struct Judged
  {
    explicit Judged(RolloutJudge aJudge)
      : judge(std::move(aJudge))
    {
    }

    RolloutJudge judge;
    std::optional<RolloutStage> loggedStage;
    std::optional<TimePoint> decidedAt;
  };

  void ReadOrders();
  void AddOrder(const KeyValue& aItem);
  void Execute(const RolloutOrder& aOrder, const RolloutEffects& aEffects);
  void ReadRecord(const RolloutOrder& aOrder);
  void WriteRecord(const RolloutOrder& aOrder, const WriteRolloutState& aWrite);
  /// The judge of this order; null if another order has replaced it.
  RolloutJudge* Find(const RolloutOrder& aOrder);
  void LogStage(Judged& aJudged);

  const NodeContext& context_;
  const RolloutProtocol& protocol_;
  OnPermit send_;
  Store* store_ = nullptr;
  Membership* membership_ = nullptr;
  bool isActive_ = false;
  /// Whether all orders have been read since this node began to judge.
  bool hasOrders_ = false;
  bool isReading_ = false;
  bool mustReadAgain_ = false;
  TimePoint nextRead_;
  /// All orders that the store held at this time are known.
  TimePoint confirmedAt_;
  std::map<std::string, Judged> judged_;
};

} // namespace dandelion

#endif
