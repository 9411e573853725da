/// Checks that goodput stays at capacity when callers ask for two or three times as much, and is
/// back soon afterwards. The load: callers with two retries that honour Retry-After, service times
/// with a spread of a half, upstreams of three speeds, and two levels of calls, where a run that
/// loses its nested call has been in vain. Guards against queues that fill until every call that
/// they run ends just after its target.
#include "support/Check.h"

#include "admission/Admission.h"
#include "overload/Overload.h"
#include "routing/Routing.h"

#include <cmath>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>

using namespace dandelion;

namespace {

constexpr int kCallers = 40;
constexpr int64_t kSlots = 9;
constexpr Duration kOneWayDelay = milliseconds(1);
/// Relative service times of the upstreams of each service, in turn.
constexpr double kSlowness[] = { 0.7, 0.7, 1.6 };

struct Kind
{
  std::string name;
  std::string service;
  double serviceTimeMs;
  Duration target;
  Duration deadline;
  int64_t priority;
  /// Kind of the nested call that a run makes half-way; empty for none.
  std::string nested;
  double nestedShare;
};

const Kind kStatus{ "status", "front", 150, milliseconds(500), seconds(3), 0, "lookup", 0.7 };
const Kind kOrder{ "order", "back", 200, milliseconds(600), seconds(4), 1, "", 0 };
const Kind kLookup{ "lookup", "back", 38, milliseconds(150), milliseconds(500), 0, "", 0 };

/// Callers, upstreams and the way between them in virtual time.
class Simulation
{
public:
  explicit Simulation(uint64_t aSeed)
    : random_(aSeed)
  {
    for (int i = 0; i < 36; ++i) {
      Member member;
      member.id = "u" + std::to_string(i);
      member.region = "east";
      member.zone = "east-0";
      member.service = i < 24 ? "front" : "back";
      member.endpoint = Endpoint{ "10.0.0.1", static_cast<uint16_t>(i + 1) };
      member.incarnation = 1;
      member.slots = kSlots;
      table_.Merge(member);
      upstreams_.emplace(member.id, Upstream{ TargetQueue(kSlots), kSlowness[i % 3], {} });
    }
    self_.id = "self";
    self_.region = "east";
    self_.zone = "east-0";
    for (int i = 0; i < kCallers; ++i) {
      choices_.push_back(
        std::make_unique<UpstreamChoice>(EarliestFinish{}, aSeed + static_cast<uint64_t>(i), now_));
    }
    CheckExpired();
  }

  /// Status calls and orders arrive until `aUntil` at these rates a second.
  void Load(double aStatusRate, double aOrderRate, TimePoint aUntil)
  {
    statusRate_ = aStatusRate;
    orderRate_ = aOrderRate;
    if (!isLoaded_) {
      isLoaded_ = true;
      Arrive(kStatus, statusRate_);
      Arrive(kOrder, orderRate_);
    }
    while (now_ < aUntil && !events_.empty()) {
      Event event = events_.top();
      events_.pop();
      now_ = event.at;
      event.run();
    }
  }

  /// Calls that were answered within their target, counted from the client's first attempt, since
  /// the last call of this function.
  int TakeInTime() { return std::exchange(inTime_, 0); }

  TimePoint Now() const { return now_; }
  int refusedSends = 0;
  /// Runs that ended without an answer since their nested call was refused.
  int lostRuns = 0;

private:
  struct Event
  {
    TimePoint at;
    uint64_t order;
    std::function<void()> run;
    bool operator<(const Event& aOther) const
    {
      return at != aOther.at ? at > aOther.at : order > aOther.order;
    }
  };
  struct Upstream
  {
    TargetQueue queue;
    double slowness;
    std::map<CallKey, std::pair<std::function<void()>, std::function<void()>>> pending;
  };
  /// One attempt of a client, or one nested call, at the node that it has entered through.
  struct Call
  {
    const Kind& kind;
    TimePoint clientBeganAt;
    TimePoint beganAt;
    TimePoint deadline;
    size_t caller;
    TriedMembers tried = {};
    Attempts attempts{ false, 2, {} };
    std::function<void(bool aHasRun)> done = {};
  };

  void After(Duration aDelay, std::function<void()> aRun)
  {
    events_.push(Event{ now_ + aDelay, nextOrder_++, std::move(aRun) });
  }

  void Arrive(const Kind& aKind, const double& aRate)
  {
    std::exponential_distribution<double> gap(1.0);
    After(Duration(static_cast<int64_t>(gap(random_) / aRate * 1e6)), [this, &aKind, &aRate] {
      Attempt(aKind, now_, 2);
      Arrive(aKind, aRate);
    });
  }

