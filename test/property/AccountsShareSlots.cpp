/// Checks that accounts share the slots of an upstream fairly, in virtual time. Guards against an
/// account that pushes the calls of others out of the queue, or is itself left with less than the
/// others do not use.
///
/// Loads, each on 4 slots and calls of 20 ms (200 a second): accounts-hot, 20 accounts that use 0.8
/// of the slots, the largest at 7.5 times its rate; accounts-small, 60 accounts of 1 call a second
/// beside 3 that each ask for all slots; accounts-retries, one account that asks for 1.5 times the
/// slots and sends each refused call again after 2 ms, up to 20 times; accounts-cost, two accounts
/// that each ask for more than all slots with calls of 10 and 40 ms; accounts-short, an account
/// that asks for 1.5 times the slots with calls of 5 ms beside 10 that use half of them with 50 ms.
#include "support/Check.h"

#include "admission/Admission.h"

#include <cmath>
#include <functional>
#include <map>
#include <random>

using namespace dandelion;

namespace {

constexpr int64_t kSlots = 4;
constexpr Duration kLength = seconds(20);
constexpr Duration kTarget = milliseconds(300);

struct Sender
{
  std::string account;
  double callsPerS = 1;
  Duration serviceTime = milliseconds(20);
  int retries = 0;
  std::string callerService = {};
};

struct Result
{
  int sent = 0;
  int inTime = 0;
  Duration slotTime = Duration::zero();
  double ShareInTime() const { return static_cast<double>(inTime) / sent; }
};

/// Plays senders against a queue. Calls arrive at random times with the rate of their sender.
class Load
{
public:
  explicit Load(uint64_t aSeed)
    : random_(aSeed)
    , queue_(kSlots)
  {
  }

  std::map<std::string, Result> Play(const std::vector<Sender>& aSenders)
  {
    for (const Sender& sender : aSenders) {
      ScheduleNext(sender);
    }
    while (!events_.empty() && events_.begin()->first < TimePoint(kLength)) {
      auto event = events_.begin();
      now_ = event->first;
      auto action = std::move(event->second);
      events_.erase(event);
      Execute(queue_.RefuseExpired(now_));
      action();
    }
    return results_;
  }

private:
  struct Call
  {
    Sender sender;
    TimePoint target;
    int retriesLeft = 0;
  };

  void ScheduleNext(const Sender& aSender)
  {
    double wait = std::exponential_distribution<double>(aSender.callsPerS)(random_);
    events_.emplace(now_ + Duration(static_cast<int64_t>(wait * 1e6)), [this, aSender] {
      ++results_[aSender.account].sent;
      Arrive(Call{ aSender, now_ + kTarget, aSender.retries });
      ScheduleNext(aSender);
    });
  }

  void Arrive(const Call& aCall)
  {
    CallKey key = next_++;
    calls_[key] = aCall;
    CallArrived arrived{ key, TrafficClass::Interactive, now_ + kTarget * 3, now_ + kTarget, 1 };
    arrived.costClass = std::to_string(aCall.sender.serviceTime.count());
    arrived.account = aCall.sender.account;
    arrived.callerService = aCall.sender.callerService;
    Execute(queue_.Handle(arrived, now_));
  }

  void Execute(const AdmissionEffects& aEffects)
  {
    for (const AdmissionEffect& effect : aEffects) {
      std::visit(Overloaded{
                   [&](const RunCall& aRun) { Run(aRun.call); },
                   [&](const RefuseCall& aRefuse) { Retry(aRefuse.call); },
                 },
                 effect);
    }
  }

  void Run(CallKey aKey)
  {
    Duration serviceTime = calls_.at(aKey).sender.serviceTime;
    events_.emplace(now_ + serviceTime, [this, aKey, serviceTime] {
      const Call& call = calls_.at(aKey);
      Result& result = results_[call.sender.account];
      result.inTime += now_ <= call.target ? 1 : 0;
      result.slotTime += serviceTime;
      calls_.erase(aKey);
      Execute(queue_.Handle(CallFinished{ aKey }, now_));
    });
  }

  void Retry(CallKey aKey)
  {
    Call call = calls_.at(aKey);
    calls_.erase(aKey);
    if (call.retriesLeft-- > 0) {
      events_.emplace(now_ + milliseconds(2), [this, call] { Arrive(call); });
    }
  }

  std::mt19937_64 random_;
  TargetQueue queue_;
  TimePoint now_;
  std::multimap<TimePoint, std::function<void()>> events_;
  std::map<CallKey, Call> calls_;
  std::map<std::string, Result> results_;
  CallKey next_ = 1;
};

double SlotShare(const Result& aResult)
{
  return static_cast<double>(aResult.slotTime.count()) /
         static_cast<double>((kLength * kSlots).count());
}

/// The calls of all accounts but one that were answered in time, of those sent.
double ShareOfOthers(const std::map<std::string, Result>& aResults, const std::string& aAccount)
{
  Result others;
  for (const auto& [account, result] : aResults) {
    if (account != aAccount) {
      others.sent += result.sent;
      others.inTime += result.inTime;
    }
  }
  return others.ShareInTime();
}

double LowestShare(const std::map<std::string, Result>& aResults, const std::string& aPrefix)
{
  double lowest = 1;
  for (const auto& [account, result] : aResults) {
    if (account.rfind(aPrefix, 0) == 0) {
      lowest = std::min(lowest, result.ShareInTime());
    }
  }
  return lowest;
}

/// 20 accounts with Zipf-distributed rates (exponent 1.2) that together use 0.8 of the slots. The
/// first one sends `aFactor` times its usual rate.
std::vector<Sender> MakeZipfSenders(double aFactor)
{
  std::vector<Sender> senders;
  double sum = 0;
  for (int rank = 1; rank <= 20; ++rank) {
    senders.push_back(Sender{ fmt::format("z{}", rank), std::pow(rank, -1.2) });
    sum += senders.back().callsPerS;
  }
  for (Sender& sender : senders) {
    sender.callsPerS *= 0.8 * 200 / sum;
  }
  senders[0].callsPerS *= aFactor;
  return senders;
}

} // namespace

