/// Judges one order: merges the reports of the service's upstreams, decides the stage, and permits
/// calls. Events in, effects out.
#ifndef DANDELION_VERSIONS_ROLLOUT_JUDGE_H
#define DANDELION_VERSIONS_ROLLOUT_JUDGE_H

#include "versions/RolloutPlan.h"
#include "versions/VersionVerdict.h"

#include <map>
#include <optional>
#include <set>
#include <variant>

namespace dandelion {

/// Writes the record and the operator's view of it, on condition that the record in the store still
/// has the revision that it was last read at.
struct WriteRolloutState
{
  RolloutRecord record;
  int64_t expectedRevision = 0;
};
struct ReadRolloutState
{};
struct SendPermit
{
  std::string to;
  RolloutPermit permit;
};
using RolloutEffect = std::variant<WriteRolloutState, ReadRolloutState, SendPermit>;
using RolloutEffects = std::vector<RolloutEffect>;

class RolloutJudge
{
public:
  RolloutJudge(RolloutOrder aOrder, RolloutBounds aBounds, TimePoint aNow);

  /// Handles a report and answers it with a permit.
  RolloutEffects OnReport(const RolloutReport& aReport, TimePoint aNow);
  /// Advances the stage and announces the order to `aMembers`, the service's nodes, of which none
  /// has reported lately. Must be called every 200 ms. `aRank` is this node's place among the
  /// judges; a judge writes only if those before it have not.
  RolloutEffects Tick(const std::vector<std::string>& aMembers, size_t aRank, TimePoint aNow);
  /// Handles a read of the record that was sent at `aSentAt`; without a record the store holds none
  /// of this order. `aRevision` is 0 where the store holds no record at all.
  void OnRecord(const std::optional<RolloutRecord>& aRecord, int64_t aRevision, TimePoint aSentAt);
  /// The latest read or write had no result, or the record had been changed meanwhile.
  void OnStoreFailed(TimePoint aNow);
  /// The record was written; `aRevision` is 0 where the store does not tell.
  void OnWritten(const RolloutRecord& aRecord, int64_t aRevision, TimePoint aNow);
  /// The store's view of the orders was current at `aAsOf`.
  void OnConfirmed(TimePoint aAsOf) { confirmedAt_ = std::max(confirmedAt_, aAsOf); }

  const RolloutOrder& Order() const { return order_; }
  /// The stage that the store holds, or a verdict of bad that it does not hold yet.
  RolloutStage Stage() const;
  bool IsDecided() const { return isStored_ && IsFinal(stored_.stage); }
  const VersionJudgement& Judgement() const { return judgement_; }
  /// Calls that upstreams of the target version have had or may have, and calls of the service.
  int64_t ExposedCalls() const;
  int64_t ServiceCalls() const;

private:
  /// An incarnation of a node, and the version of its upstream.
  using SourceKey = std::tuple<std::string, uint64_t, std::string>;
  struct Source
  {
    PolicyCounts counts;
    /// Counts of the first report, which precede the order for upstreams of the old version.
    PolicyCounts baseline;
    int64_t maxCalls = 0;
    int64_t slots = 0;
    int64_t running = 0;
    bool isWarmedUp = false;
    TimePoint reportedAt;
  };

  bool IsFresh(const Source& aSource, TimePoint aNow) const;
  bool IsTarget(const SourceKey& aKey) const { return std::get<2>(aKey) == order_.targetVersion; }
  /// Fresh sources of the target version, in the order of their nodes.
  std::vector<SourceKey> TargetSources(TimePoint aNow) const;
  bool IsOldRunning(TimePoint aNow) const;
  bool HasOldEnded(TimePoint aNow) const;
  void UpdateJudgement();
  void UpdateAllowance(TimePoint aNow);
  std::optional<RolloutStage> WantedStage(TimePoint aNow);
  RolloutPermit MakePermit(const SourceKey& aKey, TimePoint aNow) const;
  /// Calls by node and incarnation of the target version, those that were only allowed included.
  std::map<std::pair<std::string, uint64_t>, int64_t> ExposedCallsBySender() const;
  RolloutRecord MakeRecord(RolloutStage aStage, TimePoint aNow) const;
  void SetStage(const RolloutRecord& aRecord, TimePoint aNow);
  void MaybeWrite(RolloutEffects& aEffects, size_t aRank, TimePoint aNow);

  RolloutOrder order_;
  RolloutPlan plan_;
  TimePoint beganAt_;
  TimePoint confirmedAt_;
  std::map<SourceKey, Source> sources_;
  /// Calls of the target version that the record in the store knows.
  std::map<std::pair<std::string, uint64_t>, int64_t> recordedCalls_;
  RolloutRecord stored_;
  int64_t storedRevision_ = 0;
  bool isStored_ = false;
  bool hasRead_ = false;
  bool isStoreBusy_ = false;
  TimePoint stageSince_;
  std::optional<TimePoint> wantsWriteSince_;
  TimePoint nextStoreCall_;
  TimePoint nextCheckpoint_;
  TimePoint lastOldSeenAt_;
  int64_t writtenExposed_ = 0;
  VersionJudgement judgement_;
  /// The store holds the record of a later order.
  bool isSuperseded_ = false;
  bool isBad_ = false;
  std::string badReason_;
};

} // namespace dandelion

#endif
