/// Checks that `SlotQueue` never exceeds its slots and neither runs nor refuses a call twice, in
/// any order of arrivals, finishes, cancellations and deadlines. Checks also that waiting calls of
/// one class never keep another class from running, that bulk and background calls leave a slot
/// free, and that no waiting call is left behind when the queue closes.
#include "support/Check.h"

#include "admission/Admission.h"

#include <set>

using namespace dandelion;

namespace {

constexpr Duration kLongDeadline = seconds(1000);

/// A queue whose effects are checked after each event.
class CheckedQueue
{
public:
  explicit CheckedQueue(int64_t aSlots)
    : slots_(aSlots)
    , queue_(aSlots)
  {
  }

  void Handle(const AdmissionEvent& aEvent, TimePoint aNow) { Check(queue_.Handle(aEvent, aNow)); }
  void RefuseExpired(TimePoint aNow) { Check(queue_.RefuseExpired(aNow)); }
  void Close() { Check(queue_.Close()); }

  void Arrive(CallKey aCall, TrafficClass aClass, TimePoint aDeadline, TimePoint aNow)
  {
    undecided_.insert(aCall);
    classes_[aCall] = aClass;
    Handle(CallArrived{ aCall, aClass, aDeadline }, aNow);
  }

  void Finish(CallKey aCall, TimePoint aNow)
  {
    running_.erase(aCall);
    Handle(CallFinished{ aCall }, aNow);
  }

  const std::set<CallKey>& Running() const { return running_; }
  /// Calls that have neither run nor been refused, with the cancelled ones.
  const std::set<CallKey>& Undecided() const { return undecided_; }
  TrafficClass ClassOf(CallKey aCall) const { return classes_.at(aCall); }
  std::vector<CallKey> started;

private:
  void Check(const AdmissionEffects& aEffects)
  {
    for (const AdmissionEffect& effect : aEffects) {
      std::visit(
        Overloaded{
          [&](const RunCall& aRun) {
            RC_ASSERT(undecided_.erase(aRun.call) == 1);
            running_.insert(aRun.call);
            started.push_back(aRun.call);
          },
          [&](const RefuseCall& aRefuse) { RC_ASSERT(undecided_.erase(aRefuse.call) == 1); },
        },
        effect);
    }
    RC_ASSERT(static_cast<int64_t>(running_.size()) <= slots_);
    RC_ASSERT(static_cast<int64_t>(running_.size()) == queue_.Running());
  }

  int64_t slots_;
  SlotQueue queue_;
  std::set<CallKey> undecided_;
  std::set<CallKey> running_;
  std::map<CallKey, TrafficClass> classes_;
};

TrafficClass AnyClass()
{
  return static_cast<TrafficClass>(*rc::gen::inRange(0, 5));
}

} // namespace

Test(slot_queue, never_exceeds_slots_or_decides_call_twice)
{
  CHECK_PROPERTY("any arrivals, finishes, cancellations and times", [] {
    CheckedQueue queue(*rc::gen::inRange<int64_t>(1, 6));
    TimePoint now;
    CallKey next = 1;
    int steps = *rc::gen::inRange(1, 150);
    for (int i = 0; i < steps; ++i) {
      now += milliseconds(*rc::gen::inRange(0, 30));
      int action = *rc::gen::inRange(0, 6);
      if (action < 3) {
        queue.Arrive(next++, AnyClass(), now + milliseconds(*rc::gen::inRange(1, 200)), now);
      } else if (action == 3 && !queue.Running().empty()) {
        queue.Finish(*queue.Running().begin(), now);
      } else if (action == 4) {
        queue.Handle(CallCancelled{ *rc::gen::inRange<CallKey>(1, next + 1) }, now);
      } else {
        queue.RefuseExpired(now);
      }
    }
  });
}

Test(slot_queue, starves_no_class)
{
  CHECK_PROPERTY("calls of every class run while all classes have waiting calls", [] {
    CheckedQueue queue(*rc::gen::inRange<int64_t>(1, 5));
    TimePoint now;
    CallKey next = 1;
    for (int round = 0; round < 6; ++round) {
      for (const auto& row : EnumNames<TrafficClass>::kTable) {
        queue.Arrive(next++, row.value, now + kLongDeadline, now);
      }
    }
    std::map<TrafficClass, int> ran;
    while (!queue.Running().empty()) {
      now += milliseconds(1);
      CallKey call = *queue.Running().begin();
      ++ran[queue.ClassOf(call)];
      queue.Finish(call, now);
    }
    for (const auto& row : EnumNames<TrafficClass>::kTable) {
      RC_ASSERT(ran[row.value] > 0);
    }
    RC_ASSERT(queue.Undecided().empty());
  });
}

Test(slot_queue, reserves_slot_for_classes_other_than_bulk_and_background)
{
  CHECK_PROPERTY("bulk and background calls never hold every slot of two or more", [] {
    int64_t slots = *rc::gen::inRange<int64_t>(2, 20);
    CheckedQueue queue(slots);
    for (CallKey call = 1; call <= 40; ++call) {
      TrafficClass trafficClass =
        *rc::gen::inRange(0, 2) == 0 ? TrafficClass::Bulk : TrafficClass::Background;
      queue.Arrive(call, trafficClass, TimePoint(kLongDeadline), TimePoint());
    }
    RC_ASSERT(static_cast<int64_t>(queue.Running().size()) < slots);
    queue.Arrive(100, TrafficClass::Short, TimePoint(kLongDeadline), TimePoint());
    RC_ASSERT(queue.Running().count(100) == 1);
  });
}

Test(slot_queue, refuses_waiting_calls_on_close)
{
  CHECK_PROPERTY("closing refuses waiting calls and keeps running calls", [] {
    CheckedQueue queue(2);
    for (CallKey call = 1; call <= 10; ++call) {
      queue.Arrive(call, AnyClass(), TimePoint(kLongDeadline), TimePoint());
    }
    size_t running = queue.Running().size();
    queue.Close();
    RC_ASSERT(queue.Undecided().empty());
    RC_ASSERT(queue.Running().size() == running);
    queue.Arrive(11, TrafficClass::Short, TimePoint(kLongDeadline), TimePoint());
    RC_ASSERT(queue.Running().count(11) == 0);
    RC_ASSERT(queue.Undecided().empty());
  });
}
