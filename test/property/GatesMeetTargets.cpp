/// The gate that serves by target, under the loads it is meant for.
#include "support/Check.h"

#include "admission/Admission.h"

#include <map>
#include <set>

using namespace dandelion;

namespace {

/// Calls of one service that arrive at a gate, run for a time each, and are judged by their target.
class Load
{
public:
  explicit Load(AdmissionQueue aQueue)
    : queue_(std::move(aQueue))
  {
  }

  void Arrive(TimePoint aNow, Duration aTarget, Duration aWork, const CostClass& aCostClass)
  {
    Advance(aNow);
    CallKey key = next_++;
    calls_[key] = Call{ aNow + aTarget, aWork, aCostClass };
    CallArrived arrived{
      key, TrafficClass::Interactive, aNow + aTarget * 3, aNow + aTarget, 2, aCostClass
    };
    Execute(queue_.Handle(arrived, aNow), aNow);
  }

  /// Ends what ends until `aNow`, in order.
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
  int mostRunning = 0;
  std::map<CostClass, int> inTimeOf;
  std::map<CostClass, int> refusedOf;

private:
  struct Call
  {
    TimePoint target;
    Duration work;
    CostClass costClass;
  };

  void Execute(const AdmissionEffects& aEffects, TimePoint aNow)
  {
    for (const AdmissionEffect& effect : aEffects) {
      std::visit(
        Overloaded{
          [&](const RunCall& aRun) { ends_.emplace(aNow + calls_.at(aRun.call).work, aRun.call); },
          [&](const RefuseCall& aRefuse) {
            ++refused;
            ++refusedOf[calls_.at(aRefuse.call).costClass];
          },
        },
        effect);
    }
    mostRunning = std::max(mostRunning, static_cast<int>(ends_.size()));
  }

  AdmissionQueue queue_;
  CallKey next_ = 1;
  std::map<CallKey, Call> calls_;
  std::set<std::pair<TimePoint, CallKey>> ends_;
};

constexpr int64_t kSlots = 6;

/// A crest of 1.7 times what the slots can do, for ten seconds.
Load PlayCrest(QueueOrderName aOrder)
{
  Load load(AdmissionQueue(aOrder, kSlots));
  TimePoint now;
  // 6 slots of 100 ms each do 60 calls a second.
  for (int i = 0; i < 1020; ++i) {
    now += microseconds(9800);
    load.Arrive(now, milliseconds(400), milliseconds(100), "lookup");
  }
  load.Advance(now + seconds(2));
  return load;
}

} // namespace

Test(target_queue, keeps_the_slots_busy_with_calls_in_time_at_a_crest)
{
  Load plain = PlayCrest(QueueOrderName::OneFifo);
  Load ours = PlayCrest(QueueOrderName::ByTarget);
  // What the slots can do in ten seconds is 600 calls.
  cr_assert_gt(ours.inTime, 540, "in time: %d", ours.inTime);
  cr_assert_lt(ours.late, 30, "late: %d", ours.late);
  cr_assert_lt(plain.inTime, 300, "the plain queue answers in time: %d", plain.inTime);
}

Test(target_queue, lets_patient_calls_wait_behind_urgent_ones_and_serves_both)
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

Test(target_queue, keeps_slight_calls_on_which_others_wait_past_their_target)
{
  // Certificates are checked on behalf of sales that hold slots elsewhere, beside sales of this
  // gate that fill it. A certificate that is refused costs a whole sale.
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
  // What the certificates leave of the slots goes to sales: 6 slots of 220 ms, less 3.5 percent.
  cr_assert_gt(load.inTimeOf["sale"], 450, "sales in time: %d", load.inTimeOf["sale"]);
}

Test(target_queue, takes_no_quick_failure_for_quick_work)
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

Test(target_queue, refuses_at_once_what_would_rather_ask_elsewhere)
{
  TargetQueue queue(1);
  TimePoint now(seconds(1));
  CallArrived call{ 1, TrafficClass::Interactive, now + seconds(2), now + seconds(1), 1, "k" };
  call.maxQueueDelay = Duration::zero();
  // A free slot suits the most impatient call.
  cr_assert(std::holds_alternative<RunCall>(queue.Handle(call, now).at(0)));
  call.call = 2;
  cr_assert(std::holds_alternative<RefuseCall>(queue.Handle(call, now).at(0)));
  call.call = 3;
  call.maxQueueDelay = milliseconds(200);
  cr_assert(queue.Handle(call, now).empty());
}

Test(target_queue, never_exceeds_the_slots_and_answers_every_call_once)
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
    RC_ASSERT(load.mostRunning <= kSlots);
    RC_ASSERT(load.inTime + load.late + load.refused == calls);
  });
}

Test(target_queue, refuses_what_waits_when_it_closes_and_opens_again)
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
