#include "support/ZoneLoad.h"

#include <algorithm>
#include <cmath>

namespace dandelion::testing {

namespace {

constexpr int64_t kSlots = 6;
constexpr Duration kTarget = milliseconds(500);
constexpr Duration kDeadline = milliseconds(1200);
constexpr double kWorkMs = 150;
constexpr double kSpeeds[] = { 0.6, 1.0, 1.4 };
constexpr Duration kLength = seconds(40);
constexpr Duration kMiddle = seconds(20);
constexpr double kWaveS = 20;
constexpr Duration kSamplePeriod = seconds(1);
constexpr Duration kOldPeriod = seconds(5);
constexpr int64_t kWrongFactor = 10;
constexpr size_t kFaultyZone = 1;
constexpr size_t kAnswerBytes = 2000;
const std::string kKind = "k";

double Seconds(TimePoint aTime)
{
  return std::chrono::duration<double>(aTime - TimePoint()).count();
}

Member MakeMember(const std::string& aId, const std::string& aService, size_t aZone)
{
  Member member;
  member.id = aId;
  member.region = aZone < 2 ? "east" : "west";
  member.zone = "zone-" + std::to_string(aZone);
  member.service = aService;
  member.endpoint = Endpoint{ "10.0.0.1", 1 };
  member.incarnation = 1;
  member.slots = kSlots;
  return member;
}

} // namespace

ZoneLoad::ZoneLoad(const ZoneLoadSpec& aSpec)
  : spec_(aSpec)
{
  for (size_t zone = 0; zone < spec_.zones; ++zone) {
    for (size_t i = 0; i < spec_.upstreamsPerZone; ++i) {
      Member member = MakeMember(fmt::format("u{}-{}", zone, i), "s", zone);
      table_.Merge(member);
      upstreams_.emplace(
        member.id, Upstream{ member, zone, TargetQueue(kSlots), kSpeeds[i % 3], 0, false, {}, {} });
    }
    for (size_t i = 0; i < spec_.callersPerZone; ++i) {
      callers_.push_back(MakeMember(fmt::format("c{}-{}", zone, i), "callers", zone));
      uint64_t seed = callers_.size();
      choices_.push_back(std::make_unique<UpstreamChoice>(EarliestFinish{}, seed, now_));
      if (spec_.prices.has_value()) {
        choices_.back()->ShareZones(*spec_.prices, seed + 1000);
      }
    }
  }
}

void ZoneLoad::Run()
{
  for (size_t zone = 0; zone < spec_.zones; ++zone) {
    Arrive(zone);
  }
  Sample();
  if (spec_.fault == ZoneFault::Lost) {
    After(kMiddle, [this] {
      for (auto& [id, upstream] : upstreams_) {
        if (upstream.zone == kFaultyZone) {
          upstream.isLost = true;
          upstream.member.state = MemberState::Gone;
          table_.Merge(upstream.member);
        }
      }
    });
  }
  while (!events_.empty()) {
    Event event = events_.top();
    events_.pop();
    now_ = event.at;
    event.run();
  }
}

void ZoneLoad::After(Duration aDelay, std::function<void()> aRun)
{
  events_.push(Event{ now_ + aDelay, order_++, std::move(aRun) });
}

double ZoneLoad::DemandOf(size_t aZone) const
{
  double capacity = 0;
  for (const auto& [id, upstream] : upstreams_) {
    capacity += upstream.zone == aZone ? kSlots * upstream.speed * 1000 / kWorkMs : 0;
  }
  constexpr double kTurn = 2 * 3.14159265358979;
  double phase = static_cast<double>(aZone) / static_cast<double>(spec_.zones);
  double factor = spec_.skew.empty()
                    ? 1 + spec_.wave * std::sin(kTurn * (Seconds(now_) / kWaveS + phase))
                    : spec_.skew.at(aZone);
  return capacity * spec_.load * factor;
}

void ZoneLoad::Arrive(size_t aZone)
{
  if (now_ - TimePoint() > kLength) {
    return;
  }
  double gap = std::exponential_distribution<double>(DemandOf(aZone))(random_);
  After(microseconds(static_cast<int64_t>(gap * 1e6)), [this, aZone] { Arrive(aZone); });
  auto call = std::make_shared<Call>();
  call->zone = aZone;
  call->caller = aZone * spec_.callersPerZone + random_() % spec_.callersPerZone;
  call->arrivedAt = now_;
  arrived += IsCounted(*call) ? 1 : 0;
  Send(call);
}

void ZoneLoad::Send(const std::shared_ptr<Call>& aCall)
{
  UpstreamChoice& choice = *choices_[aCall->caller];
  auto choose = [&] {
    ChoiceQuery query{ "s", true, Duration::zero(), aCall->tried.Excluded(), kKind };
    query.timeLeft = aCall->arrivedAt + kTarget - now_;
    query.mustMeetTarget = aCall->tried.MustMeetTarget();
    query.refusedShortWait = &aCall->tried.RefusedShortWait();
    return choice.Choose(table_, callers_[aCall->caller], query, now_);
  };
  aCall->tried.BeginSend();
  const Member* member = choose();
  if (member == nullptr && aCall->tried.EndShortWait()) {
    member = choose();
  }
  if (member == nullptr || aCall->sendsLeft-- == 0) {
    refused += IsCounted(*aCall) ? 1 : 0;
    return;
  }
  Duration left = aCall->arrivedAt + kTarget - now_;
  Duration maxDelay = aCall->tried.MaxQueueDelay(left).value_or(Duration::max());
  std::string id = member->id;
  aCall->tried.OnSent(id);
  aCall->sentAt = now_;
  choice.OnAttemptStarted(id);
  After(OneWay(aCall->zone, upstreams_.at(id).zone),
        [this, aCall, id, maxDelay] { ArriveAtQueue(aCall, id, maxDelay); });
}

void ZoneLoad::ArriveAtQueue(const std::shared_ptr<Call>& aCall,
                             const std::string& aId,
                             Duration aMaxDelay)
{
  Upstream& upstream = upstreams_.at(aId);
  if (upstream.isLost) {
    Reply(aCall, aId, false);
    Send(aCall);
    return;
  }
  CallKey key = order_++;
  upstream.onRun[key] = [this, aCall, aId, key] {
    Upstream& runs = upstreams_.at(aId);
    ++runs.runs;
    double spread = std::uniform_real_distribution<double>(0.5, 1.5)(random_);
    After(microseconds(static_cast<int64_t>(kWorkMs * 1000 * spread / runs.speed)),
          [this, aCall, aId, key] { Finish(aCall, aId, key); });
  };
  onRefuse_[key] = [this, aCall, aId] { OnRefused(aCall, aId); };
  CallArrived arrival{ key,
                       TrafficClass::Interactive,
                       aCall->arrivedAt + kDeadline,
                       aCall->arrivedAt + kTarget,
                       1,
                       kKind,
                       aMaxDelay };
  arrival.isFromOtherZone = spec_.prices.has_value() && upstream.zone != aCall->zone;
  Execute(aId, upstream.queue.Handle(arrival, now_));
}

void ZoneLoad::Finish(const std::shared_ptr<Call>& aCall, const std::string& aId, CallKey aKey)
{
  Upstream& upstream = upstreams_.at(aId);
  if (upstream.isLost) {
    return;
  }
  AdmissionEffects effects = upstream.queue.Handle(CallFinished{ aKey }, now_);
  Reply(aCall, aId, true);
  Execute(aId, effects);
  bool isInTime = now_ + OneWay(aCall->zone, upstream.zone) - aCall->arrivedAt <= kTarget;
  if (IsCounted(*aCall)) {
    inTime += isInTime ? 1 : 0;
    late += isInTime ? 0 : 1;
    bool isSameRegion = aCall->zone / 2 == upstream.zone / 2;
    leftZone += isSameRegion && aCall->zone != upstream.zone ? 1 : 0;
    leftRegion += isSameRegion ? 0 : 1;
  }
  if (aCall->zone == 0) {
    ++sampleSent_;
    sampleLeft_ += upstream.zone == 0 ? 0 : 1;
  }
}

void ZoneLoad::Execute(const std::string& aId, const AdmissionEffects& aEffects)
{
  for (const AdmissionEffect& effect : aEffects) {
    CallKey key = std::visit([](const auto& aEffect) { return aEffect.call; }, effect);
    auto run = upstreams_.at(aId).onRun.extract(key);
    auto refuse = onRefuse_.extract(key);
    std::holds_alternative<RunCall>(effect) ? run.mapped()() : refuse.mapped()();
  }
}

void ZoneLoad::OnRefused(const std::shared_ptr<Call>& aCall, const std::string& aId)
{
  Reply(aCall, aId, false);
  aCall->tried.OnShortWaitRefused(aId);
  After(OneWay(aCall->zone, upstreams_.at(aId).zone), [this, aCall] { Send(aCall); });
}

void ZoneLoad::Reply(const std::shared_ptr<Call>& aCall, const std::string& aId, bool aIsAnswer)
{
  AttemptResult result;
  result.costClass = kKind;
  result.answerBytes = aIsAnswer ? kAnswerBytes : 0;
  bool isLost = upstreams_.at(aId).isLost;
  result.hasFailed = isLost;
  result.latency = now_ - aCall->sentAt;
  if (!isLost) {
    result.queueEstimate = EstimateOf(upstreams_.at(aId), aCall->zone);
  }
  choices_[aCall->caller]->OnAttemptEnded(aId, result, now_);
}

std::optional<QueueEstimate> ZoneLoad::EstimateOf(Upstream& aUpstream, size_t aCallerZone)
{
  QueueEstimate estimate = aUpstream.queue.EstimateFor(kKind, now_);
  // Callers of the zone itself get its true figures.
  bool isFaulty = IsFaulty() && aUpstream.zone == kFaultyZone && aCallerZone != kFaultyZone;
  switch (isFaulty ? spec_.fault : ZoneFault::None) {
    case ZoneFault::None:
    case ZoneFault::Lost:
      break;
    case ZoneFault::Old:
      if (aUpstream.old.slots == 0) {
        aUpstream.old = estimate;
        After(kOldPeriod, [&aUpstream] { aUpstream.old.slots = 0; });
      }
      return aUpstream.old;
    case ZoneFault::Missing:
      return std::nullopt;
    case ZoneFault::TooGood:
      estimate.freeSlots = estimate.slots;
      estimate.queueDelay /= kWrongFactor;
      estimate.serviceTime /= kWrongFactor;
      break;
    case ZoneFault::TooBad:
      estimate.freeSlots = 0;
      estimate.queueDelay *= kWrongFactor;
      estimate.serviceTime *= kWrongFactor;
      break;
  }
  return estimate;
}

Duration ZoneLoad::OneWay(size_t aFrom, size_t aTo) const
{
  if (aFrom == aTo) {
    return microseconds(200);
  }
  return aFrom / 2 == aTo / 2 ? milliseconds(1) : milliseconds(20);
}

bool ZoneLoad::IsFaulty() const
{
  return now_ - TimePoint() >= kMiddle;
}

bool ZoneLoad::IsCounted(const Call& aCall) const
{
  return aCall.arrivedAt - TimePoint() >= kMiddle;
}

void ZoneLoad::Sample()
{
  if (sampleSent_ > 0) {
    leaving.push_back(static_cast<double>(sampleLeft_) / sampleSent_);
  }
  sampleSent_ = sampleLeft_ = 0;
  if (now_ - TimePoint() < kLength) {
    After(kSamplePeriod, [this] { Sample(); });
  }
}

double ZoneLoad::BusiestShare() const
{
  int all = 0;
  int most = 0;
  for (const auto& [id, upstream] : upstreams_) {
    all += upstream.runs;
    most = std::max(most, upstream.runs);
  }
  return static_cast<double>(most) / all;
}

int ZoneLoad::Swings(double aSize) const
{
  int swings = 0;
  double turn = leaving.empty() ? 0 : leaving.front();
  int direction = 0;
  for (double share : leaving) {
    if (direction != 0 && (share - turn) * direction > 0) {
      turn = share;
    } else if (std::abs(share - turn) > aSize) {
      swings += direction == 0 ? 0 : 1;
      direction = share > turn ? 1 : -1;
      turn = share;
    }
  }
  return swings;
}

} // namespace dandelion::testing
