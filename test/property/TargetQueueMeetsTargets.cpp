/// Checks that `TargetQueue` meets latency targets under overload and mixed service times, and
/// never exceeds its slots.
#include "support/Check.h"

#include "admission/Admission.h"

#include <map>
#include <set>

using namespace dandelion;

namespace {

/// Simulates calls that arrive at an admission queue and run for given times, and counts how many
/// meet their target.
class Load
{
public:
  explicit Load(AdmissionQueue aQueue)
    : queue_(std::move(aQueue))
  {
  }

  void Arrive(TimePoint aNow, Duration aTarget, Duration aServiceTime, const CostClass& aCostClass)
  {
    Advance(aNow);
    CallKey key = next_++;
    calls_[key] = Call{ aNow + aTarget, aServiceTime, aCostClass };
    CallArrived arrived{
      key, TrafficClass::Interactive, aNow + aTarget * 3, aNow + aTarget, 2, aCostClass
    };
    Execute(queue_.Handle(arrived, aNow), aNow);
  }

  /// Finishes the calls that end until `aNow`, in order.
  void Advance(TimePoint aNow)
  {
    while (!ends_.empty() && ends_.begin()->first <= aNow) {
      auto [at, key] = *ends_.begin();
      ends_.erase(ends_.begin());
      inTime += at <= calls_.at(key).target ? 1 : 0;
      inTimeOf[calls_.at(key).costClass] += at <= calls_.at(key).target ? 1 : 0;
      late += at <= calls_.at(key).target ? 0 : 1;
      Execute(queue_.Handle(CallFinished{ key }, at), at);
    }
    Execute(queue_.RefuseExpired(aNow), aNow);
  }

  int inTime = 0;
  int late = 0;
  int refused = 0;
  int maxRunning = 0;
  std::map<CostClass, int> inTimeOf;
  std::map<CostClass, int> refusedOf;

private:
  struct Call
  {
    TimePoint target;
    Duration serviceTime;
    CostClass costClass;
  };

  void Execute(const AdmissionEffects& aEffects, TimePoint aNow)
  {
    for (const AdmissionEffect& effect : aEffects) {
      std::visit(Overloaded{
                   [&](const RunCall& aRun) {
                     ends_.emplace(aNow + calls_.at(aRun.call).serviceTime, aRun.call);
                   },
                   [&](const RefuseCall& aRefuse) {
                     ++refused;
                     ++refusedOf[calls_.at(aRefuse.call).costClass];
                   },
                 },
                 effect);
    }
    maxRunning = std::max(maxRunning, static_cast<int>(ends_.size()));
  }

  AdmissionQueue queue_;
  CallKey next_ = 1;
  std::map<CallKey, Call> calls_;
  std::set<std::pair<TimePoint, CallKey>> ends_;
};

constexpr int64_t kSlots = 6;

/// Simulates ten seconds of load at 1.7 times the capacity of the slots.
Load SimulateOverload(QueueOrderName aOrder)
{
  Load load(AdmissionQueue(aOrder, kSlots));
  TimePoint now;
  // 6 slots can run 60 calls of 100 ms a second.
  for (int i = 0; i < 1020; ++i) {
    now += microseconds(9800);
    load.Arrive(now, milliseconds(400), milliseconds(100), "lookup");
  }
  load.Advance(now + seconds(2));
  return load;
}

} // namespace

Test(target_queue, meets_targets_at_full_capacity_under_overload)
{
  Load fifo = SimulateOverload(QueueOrderName::OneFifo);
  Load byTarget = SimulateOverload(QueueOrderName::ByTarget);
  // The slots can run 600 calls in ten seconds.
  cr_assert_gt(byTarget.inTime, 540, "in time: %d", byTarget.inTime);
  cr_assert_lt(byTarget.late, 30, "late: %d", byTarget.late);
  cr_assert_lt(fifo.inTime, 300, "in time with one FIFO queue: %d", fifo.inTime);
}

Test(target_queue, runs_calls_with_near_targets_first_and_meets_far_targets_too)
{
  Load load(AdmissionQueue(QueueOrderName::ByTarget, kSlots));
  TimePoint now;
  for (int i = 0; i < 300; ++i) {
    now += milliseconds(25);
    load.Arrive(now, milliseconds(150), milliseconds(30), "certificate");
    if (i % 4 == 0) {
      load.Arrive(now, milliseconds(1500), milliseconds(400), "report");
    }
  }
  load.Advance(now + seconds(5));
  cr_assert_gt(load.inTime, 360, "in time: %d of 375", load.inTime);
}