  void Attempt(const Kind& aKind, TimePoint aClientBeganAt, int aRetries)
  {
    auto call = std::make_shared<Call>(Call{ aKind,
                                             aClientBeganAt,
                                             now_,
                                             aClientBeganAt + aKind.deadline,
                                             static_cast<size_t>(random_() % kCallers) });
    call->attempts = Attempts(false, 2, call->deadline);
    call->done = [this, call, aRetries](bool aHasRun) {
      if (call->tried.Sends() > 0) {
        limiters_[call->caller].OnCallEnded(call->kind.service, call->kind.name, !aHasRun, now_);
      }
      if (aHasRun) {
        inTime_ += now_ <= call->clientBeganAt + call->kind.target ? 1 : 0;
        return;
      }
      Duration wait = milliseconds(100 + static_cast<int64_t>(random_() % 200));
      if (aRetries > 0 && now_ + wait < call->deadline) {
        After(wait,
              [this, call, aRetries] { Attempt(call->kind, call->clientBeganAt, aRetries - 1); });
      }
    };
    Send(call);
  }

  void Send(const std::shared_ptr<Call>& aCall)
  {
    if (limiters_[aCall->caller].IsLimiting(aCall->kind.service, aCall->kind.name, now_)) {
      aCall->tried.EndShortWait();
    }
    aCall->tried.BeginSend();
    const Member* member = Choose(*aCall);
    if (member == nullptr && aCall->tried.EndShortWait()) {
      member = Choose(*aCall);
    }
    if (member == nullptr) {
      aCall->done(false);
      return;
    }
    Duration left = aCall->clientBeganAt + aCall->kind.target - now_;
    Duration maxQueueDelay = aCall->tried.MaxQueueDelay(left).value_or(Duration::max());
    bool isShortWait = maxQueueDelay != Duration::max();
    aCall->tried.OnSent(member->id);
    choices_[aCall->caller]->OnAttemptStarted(member->id);
    std::string id = member->id;
    After(kOneWayDelay, [this, aCall, id, left, maxQueueDelay, isShortWait] {
      Queue(aCall, id, left, maxQueueDelay, isShortWait);
    });
  }

  const Member* Choose(const Call& aCall)
  {
    ChoiceQuery query{ aCall.kind.service, true, Duration::zero(), aCall.tried.Excluded() };
    query.costClass = aCall.kind.name;
    query.mustMeetTarget =
      aCall.tried.MustMeetTarget() ||
      limiters_[aCall.caller].IsLimiting(aCall.kind.service, aCall.kind.name, now_);
    query.timeLeft = aCall.clientBeganAt + aCall.kind.target - now_;
    return choices_[aCall.caller]->Choose(table_, self_, query, now_);
  }

  void Queue(const std::shared_ptr<Call>& aCall,
             const std::string& aMember,
             Duration aLeft,
             Duration aMaxQueueDelay,
             bool aIsShortWait)
  {
    Upstream& upstream = upstreams_.at(aMember);
    CallKey key = nextKey_++;
    auto run = [this, aCall, aMember, key] { Run(aCall, aMember, key); };
    auto refuse = [this, aCall, aMember, aIsShortWait] {
      Reply(aCall, aMember, false, aIsShortWait);
    };
    upstream.pending[key] = { run, refuse };
    CallArrived arrived{ key,
                         TrafficClass::Interactive,
                         aCall->deadline,
                         now_ + aLeft - kOneWayDelay,
                         aCall->kind.priority,
                         aCall->kind.name,
                         aMaxQueueDelay };
    Execute(aMember, upstream.queue.Handle(arrived, now_));
  }

  void Execute(const std::string& aMember, const AdmissionEffects& aEffects)
  {
    Upstream& upstream = upstreams_.at(aMember);
    for (const AdmissionEffect& effect : aEffects) {
      std::visit(Overloaded{
                   [&](const RunCall& aRun) { upstream.pending.at(aRun.call).first(); },
                   [&](const RefuseCall& aRefuse) { upstream.pending.at(aRefuse.call).second(); },
                 },
                 effect);
    }
  }

  void Run(const std::shared_ptr<Call>& aCall, const std::string& aMember, CallKey aKey)
  {
    std::lognormal_distribution<double> spread(-0.125, 0.5);
    double ms = aCall->kind.serviceTimeMs * upstreams_.at(aMember).slowness * spread(random_);
    Duration half(static_cast<int64_t>(ms * 500));
    auto finish = [this, aCall, aMember, aKey](bool aHasRun) {
      Execute(aMember, upstreams_.at(aMember).queue.Handle(CallFinished{ aKey, aHasRun }, now_));
      Reply(aCall, aMember, aHasRun, false, !aHasRun);
    };
    bool hasNested = !aCall->kind.nested.empty() &&
                     std::uniform_real_distribution<double>()(random_) < aCall->kind.nestedShare;
    if (!hasNested) {
      After(half * 2, [finish] { finish(true); });
      return;
    }
    After(half, [this, aCall, half, finish] {
      auto nested = std::make_shared<Call>(Call{ kLookup,
                                                 now_,
                                                 now_,
                                                 std::min(aCall->deadline, now_ + kLookup.deadline),
                                                 static_cast<size_t>(random_() % kCallers) });
      nested->attempts = Attempts(true, 2, nested->deadline);
      nested->done = [this, half, finish](bool aHasRun) {
        lostRuns += aHasRun ? 0 : 1;
        if (aHasRun) {
          After(half, [finish] { finish(true); });
        } else {
          finish(false);
        }
      };
      Send(nested);
    });
  }

