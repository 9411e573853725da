#include "admission/SlotQueue.h"

#include <algorithm>
#include <optional>

namespace dandelion {

namespace {

/// Waiting calls allowed for each slot.
constexpr int64_t kMaxWaitingPerSlot = 32;
/// Stride of each class, in the order of `TrafficClass`. A lane with a smaller stride is served
/// more often.
constexpr std::array<int64_t, 5> kStrideByClass = { 1, 1, 2, 4, 8 };
/// Time reserved for sending the answer back to the caller.
constexpr Duration kReplyDelay = milliseconds(5);

/// Updates an exponentially weighted moving average with a sample.
Duration Smoothed(Duration aHistory, Duration aSample)
{
  constexpr int kHistoryWeight = 7;
  return (aHistory * kHistoryWeight + aSample) / (kHistoryWeight + 1);
}

bool IsLongRunningClass(TrafficClass aClass)
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
                 arrived.trafficClass = LaneClass(aCall.trafficClass);
                 OnArrived(effects, arrived, aNow);
               },
               [&](const CallFinished& aCall) { OnFinished(effects, aCall, aNow); },
               [&](const CallCancelled& aCall) { OnCancelled(effects, aCall, aNow); },
               [&](const UpstreamAnswered& aAnswer) {
                 pacer_.OnAnswered(aAnswer, aNow);
                 FillSlots(effects, aNow);
               },
             },
             aEvent);
  return effects;
}

AdmissionEffects SlotQueue::RefuseExpired(TimePoint aNow)
{
  AdmissionEffects effects;
  for (Lane& lane : lanes_) {
    auto isExpired = [&](const WaitingCall& aWaiter) {
      if (aWaiter.deadline > aNow) {
        return false;
      }
      effects.push_back(RefuseCall{ aWaiter.call, ErrorKind::Overloaded });
      --waiting_;
      return true;
    };
    lane.queue.erase(std::remove_if(lane.queue.begin(), lane.queue.end(), isExpired),
                     lane.queue.end());
  }
  return effects;
}

AdmissionEffects SlotQueue::Close()
{
  isClosed_ = true;
  AdmissionEffects effects;
  for (Lane& lane : lanes_) {
    for (const WaitingCall& waiter : lane.queue) {
      effects.push_back(RefuseCall{ waiter.call, ErrorKind::Leaving });
    }
    lane.queue.clear();
  }
  waiting_ = 0;
  return effects;
}

AdmissionEffects SlotQueue::SetSlots(int64_t aSlots, TimePoint aNow)
{
  slots_ = aSlots;
  AdmissionEffects effects;
  FillSlots(effects, aNow);
  return effects;
}

AdmissionEffects SlotQueue::StartDue(TimePoint aNow)
{
  AdmissionEffects effects;
  FillSlots(effects, aNow);
  return effects;
}

std::optional<TimePoint> SlotQueue::NextPacedStart(TimePoint aNow) const
{
  const auto& rows = EnumNames<TrafficClass>::kTable;
  bool isHeldBack = std::any_of(std::begin(rows), std::end(rows), [&](const auto& aRow) {
    return !LaneOf(aRow.value).queue.empty() && HasRoomFor(aRow.value);
  });
  return isHeldBack ? std::optional(pacer_.NextStart(aNow)) : std::nullopt;
}

QueueEstimate SlotQueue::EstimateFor(TrafficClass aClass, TimePoint aNow) const
{
  QueueEstimate estimate;
  estimate.queueLength = Waiting() + Running();
  estimate.serviceTime = LaneOf(LaneClass(aClass)).serviceTime;
  estimate.slots = pacer_.UsableSlots(slots_, estimate.serviceTime);
  estimate.freeSlots = pacer_.FreeStarts(std::max<int64_t>(0, slots_ - estimate.queueLength), aNow);
  bool waits = estimate.freeSlots == 0;
  estimate.queueDelay = waits ? ExpectedQueueDelay(LaneClass(aClass), aNow) : Duration::zero();
  return estimate;
}

void SlotQueue::OnArrived(AdmissionEffects& aEffects, const CallArrived& aCall, TimePoint aNow)
{
  Lane& lane = LaneOf(aCall.trafficClass);
  if (isClosed_) {
    aEffects.push_back(RefuseCall{ aCall.call, ErrorKind::Leaving });
    return;
  }
  if (lane.queue.empty() && MayRun(aCall.trafficClass, aNow)) {
    Run(aEffects, aCall.call, aCall.trafficClass, aNow);
    return;
  }
  if (CannotMeetDeadline(aCall, aNow) || waiting_ >= kMaxWaitingPerSlot * slots_) {
    aEffects.push_back(RefuseCall{ aCall.call, ErrorKind::Overloaded });
    return;
  }
  if (lane.queue.empty()) {
    // A lane that was idle does not catch up on the starts it missed.
    lane.pass = std::max(lane.pass, currentPass_);
    lane.lastStart = aNow;
  }
  lane.queue.push_back(WaitingCall{ aCall.call, aCall.deadline });
  ++waiting_;
}