Test(target_queue, keeps_cheap_calls_past_their_target)
{
  // Calls of cost class "sale" fill the slots. Each call of cost class "certificate" belongs to a
  // sale that holds a slot of another upstream, so refusing it fails that sale as well.
  Load load(AdmissionQueue(QueueOrderName::ByTarget, kSlots));
  TimePoint now;
  int certificates = 0;
  for (int i = 0; i < 1000; ++i) {
    now += milliseconds(20);
    load.Arrive(now, milliseconds(600), milliseconds(220), "sale");
    if (i % 2 == 0) {
      load.Arrive(now, milliseconds(120), milliseconds(30), "certificate");
      ++certificates;
    }
  }
  load.Advance(now + seconds(3));
  cr_assert_leq(load.refusedOf["certificate"],
                certificates / 100,
                "%d of %d",
                load.refusedOf["certificate"],
                certificates);
  // Certificates need 15 s of the 120 s of slot time. The rest is enough for 477 sales of 220 ms.
  cr_assert_gt(load.inTimeOf["sale"], 450, "sales in time: %d", load.inTimeOf["sale"]);
}

Test(target_queue, ignores_failures_in_service_time)
{
  TargetQueue queue(1);
  TimePoint now(seconds(1));
  for (CallKey key = 1; key <= 40; ++key) {
    bool isServiceTimeSample = key <= 20;
    queue.Handle(
      CallArrived{ key, TrafficClass::Interactive, now + seconds(2), now + seconds(1), 1, "k" },
      now);
    now += isServiceTimeSample ? milliseconds(100) : milliseconds(1);
    queue.Handle(CallFinished{ key, isServiceTimeSample }, now);
  }
  cr_assert(queue.EstimateFor("k", now).serviceTime == milliseconds(100));
}

Test(target_queue, refuses_call_that_would_exceed_its_max_queue_delay)
{
  TargetQueue queue(1);
  TimePoint now(seconds(1));
  CallArrived call{ 1, TrafficClass::Interactive, now + seconds(2), now + seconds(1), 1, "k" };
  call.maxQueueDelay = Duration::zero();
  // A call that must not wait at all runs if a slot is free.
  cr_assert(std::holds_alternative<RunCall>(queue.Handle(call, now).at(0)));
  call.call = 2;
  cr_assert(std::holds_alternative<RefuseCall>(queue.Handle(call, now).at(0)));
  call.call = 3;
  call.maxQueueDelay = milliseconds(200);
  cr_assert(queue.Handle(call, now).empty());
}

Test(target_queue, refuses_waiting_calls_of_other_zones_first)
{
  TargetQueue queue(1);
  TimePoint now(seconds(1));
  CallKey next = 1;
  auto arrive = [&](bool aIsFromOtherZone, int64_t aPriority) {
    CallArrived call{
      next++, TrafficClass::Interactive, now + seconds(1), now + milliseconds(330), aPriority
    };
    call.isFromOtherZone = aIsFromOtherZone;
    return queue.Handle(call, now);
  };
  // One call runs and two wait, as many as can meet the target at 100 ms each.
  arrive(false, 1);
  cr_assert(arrive(true, 0).empty());
  cr_assert(arrive(true, 1).empty());
  // The call of the own zone takes the room of one that is not more urgent.
  AdmissionEffects effects = arrive(false, 1);
  cr_assert_eq(effects.size(), 1);
  cr_assert_eq(std::get<RefuseCall>(effects.at(0)).call, 3);
  // The more urgent call of the other zone keeps its place.
  effects = arrive(false, 1);
  cr_assert_eq(effects.size(), 1);
  cr_assert_eq(std::get<RefuseCall>(effects.at(0)).call, 5);
  // A call of another zone takes no room.
  effects = arrive(true, 1);
  cr_assert_eq(std::get<RefuseCall>(effects.at(0)).call, 6);
}

Test(target_queue, never_exceeds_slots_and_ends_each_call_once)
{
  CHECK_PROPERTY("any arrivals", [] {
    Load load(AdmissionQueue(QueueOrderName::ByTarget, kSlots));
    TimePoint now;
    int calls = *rc::gen::inRange(1, 200);
    for (int i = 0; i < calls; ++i) {
      now += microseconds(*rc::gen::inRange<int64_t>(0, 60000));
      load.Arrive(now,
                  milliseconds(*rc::gen::inRange<int64_t>(1, 2000)),
                  milliseconds(*rc::gen::inRange<int64_t>(1, 500)),
                  *rc::gen::element<std::string>("a", "b"));
    }
    load.Advance(now + seconds(60));
    RC_ASSERT(load.maxRunning <= kSlots);
    RC_ASSERT(load.inTime + load.late + load.refused == calls);
  });
}

Test(target_queue, refuses_waiting_calls_on_close_and_can_reopen)
{
  TargetQueue queue(1);
  TimePoint now;
  CallArrived call{ 1, TrafficClass::Short, now + seconds(9), now + seconds(9), 1, "a" };
  cr_assert(std::holds_alternative<RunCall>(queue.Handle(call, now).at(0)));
  call.call = 2;
  cr_assert(queue.Handle(call, now).empty());
  cr_assert_eq(queue.Close().size(), 1);
  call.call = 3;
  cr_assert(std::holds_alternative<RefuseCall>(queue.Handle(call, now).at(0)));
  queue.Open();
  call.call = 4;
  cr_assert(queue.Handle(call, now).empty());
  cr_assert_eq(queue.Waiting(), 1);
}
