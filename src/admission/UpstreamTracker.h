/// Tracks the state of a node's upstream by its reports and its health check.
#ifndef DANDELION_ADMISSION_UPSTREAM_TRACKER_H
#define DANDELION_ADMISSION_UPSTREAM_TRACKER_H

#include "kernel/Kernel.h"

#include <cstdint>
#include <optional>
#include <string>

namespace dandelion {

enum class UpstreamCondition
{
  Ready,
  Draining,
  Gone,
};

template<>
struct EnumNames<UpstreamCondition>
{
  static constexpr EnumName<UpstreamCondition> kTable[] = {
    { UpstreamCondition::Ready, "ready" },
    { UpstreamCondition::Draining, "draining" },
    { UpstreamCondition::Gone, "gone" },
  };
};

/// Report that an upstream sends about itself.
struct UpstreamReport
{
  std::string id;
  std::string service;
  UpstreamCondition condition = UpstreamCondition::Ready;
  /// Grows with each report of one incarnation; may be missing in the report that it is gone.
  std::optional<int64_t> sequence;
  /// Start time of this incarnation by the upstream's own clock. An upstream may restart with the
  /// same id.
  std::optional<int64_t> startTimeMs;
  /// Calls that it can run at the same time.
  int64_t slots = 1;
  /// Software version; empty if the upstream names none.
  std::string softwareVersion = {};
  /// Time until the upstream has warmed up.
  Duration warmupLeft = Duration::zero();
};

enum class HealthStatus
{
  Healthy,
  /// The upstream leaves or fails.
  Unhealthy,
  /// The upstream did not answer, or had no room for the check.
  Unknown,
};

template<>
struct EnumNames<HealthStatus>
{
  static constexpr EnumName<HealthStatus> kTable[] = {
    { HealthStatus::Healthy, "healthy" },
    { HealthStatus::Unhealthy, "unhealthy" },
    { HealthStatus::Unknown, "unknown" },
  };
};

/// Result of the upstream's health check.
struct HealthCheckResult
{
  HealthStatus status = HealthStatus::Unknown;
  /// Id of the upstream that answered.
  std::string id;
};

enum class ReportVerdict
{
  /// The report has changed the tracked state.
  Applied,
  Unchanged,
  /// A later report or incarnation has already been handled.
  Stale,
  /// The report is about an upstream of another service.
  WrongService,
};

template<>
struct EnumNames<ReportVerdict>
{
  static constexpr EnumName<ReportVerdict> kTable[] = {
    { ReportVerdict::Applied, "applied" },
    { ReportVerdict::Unchanged, "unchanged" },
    { ReportVerdict::Stale, "late" },
    { ReportVerdict::WrongService, "foreign" },
  };
};

/// A node that has just started does not know which leavings an earlier process has acknowledged,
/// and a report may be from before one of them. So the first upstream has to confirm by its health
/// check that it accepts work; from then on this process sees every report.
class UpstreamTracker
{
public:
  explicit UpstreamTracker(std::string aService);

  /// Updates the state by a report, unless the report is stale or of another service.
  ReportVerdict HandleReport(const UpstreamReport& aReport, TimePoint aNow);
  /// Handles the result of a health check that was made by this process.
  void HandleHealthCheck(const HealthCheckResult& aResult);
  /// Handles an answer of an upstream that says that it is leaving. Returns whether that is new.
  bool HandleLeaving(const std::string& aId);
  /// Records that the service has no health check. Reports are believed then.
  void HandleNoHealthCheck() { isConfirmed_ = true; }

  /// Whether a report says that the upstream is ready, and only its health check is missing.
  bool AwaitsHealthCheck() const { return condition_ == UpstreamCondition::Ready && !isConfirmed_; }

  /// Whether calls may be sent to the tracked incarnation.
  bool AcceptsWork() const;
  /// Id of the upstream; empty until it is known.
  const std::string& Id() const { return id_; }
  /// Calls that the upstream can run at the same time; 0 while it accepts no work.
  int64_t Slots() const { return AcceptsWork() ? slots_ : 0; }
  /// Software version in the latest report; nothing before the first one.
  const std::optional<std::string>& SoftwareVersion() const { return softwareVersion_; }
  /// Whether the incarnation may still be slower than later, or may not have shown all its faults.
  bool IsWarmingUp(TimePoint aNow) const { return aNow < warmAt_; }

private:
  bool IsStale(const UpstreamReport& aReport) const;
  bool IsSameIncarnation(const UpstreamReport& aReport) const;

  std::string service_;
  std::string id_;
  std::optional<int64_t> startTimeMs_;
  int64_t sequence_ = -1;
  int64_t slots_ = 1;
  std::optional<UpstreamCondition> condition_;
  std::optional<std::string> softwareVersion_;
  TimePoint warmAt_;
  /// Whether a health check has shown that the upstream accepts work, or that an earlier one did.
  bool isConfirmed_ = false;
};

} // namespace dandelion

#endif
