/// An upstream that sends bytes without end, in a head or in a body, harms no other call of the
/// node beside it.
#include "support/Check.h"
#include "support/Cluster.h"
#include "support/ScriptedUpstream.h"

#include <fstream>
#include <unistd.h>

using namespace dandelion;
using namespace dandelion::testing;

namespace {

/// The memory that a node may use for control.
constexpr size_t kMaxNodeBytes = 256 * 1024 * 1024;
/// Freed memory that the address sanitizer keeps back, and its own.
#ifdef __SANITIZE_ADDRESS__
constexpr size_t kSanitizerBytes = 512 * 1024 * 1024;
#else
constexpr size_t kSanitizerBytes = 0;
#endif
/// More than four nodes may keep together.
constexpr size_t kEndlessBytes = size_t{ 4 } * 1024 * 1024 * 1024;

size_t ResidentBytes(pid_t aPid)
{
  std::ifstream file(fmt::format("/proc/{}/statm", aPid));
  size_t total = 0;
  size_t resident = 0;
  file >> total >> resident;
  return resident * static_cast<size_t>(sysconf(_SC_PAGESIZE));
}

} // namespace

// Guards against LOST: a machine kept all bytes of a faulty backend, ran out of memory, and the
// requests of its other clients ended with it.
Test(endless_answers, leave_other_calls_and_the_memory_of_their_nodes_alone)
{
  ClusterShape shape{ 8 };
  shape.startsUpstreams = false;
  Cluster cluster(shape);
  std::vector<std::unique_ptr<ScriptedUpstream>> upstreams;
  std::string bytes(64 * 1024, 'x');
  for (int i = 0; i < cluster.Size(); ++i) {
    std::string begin = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
    bool isEndless = cluster.ServiceOf(i) == "s0";
    if (isEndless) {
      begin = i % 2 == 0 ? "HTTP/1.1 200 OK\r\n\r\n" : "\x01";
    }
    upstreams.push_back(std::make_unique<ScriptedUpstream>(
      cluster.EventLoop(),
      cluster.UpstreamOf(i),
      [begin](int, int) { return begin; },
      isEndless ? bytes : ""));
  }
  cr_assert(cluster.StartWithFirstNote());

  bool isFinished = false;
  int servedElsewhere = 0;
  std::vector<std::string> failedElsewhere;
  std::function<void(int, std::string)> repeat = [&](int aNode, const std::string& aPath) {
    cluster.BeginCall(aNode, "GET", aPath, "c", [&, aNode, aPath](const CallResult& aCall) {
      bool isElsewhere = aPath == "/s1/x";
      servedElsewhere += isElsewhere ? 1 : 0;
      if (isElsewhere && aCall.outcome != "ran") {
        failedElsewhere.push_back(aCall.outcome + " " + aCall.body);
      }
      if (!isFinished) {
        repeat(aNode, aPath);
      }
    });
  };
  constexpr int kEndlessCallsPerNode = 6;
  for (int i = 0; i < cluster.Size(); ++i) {
    for (int call = 0; call < kEndlessCallsPerNode; ++call) {
      repeat(i, "/s0/x");
    }
    repeat(i, "/s1/x");
  }
  size_t sent = 0;
  size_t highest = 0;
  bool hasSentAll = cluster.WaitUntil(
    [&] {
      sent = 0;
      for (int i = 0; i < cluster.Size(); ++i) {
        sent += upstreams[static_cast<size_t>(i)]->BytesRepeated();
        highest = std::max(highest, ResidentBytes(cluster.PidOf(i)));
      }
      return sent >= kEndlessBytes;
    },
    seconds(120));
  isFinished = true;
  cluster.Wait(seconds(1));
  cr_assert(hasSentAll, "%zu bytes were sent", sent);
  cr_assert_leq(highest, kMaxNodeBytes + kSanitizerBytes, "%zu bytes", highest);
  cr_assert_gt(servedElsewhere, 0);
  cr_assert(failedElsewhere.empty(),
            "%zu calls failed, the first: %s",
            failedElsewhere.size(),
            failedElsewhere.empty() ? "" : failedElsewhere[0].c_str());
  for (int i = 0; i < cluster.Size(); ++i) {
    cr_assert_not(cluster.ExitCode(i).has_value());
  }
}
