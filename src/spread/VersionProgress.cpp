#include "spread/VersionProgress.h"

#include <algorithm>

namespace dandelion {

namespace {

void ApplyReport(ZoneProgress& aProgress, const ZoneReport& aReport, Version aVersion)
{
  aProgress.members = std::max(aProgress.members, aReport.members);
  if (aReport.lowest >= aVersion && aReport.members > 0) {
    // The report does not include members that joined after it was made, so these are not counted
    // as having the version.
    aProgress.inForce = aReport.members;
  } else if (aReport.newest >= aVersion) {
    aProgress.inForce = aReport.atNewest;
    aProgress.missing = aReport.missing;
  }
}

} // namespace

ZoneReport MakeZoneReport(const Member& aSelf,
                          const std::vector<const Member*>& aCounted,
                          Version aNewest)
{
  ZoneReport report;
  report.zone = aSelf.zone;
  report.region = aSelf.region;
  report.reporter = aSelf.id;
  report.newest = aNewest;
  report.lowest = aNewest;
  for (const Member* member : aCounted) {
    ++report.members;
    report.lowest = std::min(report.lowest, member->version);
    if (member->version >= aNewest) {
      ++report.atNewest;
    } else if (report.missing.size() < kMaxMissingNamed) {
      report.missing.push_back(member->id);
    }
  }
  return report;
}

void VersionProgress::OnReport(const ZoneReport& aReport, TimePoint aNow)
{
  ReceivedReport& stored = reports_[aReport.zone];
  // Relay and deputy both report. A report of the one that is behind must not replace the progress
  // that the other reported.
  bool isBehind =
    aReport.lowest < stored.report.lowest && aNow - stored.receivedAt < kZoneReportTimeout;
  if (!isBehind || stored.report.reporter == aReport.reporter) {
    stored = ReceivedReport{ aReport, aNow };
  }
}

std::vector<ZoneProgress> VersionProgress::Progress(Version aVersion,
                                                    const MemberTable& aTable,
                                                    TimePoint aNow) const
{
  std::vector<ZoneProgress> all;
  for (const std::string& zone : aTable.Zones()) {
    std::vector<const Member*> members = aTable.InZone(zone);
    ZoneProgress progress;
    progress.zone = zone;
    progress.region = members.front()->region;
    progress.members = static_cast<int64_t>(members.size());
    auto stored = reports_.find(zone);
    progress.isReachable =
      stored != reports_.end() && aNow - stored->second.receivedAt < kZoneReportTimeout;
    if (stored != reports_.end()) {
      ApplyReport(progress, stored->second.report, aVersion);
    }
    all.push_back(std::move(progress));
  }
  return all;
}

bool IsInForceEverywhere(const std::vector<ZoneProgress>& aProgress)
{
  auto isComplete = [](const ZoneProgress& aZone) { return aZone.inForce >= aZone.members; };
  return !aProgress.empty() && std::all_of(aProgress.begin(), aProgress.end(), isComplete);
}

} // namespace dandelion
