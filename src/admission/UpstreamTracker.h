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

/// Result of the upstream's health check.
struct HealthCheckResult
{
  bool isHealthy = false;
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

class UpstreamTracker
{
public:
  explicit UpstreamTracker(std::string aService);

  /// Updates the state by a report, unless the report is stale or of another service.
  ReportVerdict HandleReport(const UpstreamReport& aReport, TimePoint aNow);
  /// Handles the result of the health check that a node makes when it starts. It has no effect once
  /// a report has been applied or an earlier check has passed.
  void HandleHealthCheck(const HealthCheckResult& aResult);

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
  /// When the first report "ready" arrived after a failed health check. That report may have been
  /// delayed since before the upstream left, so a second one is required.
  std::optional<TimePoint> firstReadyAfterUnhealthy_;
  /// The health check failed, and no second report has confirmed since that the upstream is ready.
  bool isUnhealthy_ = false;
};

} // namespace dandelion

#endif
