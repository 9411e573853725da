/// Counters and histograms by name and label, based on Boost.Accumulators.
#ifndef DANDELION_KERNEL_METRICS_H
#define DANDELION_KERNEL_METRICS_H

#include "kernel/EnumNames.h"
#include "kernel/Time.h"

#include <map>
#include <memory>
#include <string>
#include <utility>

namespace dandelion {

enum class CounterName
{
  CallsAnswered,
  Attempts,
  Retries,
  Hedges,
  CallsServed,
  CallsShed,
  CapTokensTaken,
  CapTokensReturned,
  CapRefusals,
  CapRequests,
  NotesAccepted,
  NotesRefused,
  NotesUndecided,
  VersionsApplied,
  VersionCalls,
  AccountCallsRan,
  AccountCallsNotRun,
};

template<>
struct EnumNames<CounterName>
{
  static constexpr EnumName<CounterName> kTable[] = {
    { CounterName::CallsAnswered, "calls_answered_total" },
    { CounterName::Attempts, "attempts_total" },
    { CounterName::Retries, "retries_total" },
    { CounterName::Hedges, "hedges_total" },
    { CounterName::CallsServed, "calls_served_total" },
    { CounterName::CallsShed, "calls_shed_total" },
    { CounterName::CapTokensTaken, "cap_tokens_taken_total" },
    { CounterName::CapTokensReturned, "cap_tokens_returned_total" },
    { CounterName::CapRefusals, "cap_refusals_total" },
    { CounterName::CapRequests, "cap_requests_total" },
    { CounterName::NotesAccepted, "notes_accepted_total" },
    { CounterName::NotesRefused, "notes_refused_total" },
    { CounterName::NotesUndecided, "notes_undecided_total" },
    { CounterName::VersionsApplied, "versions_applied_total" },
    { CounterName::VersionCalls, "upstream_version_calls_total" },
    { CounterName::AccountCallsRan, "account_calls_ran_total" },
    { CounterName::AccountCallsNotRun, "account_calls_not_run_total" },
  };
};

enum class HistogramName
{
  CallTime,
  QueueTime,
  UpstreamTime,
};

template<>
struct EnumNames<HistogramName>
{
  static constexpr EnumName<HistogramName> kTable[] = {
    { HistogramName::CallTime, "call_seconds" },
    { HistogramName::QueueTime, "queue_seconds" },
    { HistogramName::UpstreamTime, "upstream_seconds" },
  };
};

/// The label of a metric, such as `class="short"`; empty for none.
using MetricLabel = std::string;

/// Labels of one name beyond this number are counted together as `other="true"`, so that
/// callers cannot make the metrics grow without bound.
constexpr size_t kMaxLabels = 64;

class Metrics
{
public:
  Metrics();
  virtual ~Metrics();

  virtual void Count(CounterName aName, const MetricLabel& aLabel = "", uint64_t aAmount = 1);
  virtual void Observe(HistogramName aName, const MetricLabel& aLabel, Duration aValue);

  /// All metrics in the Prometheus text exposition format.
  std::string Render() const;

private:
  class Histogram;
  template<class Value>
  using Labelled = std::map<MetricLabel, Value>;

  std::map<CounterName, Labelled<uint64_t>> counters_;
  std::map<HistogramName, Labelled<std::unique_ptr<Histogram>>> histograms_;
};

} // namespace dandelion

#endif
