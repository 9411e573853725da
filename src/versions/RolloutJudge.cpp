#include "versions/RolloutJudge.h"

#include "versions/VersionGate.h"

#include <algorithm>

namespace dandelion {

namespace {

/// Most calls that one upstream may be allowed beyond those that it has reported, so that a version
/// that turns bad gets few more before the verdict.
constexpr int64_t kMaxGrant = 12;
/// Calls are allowed in bursts, since a version may be bad under load only, and each opening of an
/// upstream has to be announced to all nodes.
constexpr int64_t kMinGrant = 4;
/// Calls left to an upstream at which it is allowed more.
constexpr int64_t kGrantWhenLeft = 2;
/// A judge writes this much later than the one before it in rank.
constexpr Duration kWriteDelayByRank = seconds(1);
constexpr Duration kStoreRetryDelay = milliseconds(500);
/// So long before the end of the time for the verdict, all upstreams share the calls that are still
/// allowed: on a service with few calls, those of the canaries are too few for a verdict.
constexpr Duration kWideCanaryTime = milliseconds(2200);
/// The record is written again when this many more calls have reached the version, so that a
/// restart of all nodes loses no more of them.
constexpr int64_t kExposedCallsPerWrite = 10;
constexpr Duration kCheckpointPeriod = seconds(1);
/// A version with this many failures, and this share of its calls, is bad even where the old
/// version fails too: the time to roll back begins at the 50th.
constexpr int64_t kMaxFailures = 40;
constexpr double kMaxFailureShare = 0.15;
/// Without a report of an old upstream for this long, none is running.
constexpr Duration kOldGoneTime = kAloneTime;

int64_t CallsIn(const PolicyCounts& aCounts)
{
  int64_t calls = 0;
  for (const auto& [policy, counts] : aCounts) {
    calls += counts.calls;
  }
  return calls;
}

/// The counts since the baseline.
VersionCounts Difference(const VersionCounts& aCounts, const PolicyCounts& aBaseline)
{
  VersionCounts result = aCounts;
  auto base = aBaseline.find(aCounts.policy);
  if (base != aBaseline.end()) {
    result.calls -= base->second.calls;
    result.failures -= base->second.failures;
    for (size_t i = 0; i < base->second.serviceTimes.size(); ++i) {
      result.serviceTimes[i] -= base->second.serviceTimes[i];
    }
  }
  return result;
}

} // namespace

RolloutJudge::RolloutJudge(RolloutOrder aOrder, RolloutBounds aBounds, TimePoint aNow)
  : order_(std::move(aOrder))
  , plan_(order_.duration, aBounds)
  , beganAt_(aNow)
  , confirmedAt_(aNow)
  , stageSince_(aNow)
  , lastOldSeenAt_(aNow)
{
}

RolloutStage RolloutJudge::Stage() const
{
  bool isOverruled = isStored_ && IsFinal(stored_.stage);
  return isBad_ && !isOverruled ? RolloutStage::RolledBack : stored_.stage;
}

bool RolloutJudge::IsFresh(const Source& aSource, TimePoint aNow) const
{
  return aNow - aSource.reportedAt <= kPermitLifetime;
}

RolloutEffects RolloutJudge::OnReport(const RolloutReport& aReport, TimePoint aNow)
{
  SourceKey key(aReport.sender, aReport.incarnation, aReport.upstreamVersion);
  auto [found, isNew] = sources_.try_emplace(key);
  Source& source = found->second;
  MergeCounts(source.counts, aReport.counts);
  if (isNew && !IsTarget(key)) {
    source.baseline = source.counts;
  }
  source.maxCalls = std::max(source.maxCalls, aReport.maxCalls);
  source.slots = aReport.slots;
  source.running = aReport.running;
  source.isWarmedUp = source.isWarmedUp || !aReport.isWarmingUp;
  source.reportedAt = aNow;
  if (!IsTarget(key) && aReport.slots > 0) {
    lastOldSeenAt_ = aNow;
  }
  bool isOfThisOrder = aReport.orderRevision == order_.revision;
  if (isOfThisOrder && aReport.stage == RolloutStage::RolledBack && !isBad_) {
    isBad_ = true;
    badReason_ = "another judge found the version bad";
  }
  bool isBehind = isOfThisOrder && hasRead_ && aReport.stage > stored_.stage;
  if (isBehind && aReport.stage != RolloutStage::RolledBack && !IsDecided()) {
    // Another judge has written a stage.
    hasRead_ = false;
  }
  UpdateJudgement();
  UpdateAllowance(aNow);
  return { SendPermit{ aReport.sender, MakePermit(key, aNow) } };
}

std::vector<RolloutJudge::SourceKey> RolloutJudge::TargetSources(TimePoint aNow) const
{
  std::vector<SourceKey> keys;
  for (const auto& [key, source] : sources_) {
    if (!IsTarget(key) || !IsFresh(source, aNow) || source.slots == 0) {
      continue;
    }
    // Of two incarnations of a node, the later one runs.
    if (!keys.empty() && std::get<0>(keys.back()) == std::get<0>(key)) {
      keys.back() = key;
    } else {
      keys.push_back(key);
    }
  }
  return keys;
}

bool RolloutJudge::IsOldRunning(TimePoint aNow) const
{
  return aNow - lastOldSeenAt_ < kOldGoneTime;
}

bool RolloutJudge::HasOldEnded(TimePoint aNow) const
{
  return std::none_of(sources_.begin(), sources_.end(), [&](const auto& aRow) {
    return !IsTarget(aRow.first) && IsFresh(aRow.second, aNow) && aRow.second.running > 0;
  });
}

std::map<std::pair<std::string, uint64_t>, int64_t> RolloutJudge::ExposedCallsBySender() const
{
  std::map<std::pair<std::string, uint64_t>, int64_t> calls = recordedCalls_;
  for (const auto& [key, source] : sources_) {
    if (IsTarget(key)) {
      int64_t& known = calls[{ std::get<0>(key), std::get<1>(key) }];
      // Calls that were allowed count as spent: reports of them may be on their way.
      known = std::max({ known, CallsIn(source.counts), source.maxCalls });
    }
  }
  return calls;
}

int64_t RolloutJudge::ExposedCalls() const
{
  int64_t sum = 0;
  for (const auto& [sender, count] : ExposedCallsBySender()) {
    sum += count;
  }
  return sum;
}

int64_t RolloutJudge::ServiceCalls() const
{
  int64_t calls = 0;
  for (const auto& [key, source] : sources_) {
    calls += CallsIn(source.counts) - CallsIn(source.baseline);
  }
  return calls;
}

void RolloutJudge::UpdateJudgement()
{
  PolicyCounts target;
  PolicyCounts old;
  for (const auto& [key, source] : sources_) {
    for (const auto& [policy, counts] : source.counts) {
      AddCounts(IsTarget(key) ? target : old, Difference(counts, source.baseline));
    }
  }
  judgement_ = JudgeVersion(target, old);
  int64_t failures = 0;
  int64_t calls = 0;
  for (const auto& [policy, counts] : target) {
    failures += counts.failures;
    calls += counts.calls;
  }
  if (failures >= kMaxFailures &&
      static_cast<double>(failures) > kMaxFailureShare * static_cast<double>(calls)) {
    judgement_.verdict = Verdict::Bad;
  }
  if (judgement_.verdict == Verdict::Bad && !isBad_) {
    isBad_ = true;
    badReason_ = judgement_.reason;
  }
}

void RolloutJudge::UpdateAllowance(TimePoint aNow)
{
  bool isPermitted = Stage() == RolloutStage::Canary && isStored_ && IsOldRunning(aNow);
  if (!isPermitted) {
    return;
  }
  std::vector<SourceKey> targets = TargetSources(aNow);
  bool isWide = aNow - beganAt_ >= plan_.VerdictBy() - kWideCanaryTime;
  size_t canaries = isWide ? targets.size() : plan_.CanaryUpstreams(targets.size());
  for (size_t i = 0; i < canaries; ++i) {
    Source& source = sources_[targets[i]];
    int64_t calls = CallsIn(source.counts);
    int64_t left = plan_.Allowance(ServiceCalls(), source.isWarmedUp) - ExposedCalls();
    bool hasFew = source.maxCalls - calls <= kGrantWhenLeft;
    int64_t share = left / static_cast<int64_t>(canaries - i);
    int64_t grant = std::clamp(share, kMinGrant, kMaxGrant);
    if (hasFew && grant <= left) {
      source.maxCalls = std::max(source.maxCalls, calls) + grant;
    }
  }
}

RolloutPermit RolloutJudge::MakePermit(const SourceKey& aKey, TimePoint aNow) const
{
  RolloutPermit permit;
  permit.service = order_.service;
  permit.targetVersion = order_.targetVersion;
  permit.orderRevision = order_.revision;
  permit.stage = Stage();
  bool isProvisional = permit.stage != stored_.stage;
  permit.ageMs = isProvisional ? -1 : std::max<int64_t>(0, ToMilliseconds(aNow - confirmedAt_));
  auto found = sources_.find(aKey);
  permit.maxCalls = found == sources_.end() ? 0 : found->second.maxCalls;
  if (!IsTarget(aKey)) {
    permit.isOpen =
      permit.stage < RolloutStage::Closing || permit.stage == RolloutStage::RolledBack;
    return permit;
  }
  if (permit.stage == RolloutStage::Canary) {
    bool isOnlyVersion = isStored_ && !IsOldRunning(aNow);
    permit.isOpen = isOnlyVersion || permit.maxCalls > 0;
    permit.maxCalls = isOnlyVersion ? -1 : permit.maxCalls;
  } else if (permit.stage == RolloutStage::Opening) {
    std::vector<SourceKey> targets = TargetSources(aNow);
    size_t open = RolloutPlan::OpenUpstreams(aNow - stageSince_, targets.size());
    auto place = std::find(targets.begin(), targets.end(), aKey) - targets.begin();
    permit.isOpen = static_cast<size_t>(place) < open;
    permit.maxCalls = -1;
  } else {
    permit.isOpen = permit.stage != RolloutStage::RolledBack;
    permit.maxCalls = permit.isOpen ? -1 : permit.maxCalls;
  }
  return permit;
}

std::optional<RolloutStage> RolloutJudge::WantedStage(TimePoint aNow)
{
  if (IsDecided() || isSuperseded_) {
    return std::nullopt;
  }
  if (isBad_) {
    return RolloutStage::RolledBack;
  }
  if (!isStored_) {
    return RolloutStage::Canary;
  }
  Duration elapsed = aNow - beganAt_;
  Duration sinceStage = aNow - stageSince_;
  switch (stored_.stage) {
    case RolloutStage::Canary:
      if (judgement_.verdict == Verdict::Good) {
        return RolloutStage::Opening;
      }
      if (elapsed < plan_.VerdictBy()) {
        return std::nullopt;
      }
      // Without old upstreams, rolling back would leave the service with none.
      if (judgement_.isLikelyGood || !IsOldRunning(aNow)) {
        return RolloutStage::Opening;
      }
      isBad_ = true;
      badReason_ = "no verdict in time: " + judgement_.reason;
      return RolloutStage::RolledBack;
    case RolloutStage::Opening:
      return sinceStage >= kOpeningTime ? std::optional(RolloutStage::Closing) : std::nullopt;
    case RolloutStage::Closing:
      return sinceStage >= kMaxClosingTime || (sinceStage >= kMinClosingTime && HasOldEnded(aNow))
               ? std::optional(RolloutStage::Completed)
               : std::nullopt;
    case RolloutStage::Completed:
    case RolloutStage::RolledBack:
      return std::nullopt;
  }
  return std::nullopt;
}

RolloutRecord RolloutJudge::MakeRecord(RolloutStage aStage, TimePoint aNow) const
{
  RolloutRecord record;
  record.orderRevision = order_.revision;
  record.targetVersion = order_.targetVersion;
  record.stage = aStage;
  record.elapsedMs = ToMilliseconds(aNow - beganAt_);
  record.reason = isBad_ ? badReason_ : judgement_.reason;
  for (const auto& [sender, count] : ExposedCallsBySender()) {
    if (count > 0) {
      record.exposed.push_back({ sender.first, sender.second, count });
    }
  }
  return record;
}

void RolloutJudge::MaybeWrite(RolloutEffects& aEffects, size_t aRank, TimePoint aNow)
{
  std::optional<RolloutStage> wanted = WantedStage(aNow);
  // Other judges learn the calls from reports, so only the first one records them.
  bool isCheckpointDue = aRank == 0 && !isSuperseded_ && isStored_ &&
                         stored_.stage == RolloutStage::Canary && aNow >= nextCheckpoint_ &&
                         ExposedCalls() >= writtenExposed_ + kExposedCallsPerWrite;
  if (!wanted.has_value() && !isCheckpointDue) {
    wantsWriteSince_.reset();
    return;
  }
  if (!wantsWriteSince_.has_value()) {
    wantsWriteSince_ = aNow;
  }
  Duration delay = kWriteDelayByRank * static_cast<int64_t>(aRank);
  if (isStoreBusy_ || aNow < nextStoreCall_ || aNow - *wantsWriteSince_ < delay) {
    return;
  }
  isStoreBusy_ = true;
  nextCheckpoint_ = aNow + kCheckpointPeriod;
  RolloutRecord record = MakeRecord(wanted.value_or(stored_.stage), aNow);
  aEffects.emplace_back(WriteRolloutState{ record, storedRevision_ });
}

RolloutEffects RolloutJudge::Tick(const std::vector<std::string>& aMembers,
                                  size_t aRank,
                                  TimePoint aNow)
{
  RolloutEffects effects;
  if (!hasRead_ && !isStoreBusy_ && aNow >= nextStoreCall_) {
    isStoreBusy_ = true;
    effects.emplace_back(ReadRolloutState{});
  }
  UpdateAllowance(aNow);
  if (hasRead_) {
    MaybeWrite(effects, aRank, aNow);
  }
  std::set<std::string> reporting;
  for (const auto& [key, source] : sources_) {
    if (IsFresh(source, aNow)) {
      reporting.insert(std::get<0>(key));
    }
  }
  for (const std::string& member : aMembers) {
    if (reporting.count(member) == 0) {
      // Its version is not known here, so the permit opens nothing.
      RolloutPermit permit = MakePermit(SourceKey(member, 0, order_.targetVersion), aNow);
      permit.isOpen = permit.stage == RolloutStage::Completed;
      permit.maxCalls = 0;
      effects.emplace_back(SendPermit{ member, permit });
    }
  }
  return effects;
}

void RolloutJudge::SetStage(const RolloutRecord& aRecord, TimePoint aNow)
{
  bool isOfThisOrder = aRecord.orderRevision == order_.revision;
  if (!isOfThisOrder || (isStored_ && aRecord.stage < stored_.stage)) {
    return;
  }
  if (!isStored_ || aRecord.stage != stored_.stage) {
    stageSince_ = aNow;
    wantsWriteSince_.reset();
  }
  isStored_ = true;
  stored_ = aRecord;
  writtenExposed_ = 0;
  for (const auto& exposed : aRecord.exposed) {
    int64_t& known = recordedCalls_[{ exposed.sender, exposed.incarnation }];
    known = std::max(known, exposed.calls);
    writtenExposed_ += known;
  }
  // A judge that has taken over counts the time of those before it.
  beganAt_ = std::min(beganAt_, aNow - milliseconds(aRecord.elapsedMs));
}

void RolloutJudge::OnRecord(const std::optional<RolloutRecord>& aRecord,
                            int64_t aRevision,
                            TimePoint aSentAt)
{
  isStoreBusy_ = false;
  hasRead_ = true;
  storedRevision_ = aRevision;
  if (aRecord.has_value()) {
    isSuperseded_ = aRecord->orderRevision > order_.revision;
    SetStage(*aRecord, aSentAt);
  }
}

void RolloutJudge::OnStoreFailed(TimePoint aNow)
{
  isStoreBusy_ = false;
  hasRead_ = false;
  nextStoreCall_ = aNow + kStoreRetryDelay;
}

void RolloutJudge::OnWritten(const RolloutRecord& aRecord, int64_t aRevision, TimePoint aNow)
{
  isStoreBusy_ = false;
  storedRevision_ = aRevision;
  // The next write needs the revision.
  hasRead_ = aRevision > 0;
  confirmedAt_ = std::max(confirmedAt_, aNow);
  SetStage(aRecord, aNow);
}

} // namespace dandelion