  void Reply(const std::shared_ptr<Call>& aCall,
             const std::string& aMember,
             bool aHasRun,
             bool aIsShortWait,
             bool aHasFailed = false)
  {
    QueueEstimate estimate = upstreams_.at(aMember).queue.EstimateFor(aCall->kind.name, now_);
    After(kOneWayDelay, [this, aCall, aMember, aHasRun, aIsShortWait, aHasFailed, estimate] {
      AttemptResult result;
      result.queueEstimate = estimate;
      result.costClass = aCall->kind.name;
      result.networkRoundTrip = kOneWayDelay * 2;
      choices_[aCall->caller]->OnAttemptEnded(aMember, result, now_);
      if (aHasRun || aHasFailed) {
        aCall->done(aHasRun);
        return;
      }
      if (aIsShortWait) {
        aCall->tried.OnShortWaitRefused(aMember);
      }
      ++refusedSends;
      FinishedAttempt end{ CallOutcome::NotRun, false };
      end.hasReachedUpstream = false;
      if (aCall->attempts.OnEnded(end, budget_, now_) == NextStep::Retry) {
        Send(aCall);
      } else {
        aCall->done(false);
      }
    });
  }

  void CheckExpired()
  {
    for (auto& [id, upstream] : upstreams_) {
      Execute(id, upstream.queue.RefuseExpired(now_));
    }
    After(milliseconds(50), [this] { CheckExpired(); });
  }

  std::mt19937_64 random_;
  TimePoint now_{ seconds(1) };
  MemberTable table_;
  Member self_;
  std::map<std::string, Upstream> upstreams_;
  std::vector<std::unique_ptr<UpstreamChoice>> choices_;
  std::vector<EntryLimiter> limiters_ = std::vector<EntryLimiter>(kCallers);
  RetryBudget budget_;
  std::priority_queue<Event> events_;
  uint64_t nextOrder_ = 0;
  CallKey nextKey_ = 1;
  double statusRate_ = 1;
  double orderRate_ = 1;
  bool isLoaded_ = false;
  int inTime_ = 0;
};

/// About what the upstreams can run in time.
constexpr double kStatusRate = 1000;
constexpr double kOrderRate = 400;
constexpr int kMeasuredSeconds = 4;

struct Outcome
{
  /// Calls a second that were answered in time, under the load and in the second second after it.
  int goodput;
  int goodputAfterwards;
  int lostRuns;
};

Outcome Measure(double aLoad)
{
  Simulation simulation(20261206);
  simulation.Load(kStatusRate * aLoad, kOrderRate * aLoad, simulation.Now() + seconds(2));
  simulation.TakeInTime();
  simulation.lostRuns = 0;
  simulation.Load(
    kStatusRate * aLoad, kOrderRate * aLoad, simulation.Now() + seconds(kMeasuredSeconds));
  Outcome outcome{ simulation.TakeInTime() / kMeasuredSeconds, 0, simulation.lostRuns };
  constexpr double kLoadAfterwards = 0.7;
  simulation.Load(
    kStatusRate * kLoadAfterwards, kOrderRate * kLoadAfterwards, simulation.Now() + seconds(1));
  simulation.TakeInTime();
  simulation.Load(
    kStatusRate * kLoadAfterwards, kOrderRate * kLoadAfterwards, simulation.Now() + seconds(1));
  outcome.goodputAfterwards = simulation.TakeInTime();
  return outcome;
}

} // namespace

Test(goodput, stays_at_capacity_when_callers_ask_for_more)
{
  Outcome atCapacity = Measure(1);
  for (double load : { 2.0, 3.0 }) {
    Outcome overloaded = Measure(load);
    cr_assert_gt(overloaded.goodput * 100,
                 atCapacity.goodput * 85,
                 "at %.0f times the load: %d a second, at capacity %d",
                 load,
                 overloaded.goodput,
                 atCapacity.goodput);
    // 0.7 of 1400 calls a second, less what is refused while estimates are old.
    cr_assert_gt(overloaded.goodputAfterwards, 882, "%d", overloaded.goodputAfterwards);
    cr_assert_lt(overloaded.lostRuns, 100, "%d", overloaded.lostRuns);
  }
}

Test(client_deadlines, shorter_deadline_than_usual_shows_a_repeated_attempt)
{
  ClientDeadlines deadlines;
  for (int i = 0; i < 20; ++i) {
    deadlines.Observe("status", milliseconds(3000));
    // Repeated attempts have different times left.
    deadlines.Observe("status", milliseconds(2800 - i));
  }
  cr_assert(deadlines.Observe("status", milliseconds(2700)) == milliseconds(300));
  cr_assert(deadlines.Observe("status", milliseconds(3000)) == Duration::zero());
  cr_assert(deadlines.Observe("status", milliseconds(9000)) == Duration::zero());
  cr_assert(deadlines.Observe("status", std::nullopt) == Duration::zero());
  // Calls that upstreams make inherit deadlines that are all different.
  for (int i = 0; i < 40; ++i) {
    cr_assert(deadlines.Observe("lookup", milliseconds(500 - i)) == Duration::zero());
  }
}
