/// Benchmark: cost of applying a note, and size of a snapshot, by size of the configuration.
#include "codec/Codec.h"
#include "release/Release.h"

#include <chrono>

using namespace dandelion;

namespace {

constexpr int kIterations = 50;

Configuration MakeConfiguration(int aServices)
{
  Note note;
  note.id = "first";
  note.add.policies = { PolicySpec{ "policy" } };
  Configuration configuration;
  for (int i = 0; i < aServices; ++i) {
    std::string name = fmt::format("service-{}", i);
    note.add.services.push_back(ServiceSpec{ name });
    note.add.routes.push_back(RouteSpec{ name, "/" + name, name, "policy" });
  }
  return *Apply(configuration, note, 0);
}

void Run(int aServices, int aRememberedNotes)
{
  Configuration configuration = MakeConfiguration(aServices);
  for (int i = 0; i < aRememberedNotes; ++i) {
    configuration.notes.push_back({ fmt::format("note-{}", i), 1, std::string(32, '0') });
  }
  Note change;
  change.id = "change";
  change.change.services = { ServiceSpec{ "service-0", 9 } };
  Entry entry = *MakeEntry(configuration, change, configuration.version);
  auto start = std::chrono::steady_clock::now();
  for (int i = 0; i < kIterations; ++i) {
    Replica replica;
    (void)replica.ApplySnapshot(configuration, entry.parentHash);
    (void)replica.ApplyEntry(entry);
  }
  std::chrono::duration<double, std::micro> snapshotAndEntry =
    std::chrono::steady_clock::now() - start;
  start = std::chrono::steady_clock::now();
  for (int i = 0; i < kIterations; ++i) {
    Replica replica;
    (void)replica.ApplySnapshot(configuration, entry.parentHash);
  }
  std::chrono::duration<double, std::micro> snapshot = std::chrono::steady_clock::now() - start;
  fmt::print("{} services and routes, {} notes remembered: apply one note {:.0f} us; entry {} B, "
             "snapshot {} B\n",
             aServices,
             aRememberedNotes,
             (snapshotAndEntry - snapshot).count() / kIterations,
             Encode(entry).size(),
             Encode(configuration).size());
}

} // namespace

int main()
{
  for (int services : { 59, 250, 450 }) {
    Run(services, 0);
  }
  Run(59, 1023);
  return 0;
}
