#include "admission/TargetQueue.h"

#include <algorithm>

namespace dandelion {

namespace {

/// Expected service time of a cost class that has not run here yet.
constexpr Duration kDefaultServiceTime = milliseconds(100);
/// Weight of a sample in the smoothed service time: about the last ten calls count.
constexpr double kSampleWeight = 0.1;
/// Service times vary, so a call is expected to end in time only if its service time may exceed the
/// mean by this many mean deviations. Without it, half of the calls that a full queue admits end
/// just after their target.
constexpr int kLikelyDeviations = 1;
/// Added to the latest start for each priority rank below the highest.
constexpr Duration kDelayPerPriorityRank = milliseconds(150);
/// Time reserved for sending the answer back to the caller.
constexpr Duration kReplyDelay = milliseconds(5);
/// A running call is expected to need at least its service time divided by this.
constexpr int kMinRemainingDivisor = 8;
/// A cost class is cheap if its service time is less than the mean service time of the running
/// calls of other cost classes, divided by this.
constexpr int kCheapDivisor = 4;

Duration Weighted(Duration aChange)
{
  return Duration(static_cast<int64_t>(kSampleWeight * static_cast<double>(aChange.count())));
}

} // namespace

TargetQueue::TargetQueue(int64_t aSlots)
  : slots_(aSlots)
{
}

AdmissionEffects TargetQueue::Handle(const AdmissionEvent& aEvent, TimePoint aNow)
{
  AdmissionEffects effects;
  std::visit(Overloaded{
               [&](const CallArrived& aCall) { OnArrived(effects, aCall, aNow); },
               [&](const CallFinished& aCall) { OnFinished(aCall, aNow); },
               [&](const CallCancelled& aCall) {
                 auto isCall = [&](const CallArrived& aOther) { return aOther.call == aCall.call; };
                 waiting_.erase(std::remove_if(waiting_.begin(), waiting_.end(), isCall),
                                waiting_.end());
               },
               [&](const UpstreamAnswered& aAnswer) { pacer_.OnAnswered(aAnswer, aNow); },
             },
             aEvent);
  FillSlots(effects, aNow);
  return effects;
}

void TargetQueue::OnArrived(AdmissionEffects& aEffects, const CallArrived& aCall, TimePoint aNow)
{
  if (isClosed_) {
    aEffects.push_back(RefuseCall{ aCall.call, ErrorKind::Leaving });
    return;
  }
  if (waiting_.empty() && MayStart(aNow)) {
    Run(aEffects, aCall, aNow);
    return;
  }
  if (!CanMeetTarget(aCall, aNow) && !MakeRoomFor(aEffects, aCall, aNow)) {
    aEffects.push_back(RefuseCall{ aCall.call, ErrorKind::Overloaded });
    return;
  }
  waiting_.push_back(aCall);
}

bool TargetQueue::CanMeetTarget(const CallArrived& aCall, TimePoint aNow) const
{
  TimePoint start = aNow + ExpectedQueueDelayOf(aCall, aNow);
  TimePoint end = start + LikelyServiceTime(aCall.costClass, aNow) + kReplyDelay;
  return start - aNow <= aCall.maxQueueDelay && end <= LatestUsefulEnd(aCall, aNow);
}

bool TargetQueue::MakeRoomFor(AdmissionEffects& aEffects, const CallArrived& aCall, TimePoint aNow)
{
  // A short-wait send is asked elsewhere in the zone first. Calls that are more urgent keep their
  // place, wherever they come from.
  if (aCall.isFromOtherZone || aCall.maxQueueDelay != Duration::max()) {
    return false;
  }
  std::vector<CallArrived> all = waiting_;
  std::vector<CallKey> refused;
  while (!CanMeetTarget(aCall, aNow)) {
    auto last = std::find_if(waiting_.rbegin(), waiting_.rend(), [&](const CallArrived& aOther) {
      return aOther.isFromOtherZone && aOther.priority >= aCall.priority;
    });
    if (last == waiting_.rend()) {
      waiting_ = std::move(all);
      return false;
    }
    refused.push_back(last->call);
    waiting_.erase(std::next(last).base());
  }
  for (CallKey call : refused) {
    aEffects.push_back(RefuseCall{ call, ErrorKind::Overloaded });
  }
  return true;
}

void TargetQueue::OnFinished(const CallFinished& aCall, TimePoint aNow)
{
  auto found = running_.find(aCall.call);
  if (found == running_.end()) {
    return;
  }
  if (aCall.isServiceTimeSample) {
    Duration elapsed = aNow - found->second.startedAt;
    auto [known, isNew] =
      serviceTimes_.emplace(found->second.costClass, ServiceTime{ elapsed, Duration::zero() });
    Duration error = elapsed - known->second.mean;
    if (!isNew) {
      known->second.mean += Weighted(error);
      known->second.deviation += Weighted(std::max(error, -error) - known->second.deviation);
    }
  }
  const RunningCall& call = found->second;
  accounts_.OnFinished(call.sharer, call.expected, aNow - call.startedAt);
  running_.erase(found);
}

void TargetQueue::FillSlots(AdmissionEffects& aEffects, TimePoint aNow)
{
  while (!waiting_.empty() && MayStart(aNow)) {
    // Cheap calls go first, then calls that can meet their target, by latest start. Of the others
    // the one with the nearest deadline goes first.
    auto isLate = [&](const CallArrived& aCall) {
      return aNow + LikelyServiceTime(aCall.costClass, aNow) > LatestUsefulEnd(aCall, aNow);
    };
    auto comesFirst = [&](const CallArrived& aA, const CallArrived& aB) {
      bool isCheapA = GoesFirst(aA, aNow);
      if (isCheapA != GoesFirst(aB, aNow)) {
        return isCheapA;
      }
      bool isLateA = isLate(aA);
      bool isLateB = isLate(aB);
      if (isLateA != isLateB) {
        return isLateB;
      }
      return isLateA ? aA.deadline < aB.deadline : LatestStart(aA, aNow) < LatestStart(aB, aNow);
    };
    auto first = std::min_element(waiting_.begin(), waiting_.end(), comesFirst);
    if (AccountOrder::AppliesTo(waiting_)) {
      auto isOfSameKind = [&, chosen = *first](const CallArrived& aCall) {
        return aCall.priority == chosen.priority && isLate(aCall) == isLate(chosen) &&
               GoesFirst(aCall, aNow) == GoesFirst(chosen, aNow);
      };
      first = std::min_element(
        waiting_.begin(), waiting_.end(), [&](const CallArrived& aA, const CallArrived& aB) {
          bool isA = isOfSameKind(aA);
          if (isA != isOfSameKind(aB)) {
            return isA;
          }
          Duration tagA = accounts_.NextTag(aA);
          Duration tagB = accounts_.NextTag(aB);
          return tagA != tagB ? tagA < tagB : comesFirst(aA, aB);
        });
    }
    CallArrived next = std::move(*first);
    waiting_.erase(first);
    if (aNow + kReplyDelay >= next.deadline) {
      aEffects.push_back(RefuseCall{ next.call, ErrorKind::Overloaded });
    } else {
      Run(aEffects, next, aNow);
    }
  }
}

void TargetQueue::Run(AdmissionEffects& aEffects, const CallArrived& aCall, TimePoint aNow)
{
  Duration expected = ExpectedServiceTime(aCall.costClass, aNow);
  SlotSharer sharer = SharerOf(aCall);
  accounts_.OnStarted(sharer, expected);
  pacer_.OnStarted(aNow);
  running_[aCall.call] = RunningCall{ aCall.costClass, aNow, std::move(sharer), expected };
  aEffects.push_back(RunCall{ aCall.call });
}

AdmissionEffects TargetQueue::RefuseExpired(TimePoint aNow)
{
  AdmissionEffects effects;
  auto refuseIfExpired = [&](const CallArrived& aCall) {
    bool cannotMeetDeadline =
      aNow + ExpectedServiceTime(aCall.costClass, aNow) / 2 + kReplyDelay >= aCall.deadline;
    if (cannotMeetDeadline) {
      effects.push_back(RefuseCall{ aCall.call, ErrorKind::Overloaded });
    }
    return cannotMeetDeadline;
  };
  waiting_.erase(std::remove_if(waiting_.begin(), waiting_.end(), refuseIfExpired), waiting_.end());
  return effects;
}

AdmissionEffects TargetQueue::Close()
{
  isClosed_ = true;
  AdmissionEffects effects;
  for (const CallArrived& call : waiting_) {
    effects.push_back(RefuseCall{ call.call, ErrorKind::Leaving });
  }
  waiting_.clear();
  return effects;
}

AdmissionEffects TargetQueue::SetSlots(int64_t aSlots, TimePoint aNow)
{
  slots_ = aSlots;
  AdmissionEffects effects;
  FillSlots(effects, aNow);
  return effects;
}

AdmissionEffects TargetQueue::StartDue(TimePoint aNow)
{
  AdmissionEffects effects;
  FillSlots(effects, aNow);
  return effects;
}

std::optional<TimePoint> TargetQueue::NextPacedStart(TimePoint aNow) const
{
  if (waiting_.empty() || Running() >= slots_) {
    return std::nullopt;
  }
  return pacer_.NextStart(aNow);
}

QueueEstimate TargetQueue::EstimateFor(const CostClass& aCostClass, TimePoint aNow) const
{
  QueueEstimate estimate;
  estimate.queueLength = Running() + Waiting();
  estimate.serviceTime = ExpectedServiceTime(aCostClass, aNow);
  estimate.slots = pacer_.UsableSlots(slots_, estimate.serviceTime);
  estimate.freeSlots = pacer_.FreeStarts(std::max<int64_t>(0, slots_ - estimate.queueLength), aNow);
  if (estimate.freeSlots == 0) {
    bool isCheap = IsCheap(aCostClass, aNow);
    estimate.queueDelay = ExpectedQueueDelay(isCheap ? TimePoint::min() : TimePoint::max(), aNow);
  }
  return estimate;
}

Duration TargetQueue::ExpectedServiceTime(const CostClass& aCostClass, TimePoint aNow) const
{
  auto known = serviceTimes_.find(aCostClass);
  Duration serviceTime = known == serviceTimes_.end() ? kDefaultServiceTime : known->second.mean;
  // Running calls that take longer than usual show a slowdown that no finished call shows yet.
  Duration elapsed = Duration::zero();
  int64_t running = 0;
  for (const auto& [key, call] : running_) {
    if (call.costClass == aCostClass) {
      elapsed += aNow - call.startedAt;
      ++running;
    }
  }
  return running == 0 ? serviceTime : std::max(serviceTime, elapsed / running);
}

Duration TargetQueue::LikelyServiceTime(const CostClass& aCostClass, TimePoint aNow) const
{
  auto known = serviceTimes_.find(aCostClass);
  Duration deviation = known == serviceTimes_.end() ? Duration::zero() : known->second.deviation;
  return ExpectedServiceTime(aCostClass, aNow) + kLikelyDeviations * deviation;
}

Duration TargetQueue::RemainingServiceTime(TimePoint aNow) const
{
  Duration remaining = Duration::zero();
  for (const auto& [key, call] : running_) {
    Duration serviceTime = ExpectedServiceTime(call.costClass, aNow);
    remaining +=
      std::max(serviceTime - (aNow - call.startedAt), serviceTime / kMinRemainingDivisor);
  }
  return remaining;
}

Duration TargetQueue::ExpectedQueueDelay(TimePoint aLatestStart, TimePoint aNow) const
{
  if (slots_ <= 0) {
    return kDefaultServiceTime;
  }
  if (Running() < slots_ && waiting_.empty()) {
    return pacer_.DelayBehind(0, aNow);
  }
  // On average the next slot becomes free after half of the mean remaining service time.
  Duration ahead = RemainingServiceTime(aNow) / 2;
  int64_t callsAhead = 0;
  for (const CallArrived& call : waiting_) {
    if (LatestStart(call, aNow) <= aLatestStart || GoesFirst(call, aNow)) {
      ahead += ExpectedServiceTime(call.costClass, aNow);
      ++callsAhead;
    }
  }
  return std::max(ahead / slots_, pacer_.DelayBehind(callsAhead, aNow));
}

Duration TargetQueue::ExpectedQueueDelayOf(const CallArrived& aCall, TimePoint aNow) const
{
  if (GoesFirst(aCall, aNow)) {
    return ExpectedQueueDelay(TimePoint::min(), aNow);
  }
  TimePoint latestStart = LatestStart(aCall, aNow);
  if (slots_ <= 0 || (aCall.account.empty() && !AccountOrder::AppliesTo(waiting_))) {
    return ExpectedQueueDelay(latestStart, aNow);
  }
  auto cost = [&](const CallArrived& aOther) {
    return ExpectedServiceTime(aOther.costClass, aNow);
  };
  auto goesBefore = [&](const CallArrived& aOther) {
    return LatestStart(aOther, aNow) <= latestStart;
  };
  Duration ahead = RemainingServiceTime(aNow) / 2;
  int64_t callsAhead = 0;
  std::vector<const CallArrived*> peers;
  for (const CallArrived& call : waiting_) {
    bool isCheap = GoesFirst(call, aNow);
    if (!isCheap && call.priority == aCall.priority) {
      peers.push_back(&call);
    } else if (isCheap || goesBefore(call)) {
      ahead += cost(call);
      ++callsAhead;
    }
  }
  Duration peersAhead = accounts_.TimeAhead(aCall, peers, cost, goesBefore);
  // Calls of one priority mostly take as long as this one.
  callsAhead += peersAhead / std::max(Duration(1), cost(aCall));
  return std::max((ahead + peersAhead) / slots_, pacer_.DelayBehind(callsAhead, aNow));
}

bool TargetQueue::IsCheap(const CostClass& aCostClass, TimePoint aNow) const
{
  // Only other cost classes count: when cheap calls fill the slots, they stay cheap.
  Duration others = Duration::zero();
  int64_t count = 0;
  for (const auto& [key, call] : running_) {
    if (call.costClass != aCostClass) {
      others += ExpectedServiceTime(call.costClass, aNow);
      ++count;
    }
  }
  if (count == 0) {
    // Calls of one cost class fill all slots; the others are known from earlier calls.
    for (const auto& [costClass, serviceTime] : serviceTimes_) {
      if (costClass != aCostClass) {
        others += serviceTime.mean;
        ++count;
      }
    }
  }
  return count > 0 && ExpectedServiceTime(aCostClass, aNow) * kCheapDivisor < others / count;
}

bool TargetQueue::GoesFirst(const CallArrived& aCall, TimePoint aNow) const
{
  // An account that sends many cheap calls would otherwise take the slots of all others.
  return aCall.account.empty() && IsCheap(aCall.costClass, aNow);
}

TimePoint TargetQueue::LatestUsefulEnd(const CallArrived& aCall, TimePoint aNow) const
{
  return GoesFirst(aCall, aNow) ? aCall.deadline : std::min(aCall.target, aCall.deadline);
}

TimePoint TargetQueue::LatestStart(const CallArrived& aCall, TimePoint aNow) const
{
  return aCall.target - ExpectedServiceTime(aCall.costClass, aNow) +
         kDelayPerPriorityRank * aCall.priority;
}

} // namespace dandelion
