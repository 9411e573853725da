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

/// The label under which to keep a measure: its own while there is room.
template<class Map>
const MetricLabel& Bounded(const Map& aKnown, const MetricLabel& aLabel)
{
  static const MetricLabel kOther = kOtherLabel;
  bool hasRoom = aKnown.count(aLabel) > 0 || aKnown.size() < kMaxLabels;
  return hasRoom ? aLabel : kOther;
}

std::string InBraces(const MetricLabel& aLabel, const std::string& aMore)
{
  std::string both = aLabel + (aLabel.empty() || aMore.empty() ? "" : ",") + aMore;
  return both.empty() ? "" : "{" + both + "}";
}

} // namespace

/// Running quantiles of one measure.
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
        "{}{} {:.6f}\n", aName, InBraces(aLabel, quantile), acc::extended_p_square(values_)[i]);
    }
    text += fmt::format("{}_max{} {:.6f}\n", aName, InBraces(aLabel, ""), acc::max(values_));
    text += fmt::format("{}_sum{} {:.6f}\n", aName, InBraces(aLabel, ""), acc::sum(values_));
    text += fmt::format("{}_count{} {}\n", aName, InBraces(aLabel, ""), acc::count(values_));
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
  Labelled<uint64_t>& known = counters_[aName];
  known[Bounded(known, aLabel)] += aAmount;
}

void Metrics::Observe(HistogramName aName, const MetricLabel& aLabel, Duration aValue)
{
  Labelled<std::unique_ptr<Histogram>>& known = histograms_[aName];
  std::unique_ptr<Histogram>& histogram = known[Bounded(known, aLabel)];
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
      text += fmt::format("dandelion_{}{} {}\n", NameOf(name), InBraces(label, ""), value);
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
