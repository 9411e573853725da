#include "admission/AdmissionQueue.h"

namespace dandelion {

AdmissionQueue::AdmissionQueue(QueueOrderName aOrder, int64_t aSlots)
  : queue_(MakeQueue(aOrder, aSlots))
{
}

AdmissionQueue::Queue AdmissionQueue::MakeQueue(QueueOrderName aOrder, int64_t aSlots)
{
  if (aOrder == QueueOrderName::ByTarget) {
    return TargetQueue(aSlots);
  }
  return SlotQueue(aSlots, MakeQueueOrder(aOrder));
}

AdmissionEffects AdmissionQueue::Handle(const AdmissionEvent& aEvent, TimePoint aNow)
{
  return std::visit([&](auto& aQueue) { return aQueue.Handle(aEvent, aNow); }, queue_);
}

AdmissionEffects AdmissionQueue::RefuseExpired(TimePoint aNow)
{
  return std::visit([&](auto& aQueue) { return aQueue.RefuseExpired(aNow); }, queue_);
}

AdmissionEffects AdmissionQueue::Close()
{
  return std::visit([](auto& aQueue) { return aQueue.Close(); }, queue_);
}

void AdmissionQueue::Open()
{
  std::visit([](auto& aQueue) { aQueue.Open(); }, queue_);
}

AdmissionEffects AdmissionQueue::SetSlots(int64_t aSlots, TimePoint aNow)
{
  return std::visit([&](auto& aQueue) { return aQueue.SetSlots(aSlots, aNow); }, queue_);
}

void AdmissionQueue::AwaitFirstAnswer()
{
  std::visit([](auto& aQueue) { aQueue.AwaitFirstAnswer(); }, queue_);
}

AdmissionEffects AdmissionQueue::StartDue(TimePoint aNow)
{
  return std::visit([&](auto& aQueue) { return aQueue.StartDue(aNow); }, queue_);
}

std::optional<TimePoint> AdmissionQueue::NextPacedStart(TimePoint aNow) const
{
  return std::visit([&](const auto& aQueue) { return aQueue.NextPacedStart(aNow); }, queue_);
}

int64_t AdmissionQueue::Running() const
{
  return std::visit([](const auto& aQueue) { return aQueue.Running(); }, queue_);
}

int64_t AdmissionQueue::Waiting() const
{
  return std::visit([](const auto& aQueue) { return aQueue.Waiting(); }, queue_);
}

QueueEstimate AdmissionQueue::EstimateFor(TrafficClass aClass,
                                          const CostClass& aCostClass,
                                          TimePoint aNow) const
{
  return std::visit(
    Overloaded{
      [&](const SlotQueue& aQueue) { return aQueue.EstimateFor(aClass, aNow); },
      [&](const TargetQueue& aQueue) { return aQueue.EstimateFor(aCostClass, aNow); },
    },
    queue_);
}

} // namespace dandelion