Test(accounts_share_slots, a_hot_account_costs_the_others_nothing)
{
  for (uint64_t seed = 1; seed <= 5; ++seed) {
    double usual = ShareOfOthers(Load(seed).Play(MakeZipfSenders(1)), "z1");
    auto results = Load(seed).Play(MakeZipfSenders(7.5));
    double others = ShareOfOthers(results, "z1");
    double used = 0;
    for (const auto& [account, result] : results) {
      used += SlotShare(result);
    }
    cr_assert_geq(others, usual - 0.01, "%f instead of %f", others, usual);
    // What the others leave goes to the hot account.
    cr_assert_geq(used, 0.97, "%f", used);
  }
}

Test(accounts_share_slots, small_accounts_are_not_starved_by_large_ones)
{
  for (uint64_t seed = 1; seed <= 5; ++seed) {
    std::vector<Sender> senders;
    for (int i = 0; i < 60; ++i) {
      senders.push_back(Sender{ fmt::format("small{}", i) });
    }
    for (int i = 0; i < 3; ++i) {
      senders.push_back(Sender{ fmt::format("large{}", i), 200.0 * (i + 1) });
    }
    auto results = Load(seed).Play(senders);
    double lowest = LowestShare(results, "small");
    cr_assert_geq(lowest, 0.85, "%f", lowest);
    // The large ones share the rest, 0.7 of the slots, however much each asks for.
    for (int i = 0; i < 3; ++i) {
      double share = SlotShare(results[fmt::format("large{}", i)]);
      cr_assert(share > 0.21 && share < 0.26, "%f", share);
      results.erase(fmt::format("large{}", i));
    }
    cr_assert_geq(ShareOfOthers(results, ""), 0.99, "%f", ShareOfOthers(results, ""));
  }
}

Test(accounts_share_slots, retries_gain_an_account_nothing)
{
  for (uint64_t seed = 1; seed <= 5; ++seed) {
    std::vector<Sender> senders = MakeZipfSenders(1);
    senders.push_back(Sender{ "retries", 300, milliseconds(20), 20 });
    senders.push_back(Sender{ "patient", 300 });
    auto results = Load(seed).Play(senders);
    double gain = SlotShare(results["retries"]) - SlotShare(results["patient"]);
    cr_assert_leq(std::abs(gain), 0.02, "%f", gain);
    // Accounts that ask for less than an equal share, all but the first of them, get it.
    for (const char* account : { "z1", "retries", "patient" }) {
      results.erase(account);
    }
    cr_assert_geq(ShareOfOthers(results, ""), 0.98, "%f", ShareOfOthers(results, ""));
  }
}

Test(accounts_share_slots, the_share_is_of_slot_time_and_not_of_calls)
{
  auto results = Load(1).Play({ Sender{ "short", 800, milliseconds(10) },
                                Sender{ "long", 200, milliseconds(40) },
                                Sender{ "", 800, milliseconds(10), 0, "caller" } });
  for (const auto& [account, result] : results) {
    cr_assert(SlotShare(result) > 0.30 && SlotShare(result) < 0.36, "%f", SlotShare(result));
  }
}

Test(accounts_share_slots, short_calls_of_a_hot_account_do_not_go_before_all_others)
{
  for (uint64_t seed = 1; seed <= 5; ++seed) {
    std::vector<Sender> senders = { Sender{ "hot", 1200, milliseconds(5) } };
    for (int i = 0; i < 10; ++i) {
      senders.push_back(Sender{ fmt::format("other{}", i), 4, milliseconds(50) });
    }
    auto results = Load(seed).Play(senders);
    double others = ShareOfOthers(results, "hot");
    cr_assert_geq(others, 0.98, "%f", others);
  }
}

Test(accounts_share_slots, without_accounts_the_order_does_not_depend_on_the_caller)
{
  CHECK_PROPERTY("any load of two caller services", [] {
    uint64_t seed = *rc::gen::inRange<uint64_t>(0, 1000000);
    std::vector<std::vector<std::string>> started;
    for (const char* service : { "one", "other" }) {
      std::mt19937_64 random(seed);
      TargetQueue queue(2);
      std::vector<std::string> effects;
      TimePoint now;
      std::vector<CallKey> running;
      auto record = [&](const AdmissionEffects& aEffects) {
        for (const AdmissionEffect& effect : aEffects) {
          if (const auto* run = std::get_if<RunCall>(&effect)) {
            running.push_back(run->call);
            effects.push_back(fmt::format("run {}", run->call));
          } else {
            effects.push_back(fmt::format("refuse {}", std::get<RefuseCall>(effect).call));
          }
        }
      };
      for (CallKey key = 1; key <= 200; ++key) {
        now += milliseconds(random() % 20);
        CallArrived call{ key, TrafficClass::Interactive, now + seconds(1), now };
        call.target += milliseconds(100 + random() % 400);
        call.priority = static_cast<int64_t>(random() % 3);
        call.costClass = std::to_string(random() % 3);
        call.callerService = key % 3 == 0 ? service : "one";
        record(queue.Handle(call, now));
        if (!running.empty() && random() % 3 > 0) {
          CallKey finished = running.front();
          running.erase(running.begin());
          record(queue.Handle(CallFinished{ finished }, now));
        }
      }
      started.push_back(effects);
    }
    RC_ASSERT(started[0] == started[1]);
  });
}
