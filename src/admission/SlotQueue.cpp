#include "admission/SlotQueue.h"

#include <algorithm>
#include <optional>

namespace dandelion {

namespace {

/// Calls that may wait for each slot.
constexpr int64_t kMaxWaitingPerSlot = 32;
/// Length of a lane's turn: a lane with a shorter one is served more often.
constexpr std::array<int64_t, 5> kTurnLength = { 1, 1, 2, 4, 8 };
/// Time that an answer takes back to its caller.
constexpr Duration kWayBack = milliseconds(5);

/// Moves an estimate towards the newest sample.
Duration Smoothed(Duration aHistory, Duration aSample)
{
  constexpr int kWeightOfHistory = 7;
  return (aHistory * kWeightOfHistory + aSample) / (kWeightOfHistory + 1);
}

bool IsLong(TrafficClass aClass)
{
  return aClass == TrafficClass::Bulk || aClass == TrafficClass::Background;
}

} // namespace

QueueOrder MakeQueueOrder(QueueOrderName aName)
{
  switch (aName) {
    case QueueOrderName::OneFifo:
      return OneFifo{};
    case QueueOrderName::ClassLanes:
    case QueueOrderName::ByTarget:
      break;
  }
  return ClassLanes{};
}

SlotQueue::SlotQueue(int64_t aSlots, QueueOrder aOrder)
  : slots_(aSlots)
  , order_(aOrder)
{
}

AdmissionEffects SlotQueue::Handle(const AdmissionEvent& aEvent, TimePoint aNow)
{
  AdmissionEffects effects;
  std::visit(Overloaded{
               [&](const CallArrived& aCall) {
                 CallArrived arrived = aCall;
                 arrived.trafficClass = WaitingClass(aCall.trafficClass);
                 OnArrived(effects, arrived, aNow);
               },
               [&](const CallFinished& aCall) { OnFinished(effects, aCall, aNow); },
               [&](const CallCancelled& aCall) { OnCancelled(effects, aCall, aNow); },
             },
             aEvent);
  return effects;
}

AdmissionEffects SlotQueue::RefuseExpired(TimePoint aNow)
{
  AdmissionEffects effects;
  for (Lane& lane : lanes_) {
    auto isLate = [&](const Waiter& aWaiter) {
      if (aWaiter.deadline > aNow) {
        return false;
      }
      effects.push_back(RefuseCall{ aWaiter.call, ErrorKind::Overloaded });
      --waiting_;
      return true;
    };
    lane.queue.erase(std::remove_if(lane.queue.begin(), lane.queue.end(), isLate),
                     lane.queue.end());
  }
  return effects;
}

AdmissionEffects SlotQueue::Close()
{
  isClosed_ = true;
  AdmissionEffects effects;
  for (Lane& lane : lanes_) {
    for (const Waiter& waiter : lane.queue) {
      effects.push_back(RefuseCall{ waiter.call, ErrorKind::Leaving });
    }
    lane.queue.clear();
  }
  waiting_ = 0;
  return effects;
}

QueueEstimate SlotQueue::EstimateFor(TrafficClass aClass) const
{
  QueueEstimate estimate;
  estimate.queueLength = Waiting() + Running();
  estimate.slots = slots_;
  estimate.freeSlots = std::max<int64_t>(0, slots_ - estimate.queueLength);
  bool waits = estimate.freeSlots == 0;
  estimate.queueDelay = waits ? ExpectedWait(WaitingClass(aClass)) : Duration::zero();
  estimate.serviceTime = LaneOf(WaitingClass(aClass)).serviceTime;
  return estimate;
}

void SlotQueue::OnArrived(AdmissionEffects& aEffects, const CallArrived& aCall, TimePoint aNow)
{
  Lane& lane = LaneOf(aCall.trafficClass);
  if (isClosed_) {
    aEffects.push_back(RefuseCall{ aCall.call, ErrorKind::Leaving });
    return;
  }
  if (lane.queue.empty() && MayRun(aCall.trafficClass)) {
    Run(aEffects, aCall.call, aCall.trafficClass, aNow);
    return;
  }
  if (IsHopeless(aCall, aNow) || waiting_ >= kMaxWaitingPerSlot * slots_) {
    aEffects.push_back(RefuseCall{ aCall.call, ErrorKind::Overloaded });
    return;
  }
  if (lane.queue.empty()) {
    // A lane that had nothing waiting has saved up no turns.
    lane.turn = std::max(lane.turn, currentTurn_);
    lane.lastStart = aNow;
  }
  lane.queue.push_back(Waiter{ aCall.call, aCall.deadline });
  ++waiting_;
}

void SlotQueue::OnFinished(AdmissionEffects& aEffects, const CallFinished& aCall, TimePoint aNow)
{
  auto found = running_.find(aCall.call);
  if (found == running_.end()) {
    return;
  }
  Lane& lane = LaneOf(found->second.trafficClass);
  Duration taken = aNow - found->second.since;
  lane.serviceTime = Smoothed(lane.serviceTime, taken);
  --lane.running;
  running_.erase(found);
  FillSlots(aEffects, aNow);
}

void SlotQueue::OnCancelled(AdmissionEffects& aEffects, const CallCancelled& aCall, TimePoint aNow)
{
  for (Lane& lane : lanes_) {
    auto isCall = [&](const Waiter& aWaiter) { return aWaiter.call == aCall.call; };
    auto found = std::find_if(lane.queue.begin(), lane.queue.end(), isCall);
    if (found != lane.queue.end()) {
      lane.queue.erase(found);
      --waiting_;
      return;
    }
  }
  FillSlots(aEffects, aNow);
}

void SlotQueue::FillSlots(AdmissionEffects& aEffects, TimePoint aNow)
{
  while (waiting_ > 0) {
    std::optional<TrafficClass> next;
    for (const auto& row : EnumNames<TrafficClass>::kTable) {
      const Lane& lane = LaneOf(row.value);
      bool isCandidate = !lane.queue.empty() && MayRun(row.value);
      if (isCandidate && (!next.has_value() || lane.turn < LaneOf(*next).turn)) {
        next = row.value;
      }
    }
    if (!next.has_value()) {
      return;
    }
    Lane& lane = LaneOf(*next);
    Waiter waiter = lane.queue.front();
    lane.queue.pop_front();
    --waiting_;
    if (IsTooLate(waiter, lane, aNow)) {
      aEffects.push_back(RefuseCall{ waiter.call, ErrorKind::Overloaded });
      continue;
    }
    NoteStart(lane, aNow);
    currentTurn_ = std::max(currentTurn_, lane.turn);
    lane.turn += kTurnLength[static_cast<size_t>(*next)];
    Run(aEffects, waiter.call, *next, aNow);
  }
}

void SlotQueue::Run(AdmissionEffects& aEffects, CallKey aCall, TrafficClass aClass, TimePoint aNow)
{
  ++LaneOf(aClass).running;
  running_[aCall] = RunningCall{ aClass, aNow };
  aEffects.push_back(RunCall{ aCall });
}

bool SlotQueue::MayRun(TrafficClass aClass) const
{
  if (Running() >= slots_) {
    return false;
  }
  if (!IsLong(aClass)) {
    return true;
  }
  int64_t longRunning =
    LaneOf(TrafficClass::Bulk).running + LaneOf(TrafficClass::Background).running;
  return longRunning < MostRunning(TrafficClass::Bulk) &&
         LaneOf(aClass).running < MostRunning(aClass);
}

int64_t SlotQueue::MostRunning(TrafficClass aClass) const
{
  // Long calls never hold every slot, so a short one waits for a short one at most.
  constexpr int64_t kReservedOneIn = 3;
  int64_t reserved = std::max<int64_t>(1, slots_ / kReservedOneIn);
  int64_t mostLong = std::max<int64_t>(1, slots_ - reserved);
  switch (aClass) {
    case TrafficClass::Short:
    case TrafficClass::Certificate:
    case TrafficClass::Interactive:
      return slots_;
    case TrafficClass::Bulk:
      return mostLong;
    case TrafficClass::Background:
      // One long slot is kept for bulk, so that background work never fills them all.
      return std::max<int64_t>(1, mostLong - 1);
  }
  return slots_;
}

TrafficClass SlotQueue::WaitingClass(TrafficClass aClass) const
{
  return std::visit(Overloaded{
                      [](const OneFifo&) { return TrafficClass::Interactive; },
                      [&](const ClassLanes&) { return aClass; },
                    },
                    order_);
}

bool SlotQueue::IsHopeless(const CallArrived& aCall, TimePoint aNow) const
{
  return std::visit(Overloaded{
                      [](const OneFifo&) { return false; },
                      [&](const ClassLanes&) {
                        // The work itself must fit behind the wait, or its answer comes too late.
                        Duration work = LaneOf(aCall.trafficClass).serviceTime;
                        return aNow + ExpectedWait(aCall.trafficClass) + work + kWayBack >=
                               aCall.deadline;
                      },
                    },
                    order_);
}

bool SlotQueue::IsTooLate(const Waiter& aWaiter, const Lane& aLane, TimePoint aNow) const
{
  return std::visit(
    Overloaded{
      [&](const OneFifo&) { return aWaiter.deadline <= aNow; },
      [&](const ClassLanes&) { return aNow + aLane.serviceTime + kWayBack >= aWaiter.deadline; },
    },
    order_);
}

void SlotQueue::NoteStart(Lane& aLane, TimePoint aNow) const
{
  aLane.startGap = Smoothed(aLane.startGap, aNow - aLane.lastStart);
  aLane.lastStart = aNow;
}

Duration SlotQueue::ExpectedWait(TrafficClass aClass) const
{
  // The pace at which the lane was served of late accounts for the slots it shares with others.
  const Lane& lane = LaneOf(aClass);
  int64_t ahead = static_cast<int64_t>(lane.queue.size()) + 1;
  return lane.startGap * ahead;
}

} // namespace dandelion
