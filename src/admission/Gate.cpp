#include "admission/Gate.h"

namespace dandelion {

Gate::Gate(QueueOrderName aOrder, int64_t aSlots)
  : queue_(MakeQueue(aOrder, aSlots))
{
}

Gate::Queue Gate::MakeQueue(QueueOrderName aOrder, int64_t aSlots)
{
  if (aOrder == QueueOrderName::ByTarget) {
    return TargetQueue(aSlots);
  }
  return SlotQueue(aSlots, MakeQueueOrder(aOrder));
}

AdmissionEffects Gate::On(const AdmissionEvent& aEvent, TimePoint aNow)
{
  return std::visit([&](auto& aQueue) { return aQueue.On(aEvent, aNow); }, queue_);
}

AdmissionEffects Gate::Expire(TimePoint aNow)
{
  return std::visit([&](auto& aQueue) { return aQueue.Expire(aNow); }, queue_);
}

AdmissionEffects Gate::Close()
{
  return std::visit([](auto& aQueue) { return aQueue.Close(); }, queue_);
}

void Gate::Open()
{
  std::visit([](auto& aQueue) { aQueue.Open(); }, queue_);
}

void Gate::SetSlots(int64_t aSlots)
{
  std::visit([&](auto& aQueue) { aQueue.SetSlots(aSlots); }, queue_);
}

int64_t Gate::Running() const
{
  return std::visit([](const auto& aQueue) { return aQueue.Running(); }, queue_);
}

int64_t Gate::Waiting() const
{
  return std::visit([](const auto& aQueue) { return aQueue.Waiting(); }, queue_);
}

GateEvidence Gate::EvidenceFor(TrafficClass aClass, const WorkKind& aKind, TimePoint aNow) const
{
  return std::visit(Overloaded{
                      [&](const SlotQueue& aQueue) { return aQueue.EvidenceFor(aClass); },
                      [&](const TargetQueue& aQueue) { return aQueue.EvidenceFor(aKind, aNow); },
                    },
                    queue_);
}

} // namespace dandelion
