/// Tracks how many members of each zone have a version in force. Nodes report to the relays of
/// their zone, and the relays report to each other.
#ifndef DANDELION_SPREAD_VERSION_PROGRESS_H
#define DANDELION_SPREAD_VERSION_PROGRESS_H

#include "membership/Membership.h"
#include "release/Release.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace dandelion {

/// Maximum number of missing members that a report names. Further ones are only counted.
constexpr size_t kMaxMissingNamed = 4;
/// A zone whose relays have sent no report for this long is shown as unreachable.
constexpr Duration kZoneReportTimeout = seconds(12);

/// A relay's report about its own zone to the relays of other zones.
struct ZoneReport
{
  std::string zone;
  std::string region;
  std::string reporter;
  int64_t members = 0;
  /// Lowest version in force on a member of the zone.
  Version lowest = 0;
  /// Highest version that the reporter knows, and how many members have reached it.
  Version newest = 0;
  int64_t atNewest = 0;
  /// Some of the members that have not reached it.
  std::vector<std::string> missing;
};

/// Progress of one version in one zone.
struct ZoneProgress
{
  std::string zone;
  std::string region;
  int64_t members = 0;
  int64_t inForce = 0;
  std::vector<std::string> missing;
  bool isReachable = true;
};

template<class Visitor>
void VisitFields(Visitor& aVisitor, ZoneReport& aReport)
{
  aVisitor.Field("zone", aReport.zone);
  aVisitor.Field("region", aReport.region);
  aVisitor.Field("reporter", aReport.reporter);
  aVisitor.Field("members", aReport.members);
  aVisitor.Field("lowest", aReport.lowest);
  aVisitor.Field("newest", aReport.newest);
  aVisitor.Field("at_newest", aReport.atNewest);
  aVisitor.Field("missing", aReport.missing);
}

template<class Visitor>
void VisitFields(Visitor& aVisitor, ZoneProgress& aProgress)
{
  aVisitor.Field("zone", aProgress.zone);
  aVisitor.Field("region", aProgress.region);
  aVisitor.Field("members", aProgress.members);
  aVisitor.Field("in_force", aProgress.inForce);
  aVisitor.Field("missing", aProgress.missing);
  aVisitor.Field("reachable", aProgress.isReachable);
}

/// Builds a zone's report on one of its relays. `aCounted` are the members that must have a version
/// before it counts as in force everywhere, with the versions that they have reported.
ZoneReport MakeZoneReport(const Member& aSelf,
                          const std::vector<const Member*>& aCounted,
                          Version aNewest);

class VersionProgress
{
public:
  void OnReport(const ZoneReport& aReport, TimePoint aNow);

  /// Returns the progress of a version in every zone of the member table. In a zone without a
  /// report, no member counts as having the version.
  std::vector<ZoneProgress> Progress(Version aVersion,
                                     const MemberTable& aTable,
                                     TimePoint aNow) const;

private:
  struct ReceivedReport
  {
    ZoneReport report;
    TimePoint receivedAt;
  };
  std::map<std::string, ReceivedReport> reports_;
};

/// Whether all members of all zones have the version in force.
bool IsInForceEverywhere(const std::vector<ZoneProgress>& aProgress);

} // namespace dandelion

#endif
