#include "kernel/Metrics.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <fmt/format.h>

#include <array>

namespace dandelion {

namespace {

namespace acc = boost::accumulators;

constexpr std::array<double, 4> kQuantiles = { 0.5, 0.9, 0.99, 0.999 };
constexpr char kOtherLabel[] = "other=\"true\"";

double ToSeconds(Duration aValue)
{
  return std::chrono::duration<double>(aValue).count();
}

/// The label under which a value is recorded: its own, or `other="true"` for a new label once there
/// are `kMaxLabels`.
template<class Map>
const MetricLabel& BoundedLabel(const Map& aEntries, const MetricLabel& aLabel)
{
  static const MetricLabel kOther = kOtherLabel;
  bool hasOwnEntry = aEntries.count(aLabel) > 0 || aEntries.size() < kMaxLabels;
  return hasOwnEntry ? aLabel : kOther;
}

std::string FormatLabels(const MetricLabel& aLabel, const std::string& aSecondLabel)
{
  std::string labels = aLabel + (aLabel.empty() || aSecondLabel.empty() ? "" : ",") + aSecondLabel;
  return labels.empty() ? "" : "{" + labels + "}";
}

} // namespace

/// Running quantiles, maximum, sum and count of one metric.
class Metrics::Histogram
{
public:
  Histogram()
    : values_(acc::extended_p_square_probabilities = kQuantiles)
  {
  }

  void Add(double aValue) { values_(aValue); }

  std::string Render(const std::string& aName, const MetricLabel& aLabel) const
  {
    std::string text;
    for (size_t i = 0; i < kQuantiles.size(); ++i) {
      std::string quantile = fmt::format("quantile=\"{}\"", kQuantiles[i]);
      text += fmt::format(
        "{}{} {:.6f}\n", aName, FormatLabels(aLabel, quantile), acc::extended_p_square(values_)[i]);
    }
    text += fmt::format("{}_max{} {:.6f}\n", aName, FormatLabels(aLabel, ""), acc::max(values_));
    text += fmt::format("{}_sum{} {:.6f}\n", aName, FormatLabels(aLabel, ""), acc::sum(values_));
    text += fmt::format("{}_count{} {}\n", aName, FormatLabels(aLabel, ""), acc::count(values_));
    return text;
  }

private:
  using Features =
    acc::stats<acc::tag::extended_p_square, acc::tag::max, acc::tag::sum, acc::tag::count>;
  acc::accumulator_set<double, Features> values_;
};

Metrics::Metrics() = default;
Metrics::~Metrics() = default;

void Metrics::Count(CounterName aName, const MetricLabel& aLabel, uint64_t aAmount)
{
  Labelled<uint64_t>& entries = counters_[aName];
  entries[BoundedLabel(entries, aLabel)] += aAmount;
}

void Metrics::Observe(HistogramName aName, const MetricLabel& aLabel, Duration aValue)
{
  Labelled<std::unique_ptr<Histogram>>& entries = histograms_[aName];
  std::unique_ptr<Histogram>& histogram = entries[BoundedLabel(entries, aLabel)];
  if (histogram == nullptr) {
    histogram = std::make_unique<Histogram>();
  }
  histogram->Add(ToSeconds(aValue));
}

std::string Metrics::Render() const
{
  std::string text;
  for (const auto& [name, labelled] : counters_) {
    for (const auto& [label, value] : labelled) {
      text += fmt::format("dandelion_{}{} {}\n", NameOf(name), FormatLabels(label, ""), value);
    }
  }
  for (const auto& [name, labelled] : histograms_) {
    for (const auto& [label, histogram] : labelled) {
      text += histogram->Render(fmt::format("dandelion_{}", NameOf(name)), label);
    }
  }
  return text;
}

} // namespace dandelion
