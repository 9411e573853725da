/// Decides which calls of an upstream run, which wait and which are refused. Classes with waiting
/// calls share the slots by stride scheduling.
#ifndef DANDELION_ADMISSION_SLOT_QUEUE_H
#define DANDELION_ADMISSION_SLOT_QUEUE_H

#include "admission/AdmissionEvents.h"
#include "admission/CallPacer.h"

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <variant>
#include <vector>

namespace dandelion {

/// One first-in-first-out queue for all classes that ignores deadlines until they have passed; the
/// baseline for comparisons.
struct OneFifo
{};
/// One lane for each class. Some slots are reserved for classes other than bulk and background,
/// and calls that would miss their deadline are refused.
struct ClassLanes
{};
using QueueOrder = std::variant<OneFifo, ClassLanes>;

enum class QueueOrderName
{
  OneFifo,
  ClassLanes,
  /// By the latest start that meets the latency target; see TargetQueue.h.
  ByTarget,
};

template<>
struct EnumNames<QueueOrderName>
{
  static constexpr EnumName<QueueOrderName> kTable[] = {
    { QueueOrderName::OneFifo, "one-fifo" },
    { QueueOrderName::ClassLanes, "class-lanes" },
    { QueueOrderName::ByTarget, "by-target" },
  };
};

QueueOrder MakeQueueOrder(QueueOrderName aName);

class SlotQueue
{
public:
  explicit SlotQueue(int64_t aSlots, QueueOrder aOrder = ClassLanes{});

  AdmissionEffects Handle(const AdmissionEvent& aEvent, TimePoint aNow);

  /// Refuses waiting calls whose deadline has passed.
  AdmissionEffects RefuseExpired(TimePoint aNow);

  /// Refuses all waiting and new calls. Running calls finish.
  AdmissionEffects Close();

  /// Accepts calls again after `Close`.
  void Open() { isClosed_ = false; }

  /// Starts waiting calls in the slots that are added.
  AdmissionEffects SetSlots(int64_t aSlots, TimePoint aNow);
  /// Starts only a few calls until an upstream that may name a limit has answered one.
  void AwaitFirstAnswer() { pacer_.AwaitFirstAnswer(); }
  /// Starts waiting calls that were held back by the upstream's limit.
  AdmissionEffects StartDue(TimePoint aNow);
  /// When `StartDue` may start a call; nothing if no call waits for the limit alone.
  std::optional<TimePoint> NextPacedStart(TimePoint aNow) const;
  int64_t Slots() const { return slots_; }
  /// Expected delays of a call of this class that arrives now.
  QueueEstimate EstimateFor(TrafficClass aClass, TimePoint aNow) const;
  int64_t Running() const { return static_cast<int64_t>(running_.size()); }
  int64_t Waiting() const { return waiting_; }

private:
  static constexpr size_t kClassCount = std::size(EnumNames<TrafficClass>::kTable);
  struct WaitingCall
  {
    CallKey call;
    TimePoint deadline;
  };
  struct Lane
  {
    std::deque<WaitingCall> queue;
    int64_t running = 0;
    /// Stride scheduling pass; the lane with the lowest one runs next.
    int64_t pass = 0;
    /// Smoothed time in a slot.
    Duration serviceTime = Duration::zero();
    /// Smoothed time between two starts of waiting calls of this lane.
    Duration startInterval = Duration::zero();
    TimePoint lastStart;
  };
  struct RunningCall
  {
    TrafficClass trafficClass;
    TimePoint startedAt;
  };

  void OnArrived(AdmissionEffects& aEffects, const CallArrived& aCall, TimePoint aNow);
  void OnFinished(AdmissionEffects& aEffects, const CallFinished& aCall, TimePoint aNow);
  void OnCancelled(AdmissionEffects& aEffects, const CallCancelled& aCall, TimePoint aNow);
  void FillSlots(AdmissionEffects& aEffects, TimePoint aNow);
  void Run(AdmissionEffects& aEffects, CallKey aCall, TrafficClass aClass, TimePoint aNow);
  /// Whether a slot is free for calls of this class.
  bool HasRoomFor(TrafficClass aClass) const;
  bool MayRun(TrafficClass aClass, TimePoint aNow) const
  {
    return HasRoomFor(aClass) && pacer_.MayStart(aNow);
  }
  int64_t MaxRunning(TrafficClass aClass) const;
  Duration ExpectedQueueDelay(TrafficClass aClass, TimePoint aNow) const;
  /// Whether the call would end after its deadline if it was queued now.
  bool CannotMeetDeadline(const CallArrived& aCall, TimePoint aNow) const;
  /// Whether the call would end after its deadline if it started now.
  bool WouldMissDeadline(const WaitingCall& aWaiter, const Lane& aLane, TimePoint aNow) const;
  void RecordStart(Lane& aLane, TimePoint aNow) const;
  /// The class in whose lane calls of a class wait.
  TrafficClass LaneClass(TrafficClass aClass) const;
  Lane& LaneOf(TrafficClass aClass) { return lanes_[static_cast<size_t>(aClass)]; }
  const Lane& LaneOf(TrafficClass aClass) const { return lanes_[static_cast<size_t>(aClass)]; }

  int64_t slots_;
  QueueOrder order_;
  bool isClosed_ = false;
  CallPacer pacer_;
  std::array<Lane, kClassCount> lanes_;
  std::map<CallKey, RunningCall> running_;
  int64_t waiting_ = 0;
  int64_t currentPass_ = 0;
};

} // namespace dandelion

#endif
