#include "support/RolloutWorld.h"

#include <algorithm>

namespace dandelion::testing {

namespace {

constexpr char kOldVersion[] = "v1";
constexpr char kTargetVersion[] = "v2";
constexpr Duration kWarmUp = seconds(3);
constexpr double kFailureRateOfBad = 0.4;
constexpr int kSlowness = 8;
constexpr int64_t kCountedBadAnswers = 50;

} // namespace

RolloutWorld::RolloutWorld(RolloutWorldSettings aSettings)
  : settings_(aSettings)
  , random_(aSettings.seed)
{
  order_ = RolloutOrder{ "s", kTargetVersion, settings_.duration, 7 };
  for (int i = 0; i < 2 * settings_.upstreamsPerVersion; ++i) {
    bool isTarget = i >= settings_.upstreamsPerVersion;
    auto upstream = std::make_unique<Upstream>();
    upstream->id = std::string(isTarget ? "new-" : "old-") + std::to_string(i);
    upstream->version = isTarget ? kTargetVersion : kOldVersion;
    upstream->fault = isTarget ? settings_.targetFault : settings_.oldFault;
    // The old ones have run for long.
    upstream->startsAt = isTarget ? Between(200, 900) : Duration(-seconds(100));
    upstreams_.push_back(std::move(upstream));
    After(std::max(Duration::zero(), upstreams_.back()->startsAt),
          [this, i] { StartUpstream(static_cast<size_t>(i)); });
  }
  After(Between(50, 400), [this] { StartJudges(); });
  if (settings_.restartAt.has_value()) {
    After(*settings_.restartAt, [this] { RestartAll(); });
  }
}

bool RolloutWorld::Chance(double aProbability)
{
  return std::uniform_real_distribution<double>(0, 1)(random_) < aProbability;
}

Duration RolloutWorld::Between(int64_t aMinMs, int64_t aMaxMs)
{
  return milliseconds(std::uniform_int_distribution<int64_t>(aMinMs, aMaxMs)(random_));
}

void RolloutWorld::After(Duration aDelay, std::function<void()> aRun)
{
  events_.push(Event{ now_ + aDelay, nextNumber_++, std::move(aRun) });
}

void RolloutWorld::Deliver(const std::function<void()>& aRun)
{
  int copies = Chance(settings_.lossRate) ? 0 : Chance(settings_.duplicateRate) ? 2 : 1;
  for (int i = 0; i < copies; ++i) {
    After(Between(1, 80), aRun);
  }
}

void RolloutWorld::StartUpstream(size_t aIndex)
{
  Upstream& upstream = *upstreams_[aIndex];
  upstream.gate = VersionGate();
  upstream.counts = UpstreamCounts();
  upstream.running = 0;
  upstream.warmSince = std::max(upstream.startsAt, now_) + kWarmUp + milliseconds(500);
  upstream.gate.OnUpstream(upstream.version, upstream.id, Now());
  if (upstream.startsAt < Duration::zero() && now_ == Duration::zero()) {
    // It was open before the order.
    upstream.gate.AssumeNoOrder(Now());
    upstream.warmSince = Duration::zero();
  }
  upstream.isUp = true;
}

void RolloutWorld::StartJudges()
{
  judges_.clear();
  for (size_t i = 0; i < settings_.judges; ++i) {
    judges_.push_back(std::make_shared<RolloutJudge>(order_, bounds_, Now()));
  }
}

void RolloutWorld::RestartAll()
{
  judges_.clear();
  for (size_t i = 0; i < upstreams_.size(); ++i) {
    Upstream& upstream = *upstreams_[i];
    if (now_ < upstream.startsAt) {
      continue;
    }
    upstream.isUp = false;
    ++upstream.incarnation;
    After(Between(300, 900), [this, i] { StartUpstream(i); });
  }
  After(Between(300, 900), [this] { StartJudges(); });
}

void RolloutWorld::SendReports()
{
  for (const auto& upstream : upstreams_) {
    bool isOtherRunning = false;
    for (const auto& other : upstreams_) {
      isOtherRunning |=
        other->isUp && other->version != upstream->version && other->gate.IsOpen(Now());
    }
    upstream->gate.OnMembers(false, isOtherRunning, Now());
    bool reports = upstream->gate.NeedsAnswer() || upstream->gate.IsOrderRunning();
    if (!upstream->isUp || !reports) {
      continue;
    }
    RolloutReport report;
    report.sender = upstream->id;
    report.incarnation = upstream->incarnation;
    report.service = order_.service;
    report.upstreamVersion = upstream->version;
    report.isWarmingUp = now_ < upstream->warmSince;
    report.slots = 6;
    report.running = upstream->running;
    report.counts = upstream->counts.CountsOf(upstream->version);
    report.maxCalls = upstream->gate.MaxCalls();
    report.orderRevision = upstream->gate.OrderRevision();
    report.stage = upstream->gate.Stage();
    for (size_t i = 0; i < judges_.size(); ++i) {
      Deliver([this, i, report] {
        if (i < judges_.size()) {
          Execute(i, judges_[i]->OnReport(report, Now()));
        }
      });
    }
  }
}

void RolloutWorld::TickJudges()
{
  std::vector<std::string> members;
  for (const auto& upstream : upstreams_) {
    if (upstream->isUp) {
      members.push_back(upstream->id);
    }
  }
  for (size_t i = 0; i < judges_.size(); ++i) {
    if (!IsStoreDown()) {
      judges_[i]->OnConfirmed(Now());
    }
    Execute(i, judges_[i]->Tick(members, i, Now()));
  }
}

void RolloutWorld::Execute(size_t aJudge, const RolloutEffects& aEffects)
{
  std::shared_ptr<RolloutJudge> judge = judges_[aJudge];
  for (const RolloutEffect& effect : aEffects) {
    std::visit(Overloaded{
                 [&](const SendPermit& aSend) {
                   for (size_t i = 0; i < upstreams_.size(); ++i) {
                     if (upstreams_[i]->id == aSend.to) {
                       Deliver([this, i, permit = aSend.permit] {
                         if (upstreams_[i]->isUp) {
                           upstreams_[i]->gate.OnPermit(permit, Now());
                         }
                       });
                     }
                   }
                 },
                 [&](const WriteRolloutState& aWrite) { Write(aJudge, aWrite); },
                 [&](const ReadRolloutState&) {
                   ++storeCalls;
                   bool isDown = IsStoreDown();
                   After(isDown ? Duration(seconds(1)) : Between(5, 100), [this, judge, isDown] {
                     if (isDown) {
                       judge->OnStoreFailed(Now());
                     } else {
                       judge->OnRecord(record, recordRevision_, Now());
                     }
                   });
                 },
               },
               effect);
  }
}

void RolloutWorld::Write(size_t aJudge, const WriteRolloutState& aWrite)
{
  ++storeCalls;
  std::shared_ptr<RolloutJudge> judge = judges_[aJudge];
  bool isDown = IsStoreDown();
  After(isDown ? Duration(seconds(1)) : Between(5, 100), [this, judge, aWrite, isDown] {
    if (isDown || aWrite.expectedRevision != recordRevision_) {
      judge->OnStoreFailed(Now());
      return;
    }
    record = aWrite.record;
    ++recordRevision_;
    if (IsFinal(record->stage) && !decidedAt.has_value()) {
      decidedAt = now_;
    }
    judge->OnWritten(*record, recordRevision_, Now());
  });
}

void RolloutWorld::SendCall()
{
  std::vector<size_t> open;
  for (size_t i = 0; i < upstreams_.size(); ++i) {
    if (upstreams_[i]->isUp && upstreams_[i]->gate.IsOpen(Now())) {
      open.push_back(i);
    }
  }
  if (open.empty()) {
    ++refusedCalls;
    return;
  }
  size_t index = open[random_() % open.size()];
  Upstream& upstream = *upstreams_[index];
  uint64_t kind = random_() % 10;
  std::string policy = kind < 6 ? "a" : kind < 9 ? "b" : "c";
  upstream.gate.OnAdmitted();
  upstream.counts.OnStarted(upstream.version, policy);
  ++upstream.running;
  bool isBeforeDeadline = now_ < settings_.duration;
  serviceCalls += isBeforeDeadline ? 1 : 0;
  if (upstream.version == kTargetVersion) {
    targetCalls += isBeforeDeadline ? 1 : 0;
    double bound = bounds_.exposeShare * static_cast<double>(serviceCalls) +
                   static_cast<double>(bounds_.exposeSlack);
    hasExceededExposure |= static_cast<double>(targetCalls) > bound;
    hasExceededRollback |= fiftiethBadAt_.has_value() && now_ - *fiftiethBadAt_ > bounds_.rollback;
  }
  uint64_t incarnation = upstream.incarnation;
  Duration start = now_;
  After(ServiceTime(upstream, policy),
        [this, index, incarnation, policy, start] { EndCall(index, incarnation, policy, start); });
}

/// Calls that run at an upstream on average when all calls go to one version.
double RolloutWorld::MeanRunning() const
{
  constexpr double kMeanServiceSeconds = 0.056;
  return settings_.callsPerSecond * kMeanServiceSeconds / settings_.upstreamsPerVersion;
}

bool RolloutWorld::Fails(const Upstream& aUpstream, const std::string& aPolicy, int aRunning)
{
  switch (aUpstream.fault) {
    case Fault::None:
    case Fault::Slow:
      return false;
    case Fault::Errors:
      return Chance(kFailureRateOfBad);
    case Fault::Later:
      return now_ - aUpstream.startsAt >= kWarmUp && Chance(kFailureRateOfBad);
    case Fault::UnderLoad:
      return aRunning > 0.5 * MeanRunning() && Chance(kFailureRateOfBad);
    case Fault::OnePolicy:
      return aPolicy == "b" && Chance(2 * kFailureRateOfBad);
  }
  return false;
}

Duration RolloutWorld::ServiceTime(const Upstream& aUpstream, const std::string& aPolicy)
{
  Duration time = Between(aPolicy == "c" ? 150 : 30, aPolicy == "c" ? 250 : 50);
  if (now_ < aUpstream.startsAt + kWarmUp) {
    time *= 2;
  }
  return aUpstream.fault == Fault::Slow ? kSlowness * time : time;
}

void RolloutWorld::EndCall(size_t aIndex,
                           uint64_t aIncarnation,
                           const std::string& aPolicy,
                           Duration aStart)
{
  Upstream& upstream = *upstreams_[aIndex];
  bool hasFailed = Fails(upstream, aPolicy, upstream.running);
  bool isBad = hasFailed || upstream.fault == Fault::Slow;
  if (upstream.version == kTargetVersion && isBad && ++badAnswers == kCountedBadAnswers) {
    fiftiethBadAt_ = now_;
  }
  if (upstream.incarnation == aIncarnation) {
    --upstream.running;
    bool isWarm = aStart >= upstream.warmSince;
    upstream.counts.OnEnded(upstream.version, aPolicy, now_ - aStart, hasFailed, isWarm);
  }
}

void RolloutWorld::Run()
{
  constexpr Duration kStep = milliseconds(5);
  constexpr Duration kTick = milliseconds(200);
  constexpr Duration kTimeAfterDeadline = seconds(6);
  double callsPerStep = settings_.callsPerSecond * std::chrono::duration<double>(kStep).count();
  for (Duration step = kStep; step < settings_.duration + kTimeAfterDeadline; step += kStep) {
    while (!events_.empty() && events_.top().at <= step) {
      Event event = events_.top();
      events_.pop();
      now_ = event.at;
      event.run();
    }
    now_ = step;
    if (step % kTick == Duration::zero()) {
      SendReports();
      TickJudges();
    }
    for (double left = callsPerStep; left > 0; left -= 1) {
      if (left >= 1 || Chance(left)) {
        SendCall();
      }
    }
  }
}

} // namespace dandelion::testing
