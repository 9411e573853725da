/// Counts of the calls that one upstream has run, by version and policy.
#ifndef DANDELION_VERSIONS_UPSTREAM_COUNTS_H
#define DANDELION_VERSIONS_UPSTREAM_COUNTS_H

#include "versions/VersionVerdict.h"

namespace dandelion {

/// Further policies are counted together, so that a report fits in one datagram.
constexpr size_t kMaxCountedPolicies = 12;
/// Buckets of service times; the last one holds all of 8 s and longer.
constexpr size_t kServiceTimeBuckets = 15;

class UpstreamCounts
{
public:
  void OnStarted(const std::string& aVersion, const std::string& aPolicy);
  /// Counts an answer of a call that was started with the same version and policy.
  void OnEnded(const std::string& aVersion,
               const std::string& aPolicy,
               Duration aServiceTime,
               bool aHasFailed,
               bool aIsWarmedUp);
  /// Calls of the version in all.
  int64_t CallsOf(const std::string& aVersion) const;
  std::vector<VersionCounts> CountsOf(const std::string& aVersion) const;

private:
  VersionCounts& Find(const std::string& aVersion, const std::string& aPolicy);

  std::map<std::string, PolicyCounts> counts_;
};

} // namespace dandelion

#endif
