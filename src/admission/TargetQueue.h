/// A gate that serves calls in the order in which they must begin to meet their targets.
///
/// Calls of slight work go before all others and are refused only where their deadline cannot be
/// met: they cost the others next to nothing, and mostly another call, which holds a slot
/// elsewhere, waits for each of them and would fail with it.
///
/// A call that cannot meet its target behind those that go before it is refused when it arrives, so
/// its caller can go elsewhere while there is time. A call that has become late while it waited
/// runs only when no other could still be in time.
#ifndef DANDELION_ADMISSION_TARGET_QUEUE_H
#define DANDELION_ADMISSION_TARGET_QUEUE_H

#include "admission/AdmissionEvents.h"

#include <map>

namespace dandelion {

class TargetQueue
{
public:
  explicit TargetQueue(int64_t aSlots);

  AdmissionEffects Handle(const AdmissionEvent& aEvent, TimePoint aNow);

  /// Refuses waiting calls that can no longer be answered before their deadline.
  AdmissionEffects RefuseExpired(TimePoint aNow);

  /// Refuses what waits and all new calls; running calls finish.
  AdmissionEffects Close();
  /// Takes calls again after `Close`.
  void Open() { isClosed_ = false; }

  void SetSlots(int64_t aSlots) { slots_ = aSlots; }
  int64_t Slots() const { return slots_; }
  int64_t Running() const { return static_cast<int64_t>(running_.size()); }
  int64_t Waiting() const { return static_cast<int64_t>(waiting_.size()); }

  QueueEstimate EstimateFor(const CostClass& aCostClass, TimePoint aNow) const;

private:
  struct RunningCall
  {
    CostClass costClass;
    TimePoint startedAt;
  };

  void OnArrived(AdmissionEffects& aEffects, const CallArrived& aCall, TimePoint aNow);
  void OnFinished(const CallFinished& aCall, TimePoint aNow);
  void FillSlots(AdmissionEffects& aEffects, TimePoint aNow);
  void Run(AdmissionEffects& aEffects, const CallArrived& aCall, TimePoint aNow);
  /// Expected time in a slot.
  Duration ExpectedServiceTime(const CostClass& aCostClass, TimePoint aNow) const;
  /// Whether calls of a kind take little time beside those that run.
  bool IsCheap(const CostClass& aCostClass, TimePoint aNow) const;
  /// Until when it is worth running a call rather than refusing it.
  TimePoint LatestUsefulEnd(const CallArrived& aCall, TimePoint aNow) const;
  /// Work that is left of what runs.
  Duration RemainingServiceTime(TimePoint aNow) const;
  /// The wait for a slot behind running calls and those that must begin no later than `aLatest`.
  Duration ExpectedQueueDelay(TimePoint aLatest, TimePoint aNow) const;
  /// When a call must begin to meet its target, moved by its rank.
  TimePoint LatestStart(const CallArrived& aCall, TimePoint aNow) const;

  int64_t slots_;
  bool isClosed_ = false;
  std::vector<CallArrived> waiting_;
  std::map<CallKey, RunningCall> running_;
  std::map<CostClass, Duration> serviceTimes_;
};

} // namespace dandelion

#endif
