/// What a node knows of the upstream beside it, from the upstream's own reports.
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

/// What an upstream says of itself.
struct UpstreamReport
{
  std::string id;
  std::string service;
  UpstreamCondition condition = UpstreamCondition::Ready;
  /// Grows with each report of one incarnation; unknown for a farewell.
  std::optional<int64_t> sequence;
  /// When this incarnation started, by the upstream's own clock. An id may start again.
  std::optional<int64_t> startTimeMs;
  /// Calls that it runs at a time.
  int64_t slots = 1;
};

/// What the upstream's health check said.
struct HealthCheckResult
{
  bool isHealthy = false;
  std::string id;
};

enum class ReportVerdict
{
  /// The report has changed what the node believes.
  Applied,
  Unchanged,
  /// A later report or incarnation is known already.
  Stale,
  /// It speaks of an upstream of another service.
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

  ReportVerdict HandleReport(const UpstreamReport& aReport, TimePoint aNow);
  /// The answer to the one question that a fresh node asks. It counts until a report comes.
  void HandleHealthCheck(const HealthCheckResult& aAnswer);

  /// The incarnation beside this node may be given calls.
  bool AcceptsWork() const;
  /// Name of the incarnation; empty where it is not known yet.
  const std::string& Id() const { return id_; }
  int64_t Slots() const { return AcceptsWork() ? slots_ : 0; }

private:
  bool IsStale(const UpstreamReport& aReport) const;
  bool IsSameIncarnation(const UpstreamReport& aReport) const;

  std::string service_;
  std::string id_;
  std::optional<int64_t> startTimeMs_;
  int64_t sequence_ = -1;
  int64_t slots_ = 1;
  std::optional<UpstreamCondition> condition_;
  /// The health check denied that the upstream serves. A single report that it is ready may have
  /// been under way since before its farewell, so a second one is needed.
  std::optional<TimePoint> firstReadyAfterUnhealthy_;
  bool isUnhealthy_ = false;
};

} // namespace dandelion

#endif
