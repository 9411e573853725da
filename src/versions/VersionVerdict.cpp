#include "versions/VersionVerdict.h"

#include <algorithm>
#include <cmath>

namespace dandelion {

namespace {

/// A sequential probability ratio test ends when the logarithm of the ratio reaches these:
/// ln((1 - 0.08) / 0.005), and ln(0.08).
constexpr double kBadRatio = 5.21;
constexpr double kGoodRatio = -2.52;
/// Failure rates of a bad version exceed those of the old one by this much.
constexpr double kExcessFailures = 0.12;
constexpr double kMinFailureRate = 0.01;
/// A version with more failures than this is never found good, even where the old one fails too.
constexpr double kMaxGoodFailureRate = 0.15;
/// A bad version is 8 times slower. Answers of more than 4 times the old version's median count as
/// slow: 3 buckets above it, as its own bucket spans a factor of 2.
constexpr size_t kSlowBuckets = 3;
constexpr double kMinSlowRate = 0.03;
constexpr double kSlowRateOfBad = 0.45;
/// Rates beyond this would make the test end on single answers.
constexpr double kMaxRate = 0.97;
/// Answers of the old version that make its service times comparable.
constexpr int64_t kMinOldAnswers = 5;
/// Answers after the warm-up that a policy needs where it has this share of the old version's
/// calls.
constexpr int64_t kMinWarmAnswersOfPolicy = 4;
constexpr double kMinShareOfPolicy = 0.1;
/// Answers after the warm-up that a good version needs in all.
constexpr int64_t kMinWarmAnswers = 15;
/// Where the old version fails more often than this, the target version still has to be proven
/// against this rate, so that it is not completed on a few answers.
constexpr double kMaxFailureRateOfProof = 0.1;
/// Answers that are enough when the time ends before the test.
constexpr int64_t kMinLikelyAnswers = 8;

/// Ratio for `aHits` among `aTrials` under a rate of `aBad` against one of `aGood`.
double RatioOf(int64_t aHits, int64_t aTrials, double aGood, double aBad)
{
  auto hits = static_cast<double>(std::min(aHits, aTrials));
  double misses = static_cast<double>(aTrials) - hits;
  return hits * std::log(aBad / aGood) + misses * std::log((1 - aBad) / (1 - aGood));
}

/// Upper estimate of the old version's failure rate.
double FailureRateOf(const VersionCounts& aOld)
{
  constexpr double kPriorCalls = 20;
  double rate =
    (static_cast<double>(aOld.failures) + 1) / (static_cast<double>(aOld.calls) + kPriorCalls);
  return std::clamp(rate, kMinFailureRate, kMaxRate - kExcessFailures);
}

double FailureRatio(int64_t aFailures, int64_t aCalls, double aRateOfOld)
{
  return RatioOf(aFailures, aCalls, aRateOfOld, aRateOfOld + kExcessFailures);
}

size_t MedianBucket(const VersionCounts& aCounts)
{
  int64_t half = (WarmAnswers(aCounts) + 1) / 2;
  int64_t sum = 0;
  for (size_t i = 0; i < aCounts.serviceTimes.size(); ++i) {
    sum += aCounts.serviceTimes[i];
    if (sum >= half) {
      return i;
    }
  }
  return aCounts.serviceTimes.size();
}

int64_t AnswersFrom(const VersionCounts& aCounts, size_t aBucket)
{
  int64_t sum = 0;
  for (size_t i = aBucket; i < aCounts.serviceTimes.size(); ++i) {
    sum += aCounts.serviceTimes[i];
  }
  return sum;
}

/// 0 where the old version's answers are too few to compare with.
double SlownessRatio(const VersionCounts& aTarget, const VersionCounts& aOld)
{
  int64_t oldAnswers = WarmAnswers(aOld);
  if (oldAnswers < kMinOldAnswers) {
    return 0;
  }
  size_t slow = MedianBucket(aOld) + kSlowBuckets;
  double oldRate = static_cast<double>(AnswersFrom(aOld, slow)) / static_cast<double>(oldAnswers);
  double good = std::clamp(oldRate, kMinSlowRate, kMaxRate - kExcessFailures);
  double bad = std::min(kMaxRate, std::max(kSlowRateOfBad, good + kExcessFailures));
  return RatioOf(AnswersFrom(aTarget, slow), WarmAnswers(aTarget), good, bad);
}

VersionCounts SumOf(const PolicyCounts& aCounts)
{
  VersionCounts sum;
  for (const auto& [policy, counts] : aCounts) {
    sum.calls += counts.calls;
    sum.failures += counts.failures;
    // Service times of different policies cannot be compared, so only their number matters.
    sum.serviceTimes.resize(1);
    sum.serviceTimes[0] += WarmAnswers(counts);
  }
  return sum;
}

/// Looks for a bad policy, and for policies that are not proven.
VersionJudgement JudgePolicies(const PolicyCounts& aTarget, const PolicyCounts& aOld)
{
  VersionJudgement judgement;
  judgement.verdict = Verdict::Good;
  judgement.isLikelyGood = true;
  auto oldCalls = static_cast<double>(SumOf(aOld).calls);
  for (const auto& [policy, old] : aOld) {
    bool isFrequent = static_cast<double>(old.calls) >= kMinShareOfPolicy * oldCalls;
    auto target = aTarget.find(policy);
    bool isProven =
      target != aTarget.end() && WarmAnswers(target->second) >= kMinWarmAnswersOfPolicy;
    if (isFrequent && !isProven) {
      judgement.verdict = Verdict::Open;
      judgement.reason = fmt::format("policy {} has too few answers", policy);
    }
  }
  for (const auto& [policy, target] : aTarget) {
    auto found = aOld.find(policy);
    VersionCounts old = found == aOld.end() ? VersionCounts() : found->second;
    double failures = FailureRatio(target.failures, target.calls, FailureRateOf(old));
    double slowness = SlownessRatio(target, old);
    if (failures >= kBadRatio || slowness >= kBadRatio) {
      return { Verdict::Bad,
               fmt::format("policy {}: {} of {} calls failed (old {} of {}), slowness ratio {:.1f}",
                           policy,
                           target.failures,
                           target.calls,
                           old.failures,
                           old.calls,
                           slowness),
               false };
    }
    if (slowness > 0 || failures > 0) {
      judgement.verdict = Verdict::Open;
      judgement.isLikelyGood = false;
      judgement.reason = fmt::format("policy {} is not proven", policy);
    }
  }
  return judgement;
}

} // namespace

void AddCounts(PolicyCounts& aSum, const VersionCounts& aCounts)
{
  VersionCounts& sum = aSum[aCounts.policy];
  sum.policy = aCounts.policy;
  sum.calls += aCounts.calls;
  sum.failures += aCounts.failures;
  sum.serviceTimes.resize(std::max(sum.serviceTimes.size(), aCounts.serviceTimes.size()));
  for (size_t i = 0; i < aCounts.serviceTimes.size(); ++i) {
    sum.serviceTimes[i] += aCounts.serviceTimes[i];
  }
}

void MergeCounts(PolicyCounts& aKnown, const std::vector<VersionCounts>& aReported)
{
  for (const VersionCounts& reported : aReported) {
    VersionCounts& known = aKnown[reported.policy];
    known.policy = reported.policy;
    known.calls = std::max(known.calls, reported.calls);
    known.failures = std::max(known.failures, reported.failures);
    known.serviceTimes.resize(std::max(known.serviceTimes.size(), reported.serviceTimes.size()));
    for (size_t i = 0; i < reported.serviceTimes.size(); ++i) {
      known.serviceTimes[i] = std::max(known.serviceTimes[i], reported.serviceTimes[i]);
    }
  }
}

int64_t WarmAnswers(const VersionCounts& aCounts)
{
  return AnswersFrom(aCounts, 0);
}

VersionJudgement JudgeVersion(const PolicyCounts& aTarget, const PolicyCounts& aOld)
{
  VersionCounts target = SumOf(aTarget);
  VersionCounts old = SumOf(aOld);
  int64_t warm = WarmAnswers(target);
  VersionJudgement judgement = JudgePolicies(aTarget, aOld);
  if (judgement.verdict == Verdict::Bad) {
    return judgement;
  }
  double failures = FailureRatio(target.failures, target.calls, FailureRateOf(old));
  std::string counts = fmt::format("{} of {} calls failed (old {} of {}), {} answers after warm-up",
                                   target.failures,
                                   target.calls,
                                   old.failures,
                                   old.calls,
                                   warm);
  if (failures >= kBadRatio) {
    return { Verdict::Bad, counts, false };
  }
  bool failsLittle =
    static_cast<double>(target.failures) <= kMaxGoodFailureRate * static_cast<double>(warm);
  judgement.isLikelyGood =
    judgement.isLikelyGood && failures < 0 && failsLittle && warm >= kMinLikelyAnswers;
  // Failures before the warm-up count, answers before it do not.
  double rateOfProof = std::min(kMaxFailureRateOfProof, FailureRateOf(old));
  bool isProven =
    warm >= kMinWarmAnswers && FailureRatio(target.failures, warm, rateOfProof) <= kGoodRatio;
  if (!isProven || !failsLittle) {
    judgement.verdict = Verdict::Open;
  }
  judgement.reason += judgement.reason.empty() ? counts : "; " + counts;
  return judgement;
}

} // namespace dandelion
