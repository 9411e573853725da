/// Entry point of the daemon that runs beside each upstream.
#include "dandeliond/Node.h"

#include "absl/flags/flag.h"
#include "absl/flags/parse.h"
#include "absl/flags/usage.h"

#include <csignal>
#include <malloc.h>
#include <random>

ABSL_FLAG(std::string, settings, "", "path of the settings file, JSON with comments");
ABSL_FLAG(bool, check_settings, false, "check the settings, print the errors and exit");

namespace dandelion {

namespace {

/// Wall clock in milliseconds, which increases from one start of a slot to the next.
uint64_t MakeIncarnation()
{
  auto now = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<uint64_t>(std::chrono::duration_cast<milliseconds>(now).count());
}

int Fail(const absl::Status& aStatus)
{
  Log(LogPart::Kernel, LogLevel::Error, "{}.", MessageOf(aStatus));
  return TraitsOf(KindOf(aStatus)).exitCode;
}

/// Holds back the signals that the daemon handles. Without this, a request to stop that arrives
/// before the handlers are in place ends the process at once.
class HeldSignals
{
public:
  HeldSignals()
  {
    sigemptyset(&signals_);
    for (int signal : { SIGTERM, SIGINT, SIGHUP }) {
      sigaddset(&signals_, signal);
    }
    sigprocmask(SIG_BLOCK, &signals_, nullptr);
  }

  /// Delivers the signals that have arrived so far, and all further ones.
  void Release() { sigprocmask(SIG_UNBLOCK, &signals_, nullptr); }

private:
  sigset_t signals_;
};

/// Blocks from this size on are returned to the system when they are freed. By default the C
/// library raises the size with each large block that is freed, so that the process keeps the
/// memory.
constexpr int kMinMappedBytes = 128 * 1024;

int RunDaemon(HeldSignals& aSignals)
{
  mallopt(M_MMAP_THRESHOLD, kMinMappedBytes);
  mallopt(M_TRIM_THRESHOLD, kMinMappedBytes);
  auto settings = LoadNodeSettings(absl::GetFlag(FLAGS_settings));
  if (!settings.ok()) {
    return Fail(settings.status());
  }
  if (absl::GetFlag(FLAGS_check_settings)) {
    fmt::print("The settings of {} are valid.\n", settings->id);
    return 0;
  }
  SetLogLevel(settings->logLevel);
  LogAsJson();
  SetLogNode(settings->id);
  if (settings->keys.nodes.empty() || settings->keys.operators.empty()) {
    Log(LogPart::Kernel,
        LogLevel::Warning,
        "keys.nodes or keys.operators is empty: the node accepts messages of nodes or requests of "
        "operators without a signature; set both.");
  }
  Loop loop;
  Node node(loop, *settings, MakeIncarnation(), std::random_device()());
  loop.OnSignal(SIGTERM, [&] { node.BeginStop(); });
  loop.OnSignal(SIGINT, [&] { node.BeginStop(); });
  loop.OnSignal(SIGHUP, [&] { node.Reload(LoadNodeSettings(absl::GetFlag(FLAGS_settings))); });
  aSignals.Release();
  absl::Status status = node.Start();
  if (!status.ok()) {
    return Fail(status);
  }
  loop.Run();
  return 0;
}

} // namespace

} // namespace dandelion

int main(int aArgumentCount, char** aArguments)
{
  dandelion::HeldSignals signals;
  absl::SetProgramUsageMessage("dandeliond --settings=FILE [--check_settings]");
  absl::ParseCommandLine(aArgumentCount, aArguments);
  return dandelion::RunDaemon(signals);
}
