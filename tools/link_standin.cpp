/// Runs the simulated paid link as a process.
#include "LinkStandin.h"

#include "absl/flags/flag.h"
#include "absl/flags/parse.h"

#include <csignal>
#include <fstream>
#include <sstream>

ABSL_FLAG(std::string, settings, "", "path of the settings file");

namespace dandelion {

namespace {

absl::StatusOr<LinkTraits> LoadTraits(const std::string& aPath)
{
  std::ifstream file(aPath);
  std::stringstream text;
  text << file.rdbuf();
  constexpr size_t kMaxBytes = 1024 * 1024;
  auto json = ParseJson(text.str(), kMaxBytes);
  if (!json.ok()) {
    return json.status();
  }
  return FromJson<LinkTraits>(*json, ErrorKind::InvalidSettings);
}

int RunLink()
{
  auto traits = LoadTraits(absl::GetFlag(FLAGS_settings));
  absl::Status status = traits.status();
  Loop loop;
  LinkStandin link(loop, traits.value_or(LinkTraits()));
  loop.OnSignal(SIGTERM, [&] { loop.Stop(); });
  loop.OnSignal(SIGINT, [&] { loop.Stop(); });
  if (status.ok()) {
    status = link.Start();
  }
  if (!status.ok()) {
    Log(LogPart::Tool, LogLevel::Error, "{}.", MessageOf(status));
    return TraitsOf(KindOf(status)).exitCode;
  }
  loop.Run();
  return 0;
}

} // namespace

} // namespace dandelion

int main(int aCount, char** aWords)
{
  absl::ParseCommandLine(aCount, aWords);
  return dandelion::RunLink();
}
