/// Admission queue of an upstream, with a configurable queue order.
#ifndef DANDELION_ADMISSION_ADMISSION_QUEUE_H
#define DANDELION_ADMISSION_ADMISSION_QUEUE_H

#include "admission/SlotQueue.h"
#include "admission/TargetQueue.h"

namespace dandelion {

class AdmissionQueue
{
public:
  AdmissionQueue(QueueOrderName aOrder, int64_t aSlots);

  AdmissionEffects Handle(const AdmissionEvent& aEvent, TimePoint aNow);
  AdmissionEffects RefuseExpired(TimePoint aNow);
  AdmissionEffects Close();
  void Open();
  /// Starts waiting calls in the slots that are added.
  AdmissionEffects SetSlots(int64_t aSlots, TimePoint aNow);
  /// Starts only a few calls until an upstream that may name a limit has answered one.
  void AwaitFirstAnswer();
  /// Starts waiting calls that were held back by the upstream's limit.
  AdmissionEffects StartDue(TimePoint aNow);
  /// When `StartDue` may start a call; nothing if no call waits for the limit alone.
  std::optional<TimePoint> NextPacedStart(TimePoint aNow) const;
  int64_t Running() const;
  int64_t Waiting() const;
  QueueEstimate EstimateFor(TrafficClass aClass, const CostClass& aCostClass, TimePoint aNow) const;

private:
  using Queue = std::variant<SlotQueue, TargetQueue>;
  static Queue MakeQueue(QueueOrderName aOrder, int64_t aSlots);

  Queue queue_;
};

} // namespace dandelion

#endif
