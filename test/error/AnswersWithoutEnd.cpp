/// Guards against a node that runs out of memory, or waits until a deadline, because an upstream
/// sends bytes without end.
#include "support/Check.h"
#include "support/Loopback.h"
#include "support/ScriptedUpstream.h"

using namespace dandelion;
using namespace dandelion::testing;

namespace {

constexpr size_t kRepeatedBytes = 64 * 1024;
constexpr size_t kMaxBufferedBytes = 65 * 1024 * 1024;
/// Longer than a test runs, so that only the amount of bytes can end a request.
constexpr Duration kTimeout = seconds(600);

/// Sends requests to an upstream that writes `aBegin` and then repeats `aRepeated`. Returns the
/// outcomes once all requests have ended.
std::vector<HttpOutcome> SendRequests(size_t aCount,
                                      const std::string& aBegin,
                                      const std::string& aRepeated)
{
  Loop loop;
  ScriptedUpstream upstream(
    loop, LoopbackOf(1), [&](int, int) { return aBegin; }, aRepeated);
  HttpClient client(loop);
  std::vector<HttpOutcome> outcomes;
  for (size_t i = 0; i < aCount; ++i) {
    client.Send(LoopbackOf(1),
                HttpRequest{ "GET", "/", {}, "" },
                kTimeout,
                [&](const HttpResult& aResult) { outcomes.push_back(aResult.outcome); });
  }
  size_t highest = 0;
  cr_assert(RunUntil(loop, [&] {
    highest = std::max(highest, client.BufferedBytes());
    return outcomes.size() == aCount;
  }));
  cr_assert_leq(highest, kMaxBufferedBytes);
  // The last connection is deleted, with its bytes, in the turn of the loop after its outcome.
  RunFor(loop, Duration::zero());
  cr_assert_eq(client.BufferedBytes(), 0);
  return outcomes;
}

std::string Chunk()
{
  return fmt::format("{:x}\r\n{}\r\n", kRepeatedBytes, std::string(kRepeatedBytes, 'x'));
}

void AssertEndsWithoutAnswer(const std::string& aBegin, const std::string& aRepeated)
{
  std::vector<HttpOutcome> outcomes = SendRequests(1, aBegin, aRepeated);
  cr_assert_eq(outcomes.front(), HttpOutcome::Lost);
}

} // namespace

Test(answers_without_end, bytes_that_are_no_head_are_given_up)
{
  AssertEndsWithoutAnswer("\x01\x02", std::string(kRepeatedBytes, '\x03'));
  AssertEndsWithoutAnswer("HTTP/1.1 200 ", std::string(kRepeatedBytes, 'x'));
}

Test(answers_without_end, head_is_given_up_at_its_limit)
{
  AssertEndsWithoutAnswer("HTTP/1.1 200 OK\r\nA: ", std::string(kRepeatedBytes, 'x'));
  AssertEndsWithoutAnswer("HTTP/1.1 200 OK\r\n", "A: b\r\n");
}

Test(answers_without_end, body_is_given_up_at_its_limit)
{
  AssertEndsWithoutAnswer("HTTP/1.1 200 OK\r\n\r\n", std::string(kRepeatedBytes, 'x'));
  AssertEndsWithoutAnswer("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", Chunk());
  // The size line of one chunk, and the trailer after the last one.
  AssertEndsWithoutAnswer("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;",
                          std::string(kRepeatedBytes, 'x'));
  AssertEndsWithoutAnswer("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "A: b\r\n");
}

/// Guards against a request that is held until its deadline by interim responses.
Test(answers_without_end, interim_answers_are_given_up)
{
  AssertEndsWithoutAnswer("HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 102 Processing\r\n\r\n");
}

/// Guards against responses that are small enough each, and too much for the node together.
Test(answers_without_end, many_at_a_time_stay_within_the_memory_limit)
{
  SendRequests(12, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", Chunk());
}
