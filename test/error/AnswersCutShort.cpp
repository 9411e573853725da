/// Guards against an answer that looks whole although its upstream closed the connection before the
/// answer was complete.
#include "support/Check.h"
#include "support/Loopback.h"
#include "support/ScriptedUpstream.h"

#include "platform/Platform.h"

using namespace dandelion;
using namespace dandelion::testing;

namespace {

/// Calls an upstream that writes the first `aLength` bytes of an answer and closes the connection.
CallOutcome CallWithAnswerCutAt(const std::string& aAnswer, size_t aLength)
{
  Loop loop;
  // An upstream whose answer is empty closes the connection at once.
  std::string bytes = aAnswer.substr(0, aLength);
  ScriptedUpstream server(loop, LoopbackOf(1), [&](int, int) { return bytes; });
  server.CloseAfterAnswers();
  HttpUpstream upstream(loop, LoopbackOf(1), platform::MakeCallHeaderNames());
  OpenCall call;
  call.method = "GET";
  call.target = "/";
  call.requestId = "id-1";
  call.deadlineMs = 20000;
  std::optional<UpstreamResult> result;
  upstream.Send(call, [&](const UpstreamResult& aResult) { result = aResult; });
  cr_assert(RunUntil(loop, [&] { return result.has_value(); }));
  return result->outcome;
}

const std::string kHead = "HTTP/1.1 200 OK\r\nDandelionvale-Request-Id: id-1\r\n"
                          "Dandelionvale-Server-Signature: signature\r\n";

/// Asserts that the answer counts as whole only from `aCompleteAt` bytes on.
void CheckCuts(const std::string& aAnswer, size_t aCompleteAt)
{
  for (size_t length = 1; length <= aAnswer.size(); ++length) {
    CallOutcome outcome = CallWithAnswerCutAt(aAnswer, length);
    bool isWhole = outcome == CallOutcome::Ran;
    cr_assert_eq(isWhole, length >= aCompleteAt, "%zu bytes of \"%s\"", length, aAnswer.c_str());
  }
}

} // namespace

Test(answers_cut_short, with_a_length_are_whole_with_their_last_byte)
{
  std::string answer = kHead + "Content-Length: 5\r\n\r\nwhole";
  CheckCuts(answer, answer.size());
}

Test(answers_cut_short, in_chunks_are_whole_with_the_last_chunk)
{
  std::string answer = kHead + "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n";
  CheckCuts(answer, answer.size());
}

Test(answers_cut_short, behind_an_interim_answer_are_whole_with_their_last_byte)
{
  std::string answer =
    "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + kHead + "Content-Length: 0\r\n\r\n";
  CheckCuts(answer, answer.size());
}

/// An answer that ends with its connection has no other end, but its head must be complete.
Test(answers_cut_short, without_a_length_need_their_whole_head)
{
  std::string answer = kHead + "\r\n";
  CheckCuts(answer + "bytes", answer.size());
}
