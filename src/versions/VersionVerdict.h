/// Whether the upstreams of a version are good: a sequential test of failures and service times
/// against the upstreams of the old version in the same period, by policy.
#ifndef DANDELION_VERSIONS_VERSION_VERDICT_H
#define DANDELION_VERSIONS_VERSION_VERDICT_H

#include "versions/RolloutMessages.h"

#include <map>

namespace dandelion {

enum class Verdict
{
  Open,
  Good,
  Bad,
};

template<>
struct EnumNames<Verdict>
{
  static constexpr EnumName<Verdict> kTable[] = {
    { Verdict::Open, "open" },
    { Verdict::Good, "good" },
    { Verdict::Bad, "bad" },
  };
};

/// Counts by policy.
using PolicyCounts = std::map<std::string, VersionCounts>;

/// Adds counts to those of the same policy.
void AddCounts(PolicyCounts& aSum, const VersionCounts& aCounts);
/// Raises each count to that of a later report. Repeated and reordered reports change nothing.
void MergeCounts(PolicyCounts& aKnown, const std::vector<VersionCounts>& aReported);
/// Answers after the warm-up.
int64_t WarmAnswers(const VersionCounts& aCounts);

struct VersionJudgement
{
  Verdict verdict = Verdict::Open;
  std::string reason;
  /// Whether the version is more likely good than bad and some of its answers came after the
  /// warm-up. Decides where the time ends before the test does.
  bool isLikelyGood = false;
};

/// Judges the target version by all calls since the order. Error rates: a version that fails 0.12
/// more of its calls than the old one is found good in 0.08 of the cases, a version like the old
/// one is found bad in 0.005 of the cases, for each policy.
VersionJudgement JudgeVersion(const PolicyCounts& aTarget, const PolicyCounts& aOld);

} // namespace dandelion

#endif