void SlotQueue::OnFinished(AdmissionEffects& aEffects, const CallFinished& aCall, TimePoint aNow)
{
  auto found = running_.find(aCall.call);
  if (found == running_.end()) {
    return;
  }
  Lane& lane = LaneOf(found->second.trafficClass);
  Duration elapsed = aNow - found->second.startedAt;
  lane.serviceTime = Smoothed(lane.serviceTime, elapsed);
  --lane.running;
  running_.erase(found);
  FillSlots(aEffects, aNow);
}

void SlotQueue::OnCancelled(AdmissionEffects& aEffects, const CallCancelled& aCall, TimePoint aNow)
{
  for (Lane& lane : lanes_) {
    auto isCall = [&](const WaitingCall& aWaiter) { return aWaiter.call == aCall.call; };
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
      bool isCandidate = !lane.queue.empty() && MayRun(row.value, aNow);
      if (isCandidate && (!next.has_value() || lane.pass < LaneOf(*next).pass)) {
        next = row.value;
      }
    }
    if (!next.has_value()) {
      return;
    }
    Lane& lane = LaneOf(*next);
    WaitingCall waiter = lane.queue.front();
    lane.queue.pop_front();
    --waiting_;
    if (WouldMissDeadline(waiter, lane, aNow)) {
      aEffects.push_back(RefuseCall{ waiter.call, ErrorKind::Overloaded });
      continue;
    }
    RecordStart(lane, aNow);
    currentPass_ = std::max(currentPass_, lane.pass);
    lane.pass += kStrideByClass[static_cast<size_t>(*next)];
    Run(aEffects, waiter.call, *next, aNow);
  }
}

void SlotQueue::Run(AdmissionEffects& aEffects, CallKey aCall, TrafficClass aClass, TimePoint aNow)
{
  ++LaneOf(aClass).running;
  pacer_.OnStarted(aNow);
  running_[aCall] = RunningCall{ aClass, aNow };
  aEffects.push_back(RunCall{ aCall });
}

bool SlotQueue::HasRoomFor(TrafficClass aClass) const
{
  if (Running() >= slots_) {
    return false;
  }
  if (!IsLongRunningClass(aClass)) {
    return true;
  }
  int64_t longRunning =
    LaneOf(TrafficClass::Bulk).running + LaneOf(TrafficClass::Background).running;
  return longRunning < MaxRunning(TrafficClass::Bulk) &&
         LaneOf(aClass).running < MaxRunning(aClass);
}

int64_t SlotQueue::MaxRunning(TrafficClass aClass) const
{
  // Bulk and background calls leave a third of the slots to the other classes, and at least one if
  // there are several. A call of another class then waits at most for a call that is neither bulk
  // nor background.
  constexpr int64_t kSlotsPerReservedSlot = 3;
  int64_t reserved = std::max<int64_t>(1, slots_ / kSlotsPerReservedSlot);
  int64_t maxLongRunning = std::max<int64_t>(1, slots_ - reserved);
  switch (aClass) {
    case TrafficClass::Short:
    case TrafficClass::Certificate:
    case TrafficClass::Interactive:
      return slots_;
    case TrafficClass::Bulk:
      return maxLongRunning;
    case TrafficClass::Background:
      // One of these slots is reserved for bulk calls, so that background calls never fill them
      // all.
      return std::max<int64_t>(1, maxLongRunning - 1);
  }
  return slots_;
}

TrafficClass SlotQueue::LaneClass(TrafficClass aClass) const
{
  return std::visit(Overloaded{
                      [](const OneFifo&) { return TrafficClass::Interactive; },
                      [&](const ClassLanes&) { return aClass; },
                    },
                    order_);
}

bool SlotQueue::CannotMeetDeadline(const CallArrived& aCall, TimePoint aNow) const
{
  return std::visit(Overloaded{
                      [](const OneFifo&) { return false; },
                      [&](const ClassLanes&) {
                        // The service time counts too: the answer must arrive by the deadline.
                        Duration serviceTime = LaneOf(aCall.trafficClass).serviceTime;
                        return aNow + ExpectedQueueDelay(aCall.trafficClass, aNow) + serviceTime +
                                 kReplyDelay >=
                               aCall.deadline;
                      },
                    },
                    order_);
}

bool SlotQueue::WouldMissDeadline(const WaitingCall& aWaiter,
                                  const Lane& aLane,
                                  TimePoint aNow) const
{
  return std::visit(
    Overloaded{
      [&](const OneFifo&) { return aWaiter.deadline <= aNow; },
      [&](const ClassLanes&) { return aNow + aLane.serviceTime + kReplyDelay >= aWaiter.deadline; },
    },
    order_);
}

void SlotQueue::RecordStart(Lane& aLane, TimePoint aNow) const
{
  aLane.startInterval = Smoothed(aLane.startInterval, aNow - aLane.lastStart);
  aLane.lastStart = aNow;
}

Duration SlotQueue::ExpectedQueueDelay(TrafficClass aClass, TimePoint aNow) const
{
  // The recent interval between starts of this lane accounts for the slots it shares with others.
  const Lane& lane = LaneOf(aClass);
  int64_t ahead = static_cast<int64_t>(lane.queue.size()) + 1;
  return std::max(lane.startInterval * ahead, pacer_.DelayBehind(waiting_, aNow));
}

} // namespace dandelion
