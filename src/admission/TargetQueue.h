/// Admission queue that runs calls in the order of their latest start, which is the latency target
/// less the expected service time, adjusted by priority.
///
/// Cheap calls, whose expected service time is small beside that of the calls that run, go first.
/// They may miss their target; only their deadline counts. They hardly delay other calls, and
/// usually a call that holds a slot of another upstream waits for the cheap call and would fail
/// with it.
///
/// Calls of client accounts of the same priority share the slots fairly: the order above decides of
/// which kind the next call is, and `AccountOrder` of which account. Cheap calls of an account do
/// not go first. Without accounts this has no effect.
///
/// A call that cannot meet its target behind the calls that go before it, or would wait longer than
/// its `maxQueueDelay`, is refused on arrival, so that its caller can retry at another upstream in
/// time. A call that can no longer meet its target after waiting runs only when no waiting call can
/// meet its own.
#ifndef DANDELION_ADMISSION_TARGET_QUEUE_H
#define DANDELION_ADMISSION_TARGET_QUEUE_H

#include "admission/AccountOrder.h"
#include "admission/AdmissionEvents.h"
#include "admission/CallPacer.h"

#include <map>

namespace dandelion {

class TargetQueue
{
public:
  explicit TargetQueue(int64_t aSlots);

  AdmissionEffects Handle(const AdmissionEvent& aEvent, TimePoint aNow);

  /// Refuses waiting calls that could not be answered by their deadline even in half of their
  /// expected service time.
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
  int64_t Running() const { return static_cast<int64_t>(running_.size()); }
  int64_t Waiting() const { return static_cast<int64_t>(waiting_.size()); }

  /// Expected delays of a call of this cost class that arrives now.
  QueueEstimate EstimateFor(const CostClass& aCostClass, TimePoint aNow) const;

private:
  /// Smoothed service time of a cost class and its smoothed mean deviation.
  struct ServiceTime
  {
    Duration mean;
    Duration deviation = Duration::zero();
  };
  struct RunningCall
  {
    CostClass costClass;
    TimePoint startedAt;
    SlotSharer sharer;
    Duration expected;
  };

  bool MayStart(TimePoint aNow) const { return Running() < slots_ && pacer_.MayStart(aNow); }
  bool CanMeetTarget(const CallArrived& aCall, TimePoint aNow) const;
  /// Refuses waiting calls of other zones, if that lets the call meet its target. Returns whether
  /// it does.
  bool MakeRoomFor(AdmissionEffects& aEffects, const CallArrived& aCall, TimePoint aNow);
  void OnArrived(AdmissionEffects& aEffects, const CallArrived& aCall, TimePoint aNow);
  void OnFinished(const CallFinished& aCall, TimePoint aNow);
  void FillSlots(AdmissionEffects& aEffects, TimePoint aNow);
  void Run(AdmissionEffects& aEffects, const CallArrived& aCall, TimePoint aNow);
  /// Expected time until an arriving call gets a slot.
  Duration ExpectedQueueDelayOf(const CallArrived& aCall, TimePoint aNow) const;
  /// Expected time in a slot.
  Duration ExpectedServiceTime(const CostClass& aCostClass, TimePoint aNow) const;
  /// Time in a slot that most calls of a cost class do not exceed.
  Duration LikelyServiceTime(const CostClass& aCostClass, TimePoint aNow) const;
  /// Whether the expected service time of a cost class is small beside that of the running calls of
  /// other cost classes.
  bool IsCheap(const CostClass& aCostClass, TimePoint aNow) const;
  /// Whether the call is cheap and has no account. The calls that other calls wait for have none.
  bool GoesFirst(const CallArrived& aCall, TimePoint aNow) const;
  /// The deadline of a cheap call without an account; for any other call its latency target or its
  /// deadline, whichever is earlier. A call that is expected to end later is refused on arrival; if
  /// it already waits, it runs after the calls that can still end in time.
  TimePoint LatestUsefulEnd(const CallArrived& aCall, TimePoint aNow) const;
  /// Sum of the expected remaining service times of the running calls.
  Duration RemainingServiceTime(TimePoint aNow) const;
  /// Expected delay behind the running calls, the cheap waiting calls and the waiting calls whose
  /// latest start is not after `aLatestStart`.
  Duration ExpectedQueueDelay(TimePoint aLatestStart, TimePoint aNow) const;
  /// When a call must start to meet its target; later for lower priorities.
  TimePoint LatestStart(const CallArrived& aCall, TimePoint aNow) const;

  int64_t slots_;
  bool isClosed_ = false;
  CallPacer pacer_;
  std::vector<CallArrived> waiting_;
  AccountOrder accounts_;
  std::map<CallKey, RunningCall> running_;
  std::map<CostClass, ServiceTime> serviceTimes_;
};

} // namespace dandelion

#endif
