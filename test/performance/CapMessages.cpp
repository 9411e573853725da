/// Messages and bytes that nodes exchange for the quotas of client accounts, from a simulation
/// in virtual time. Load: 25 calls a second for each node, sent through all nodes alike, divided
/// over the accounts by Zipf's law with exponent 1.2; caps of 1.6 times the usual rate.
#include "support/CapMesh.h"

#include "wire/Wire.h"

#include <cmath>

using namespace dandelion;
using namespace dandelion::testing;

namespace {

constexpr double kCallsPerNode = 25;
constexpr double kZipfExponent = 1.2;
constexpr double kCapFactor = 1.6;
constexpr double kHotFactor = 7.5;
constexpr int kSeconds = 5;

struct Cost
{
  uint64_t messages = 0;
  uint64_t bytes = 0;
};

void Measure(size_t aNodes,
             size_t aAccounts,
             const char* aLoad,
             double aTimesUsual,
             double aHotTimes)
{
  std::vector<double> rates;
  double sum = 0;
  for (size_t i = 0; i < aAccounts; ++i) {
    rates.push_back(std::pow(static_cast<double>(i + 1), -kZipfExponent));
    sum += rates.back();
  }
  UsageCaps caps;
  for (size_t i = 0; i < aAccounts; ++i) {
    rates[i] *= kCallsPerNode * static_cast<double>(aNodes) / sum;
    caps[fmt::format("account-{}", i)] =
      UsageCap{ std::ceil(kCapFactor * rates[i]), std::ceil(rates[i]) };
  }
  CapMesh mesh(aNodes, 2, caps);
  std::vector<Cost> costs(aNodes);
  Cost between;
  mesh.sent = [&](size_t aFrom, size_t aTo, const CapMessage& aMessage) {
    LinkMessage message = std::visit([](const auto& aAny) { return LinkMessage(aAny); }, aMessage);
    size_t bytes = Encode(LinkEnvelope{ 1, std::move(message) }).size();
    ++costs[aFrom].messages;
    costs[aFrom].bytes += bytes;
    if (mesh.RegionOf(aFrom) != mesh.RegionOf(aTo)) {
      ++between.messages;
      between.bytes += bytes;
    }
  };
  // Sums of Poisson processes: one call after another, each of a random account.
  std::vector<double> weights = rates;
  weights[0] *= aHotTimes;
  double total = 0;
  for (double weight : weights) {
    total += weight * aTimesUsual;
  }
  std::discrete_distribution<size_t> account(weights.begin(), weights.end());
  std::poisson_distribution<int> arrivals(std::max(1e-9, total / 1000));
  auto step = [&] {
    int calls = total > 0 ? arrivals(mesh.random) : 0;
    for (int i = 0; i < calls; ++i) {
      mesh.Arrive(mesh.random() % aNodes, fmt::format("account-{}", account(mesh.random)));
    }
  };
  // Buckets begin empty.
  mesh.Run(seconds(15));
  mesh.Run(seconds(2), step);
  costs.assign(aNodes, Cost());
  between = Cost();
  mesh.Run(seconds(kSeconds), step);
  Cost all;
  Cost highest;
  for (const Cost& cost : costs) {
    all.messages += cost.messages;
    all.bytes += cost.bytes;
    highest.messages = std::max(highest.messages, cost.messages);
    highest.bytes = std::max(highest.bytes, cost.bytes);
  }
  double divisor = static_cast<double>(aNodes) * kSeconds;
  fmt::print("| {} | {} | {} | {:.1f}, {:.0f} | {:.0f}, {:.0f} | {:.0f}, {:.0f} |\n",
             aNodes,
             aAccounts,
             aLoad,
             static_cast<double>(all.messages) / divisor,
             static_cast<double>(highest.messages) / kSeconds,
             static_cast<double>(all.bytes) / divisor,
             static_cast<double>(highest.bytes) / kSeconds,
             static_cast<double>(between.messages) / kSeconds,
             static_cast<double>(between.bytes) / kSeconds);
}

} // namespace

int main()
{
  fmt::print(
    "| nodes | accounts | load | a node sends, messages/s: mean, highest | a node sends, B/s: "
    "mean, highest | between regions: messages/s, B/s |\n| --- | --- | --- | --- | --- | --- |\n");
  for (size_t nodes : { 80, 300 }) {
    for (size_t accounts : { 83, 1000 }) {
      Measure(nodes, accounts, "no calls", 0, 1);
      Measure(nodes, accounts, "usual", 1, 1);
      Measure(nodes, accounts, "largest account at 7.5 times", 1, kHotFactor);
    }
  }
  return 0;
}
