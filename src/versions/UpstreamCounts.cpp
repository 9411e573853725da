#include "versions/UpstreamCounts.h"

#include <algorithm>

namespace dandelion {

namespace {

constexpr char kOtherPolicies[] = "others";

size_t BucketOf(Duration aServiceTime)
{
  size_t bucket = 0;
  while (bucket + 1 < kServiceTimeBuckets && aServiceTime >= milliseconds(int64_t{ 1 } << bucket)) {
    ++bucket;
  }
  return bucket;
}

} // namespace

VersionCounts& UpstreamCounts::Find(const std::string& aVersion, const std::string& aPolicy)
{
  PolicyCounts& policies = counts_[aVersion];
  bool isCounted = policies.count(aPolicy) > 0 || policies.size() < kMaxCountedPolicies;
  const std::string& name = isCounted ? aPolicy : kOtherPolicies;
  VersionCounts& counts = policies[name];
  counts.policy = name;
  return counts;
}

void UpstreamCounts::OnStarted(const std::string& aVersion, const std::string& aPolicy)
{
  ++Find(aVersion, aPolicy).calls;
}

void UpstreamCounts::OnEnded(const std::string& aVersion,
                             const std::string& aPolicy,
                             Duration aServiceTime,
                             bool aHasFailed,
                             bool aIsWarmedUp)
{
  VersionCounts& counts = Find(aVersion, aPolicy);
  counts.failures += aHasFailed ? 1 : 0;
  if (aIsWarmedUp) {
    counts.serviceTimes.resize(kServiceTimeBuckets);
    ++counts.serviceTimes[BucketOf(aServiceTime)];
  }
}

int64_t UpstreamCounts::CallsOf(const std::string& aVersion) const
{
  int64_t calls = 0;
  for (const VersionCounts& counts : CountsOf(aVersion)) {
    calls += counts.calls;
  }
  return calls;
}

std::vector<VersionCounts> UpstreamCounts::CountsOf(const std::string& aVersion) const
{
  std::vector<VersionCounts> result;
  auto found = counts_.find(aVersion);
  if (found != counts_.end()) {
    for (const auto& [policy, counts] : found->second) {
      result.push_back(counts);
    }
  }
  return result;
}

} // namespace dandelion
