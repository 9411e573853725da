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
