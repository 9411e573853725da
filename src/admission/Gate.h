/// The gate beside an upstream: one of several orders in which calls wait.
#ifndef DANDELION_ADMISSION_GATE_H
#define DANDELION_ADMISSION_GATE_H

#include "admission/SlotQueue.h"
#include "admission/TargetQueue.h"

namespace dandelion {

class Gate
{
public:
  Gate(QueueOrderName aOrder, int64_t aSlots);

  AdmissionEffects On(const AdmissionEvent& aEvent, TimePoint aNow);
  AdmissionEffects Expire(TimePoint aNow);
  AdmissionEffects Close();
  void Open();
  void SetSlots(int64_t aSlots);
  int64_t Running() const;
  int64_t Waiting() const;
  GateEvidence EvidenceFor(TrafficClass aClass, const WorkKind& aKind, TimePoint aNow) const;

private:
  using Queue = std::variant<SlotQueue, TargetQueue>;
  static Queue MakeQueue(QueueOrderName aOrder, int64_t aSlots);

  Queue queue_;
};

} // namespace dandelion

#endif
