/// Guards against messages that are no HTTP/1.1 and are passed on as if they were: a receiver that
/// is stricter or more tolerant than the node finds another header, another body or no message in
/// them.
#include "support/Check.h"
#include "support/Loopback.h"
#include "support/ScriptedUpstream.h"

#include "platform/Platform.h"

#include <sys/socket.h>
#include <unistd.h>

using namespace dandelion;
using namespace dandelion::testing;

namespace {

/// Header lines that make the head of a request or an answer malformed.
const std::vector<std::string> kMalformedLines = {
  // White space before the colon.
  "Transfer-Encoding : chunked",
  "Content-Length : 5",
  "Content-Length\t: 5",
  "X Odd: 1",
  "X-Odd : 1",
  "Dandelionvale-Caller-Service : other",
  // Names that are no tokens, or none at all.
  ": 1",
  "X(Odd): 1",
  "X@Odd: 1",
  "X\x01Odd: 1",
  "X\xc3\xa4: 1",
  "no colon",
  // Folded lines.
  "X-Odd: 1\r\n 2",
  "X-Odd:\r\n\t2",
  "X-Odd: 1\r\n  Transfer-Encoding: chunked",
  // Control characters.
  "X-Odd: \x01",
  "X-Odd: 1\x7f",
  std::string("X-Odd: 1\0 2", 11),
  "X-Odd: 1\rX-Other: 2",
  // More than one length, or one that is no number.
  "Content-Length: 5\r\nContent-Length: 5",
  "Content-Length: 5\r\nContent-Length: 6",
  "Content-Length: 5\r\nTransfer-Encoding: chunked",
  "Transfer-Encoding: chunked\r\nContent-Length: 5",
  "Content-Length: +5",
  "Content-Length: 5, 5",
  "Content-Length:",
  // Codings that are not decoded.
  "Transfer-Encoding: gzip",
  "Transfer-Encoding: gzip, chunked",
  "Transfer-Encoding: chunked, identity",
  "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked",
};

const std::vector<std::string> kMalformedRequestLines = {
  "GET /a\tb HTTP/1.1", "GET /a\x7f HTTP/1.1", "GET /a HTTP/2.0", "GET /a HTTP/0.9", "GET /a",
};

const std::vector<std::string> kMalformedStatusLines = {
  "HTTP/2.0 200 OK",
  "HTTP/1.1 200 O\x01K",
  "HTTP/1.1\t200 OK",
  "ICY 200 OK",
};

/// A server and what a client receives from it until the connection is closed.
struct Answered
{
  bool wasHandled = false;
  /// Of the request that was handled.
  HttpHeaders headers;
  std::string bytes;
};

Answered SendToServer(const std::string& aRequest)
{
  Loop loop;
  Answered answered;
  HttpServer server(loop, [&](const std::shared_ptr<HttpExchange>& aExchange) {
    answered.wasHandled = true;
    answered.headers = aExchange->Request().headers;
    aExchange->Reply(HttpResponse());
  });
  cr_assert(server.Listen(LoopbackOf(1), HttpLimits()).ok());
  int client = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address = ToSocketAddress(LoopbackOf(1));
  cr_assert_eq(connect(client, reinterpret_cast<sockaddr*>(&address), sizeof(address)), 0);
  (void)send(client, aRequest.data(), aRequest.size(), MSG_NOSIGNAL);
  auto hasAnswer = [&] {
    std::array<char, 4096> bytes{};
    ssize_t count = recv(client, bytes.data(), bytes.size(), MSG_DONTWAIT);
    if (count > 0) {
      answered.bytes.append(bytes.data(), static_cast<size_t>(count));
    }
    return answered.bytes.find("\r\n\r\n") != std::string::npos;
  };
  cr_assert(RunUntil(loop, hasAnswer), "no answer to \"%s\"", aRequest.c_str());
  close(client);
  return answered;
}

UpstreamResult CallUpstream(const std::string& aAnswer)
{
  Loop loop;
  ScriptedUpstream server(loop, LoopbackOf(1), [&](int, int) { return aAnswer; });
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
  return *result;
}

const std::string kIdentity = "Dandelionvale-Request-Id: id-1\r\n"
                              "Dandelionvale-Server-Signature: signature\r\n";
/// A body for each framing that a receiver may find in the head.
const std::string kBody = "5\r\nwhole\r\n0\r\n\r\n";

void CheckRequest(const std::string& aHead)
{
  Answered answered = SendToServer(aHead + "\r\n\r\n" + kBody);
  cr_assert_not(answered.wasHandled, "handled: \"%s\"", aHead.c_str());
  std::string status = answered.bytes.substr(0, answered.bytes.find("\r\n"));
  cr_assert(status == "HTTP/1.1 400 Bad Request", "%s: \"%s\"", status.c_str(), aHead.c_str());
}

void CheckAnswer(const std::string& aHead)
{
  UpstreamResult result = CallUpstream(aHead + "\r\n\r\n" + kBody);
  cr_assert(result.outcome == CallOutcome::Unknown, "passed on: \"%s\"", aHead.c_str());
}

} // namespace

Test(malformed_heads, of_requests_are_refused_and_not_passed_on)
{
  for (const std::string& line : kMalformedLines) {
    CheckRequest("GET /a HTTP/1.1\r\nHost: x\r\n" + line + "\r\nX-Last: 1");
    CheckRequest("POST /a HTTP/1.1\r\n" + line);
  }
  for (const std::string& line : kMalformedRequestLines) {
    CheckRequest(line + "\r\nHost: x");
  }
}

Test(malformed_heads, of_answers_are_not_passed_on)
{
  for (const std::string& line : kMalformedLines) {
    CheckAnswer("HTTP/1.1 200 OK\r\n" + kIdentity + line + "\r\nX-Last: 1");
    CheckAnswer("HTTP/1.1 200 OK\r\n" + kIdentity + line);
  }
  for (const std::string& line : kMalformedStatusLines) {
    CheckAnswer(line + "\r\n" + kIdentity + "Content-Length: 5");
  }
}

/// Guards against a status that is none, taken for an interim answer or passed on as an answer: the
/// caller waited until its deadline behind a connection that stayed open, or got the status.
Test(statuses_outside_the_protocol, end_the_call_at_once)
{
  for (const char* status : { "000", "001", "099", "101", "600", "999" }) {
    Loop loop;
    ScriptedUpstream server(loop, LoopbackOf(1), [&](int, int) {
      return fmt::format("HTTP/1.1 {} Odd\r\n{}Content-Length: 0\r\n\r\n", status, kIdentity);
    });
    HttpUpstream upstream(loop, LoopbackOf(1), platform::MakeCallHeaderNames());
    OpenCall call;
    call.method = "GET";
    call.target = "/";
    call.requestId = "id-1";
    // Longer than the test waits.
    call.deadlineMs = 600000;
    std::optional<UpstreamResult> result;
    upstream.Send(call, [&](const UpstreamResult& aResult) { result = aResult; });
    cr_assert(RunUntil(loop, [&] { return result.has_value(); }), "status %s", status);
    cr_assert(result->outcome == CallOutcome::Unknown, "status %s", status);
    cr_assert_not(result->rejectReason.empty(), "status %s", status);
  }
}

/// The bytes of a head may arrive in any pieces.
Test(malformed_heads, are_found_wherever_the_bytes_are_split)
{
  const std::string head = "HTTP/1.1 200 OK\r\nX-Odd: 1\r\n 2\r\nX-Odd : 3\r\n\r\n";
  size_t faultAt = head.find("\r\n 2") + 2;
  for (size_t split = 1; split < head.size(); ++split) {
    HttpHeadCheck check;
    HeadFault first = check.Check(head.substr(0, split));
    cr_assert((first != HeadFault::None) == (split > faultAt), "split at %zu", split);
    if (first == HeadFault::None) {
      cr_assert(check.Check(head.substr(split)) == HeadFault::FoldedLine, "split at %zu", split);
    }
  }
}

/// Unusual lines that are valid are passed on.
Test(malformed_heads, valid_lines_are_accepted)
{
  const std::vector<std::string> lines = {
    "X-Odd:", "X-Odd:1", "X-Odd: \t1 \t", "x!#$%&'*+-.^_`|~9: 1", "X-Odd: \xc3\xa4\t\"a\"; b=(c)",
  };
  for (const std::string& line : lines) {
    Answered answered = SendToServer("GET /a?b=%20 HTTP/1.1\r\n" + line + "\r\n\r\n");
    cr_assert(answered.wasHandled, "refused: \"%s\"", line.c_str());
    UpstreamResult result =
      CallUpstream("HTTP/1.1 200 OK\r\n" + kIdentity + line + "\r\nContent-Length: 0\r\n\r\n");
    cr_assert(result.outcome == CallOutcome::Ran, "rejected: \"%s\"", line.c_str());
  }
}

/// Guards against fields behind a chunked body that are taken for headers of its message: a refusal
/// header among them made a call that had run count as not run.
Test(trailers, are_not_headers)
{
  UpstreamResult result =
    CallUpstream("HTTP/1.1 200 OK\r\n" + kIdentity +
                 "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n"
                 "Dandelionvale-Not-Executed: 1\r\nX-Trailer: 2\r\nX-Last: 3\r\n\r\n");
  cr_assert(result.outcome == CallOutcome::Ran);
  cr_assert(result.body.Text() == "whole");
  for (const HeaderField& header : result.headers) {
    cr_assert(header.name != "X-Trailer");
  }
  Answered answered = SendToServer("POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n"
                                   "X-Trailer: 1\r\nX-Last: 2\r\n\r\n");
  cr_assert(answered.wasHandled);
  cr_assert_eq(answered.headers.size(), 1);
}

Test(trailers, with_malformed_names_make_a_message_malformed)
{
  for (const char* trailer : { "X Trailer: 1", "X-Trailer : 1" }) {
    const std::string chunks =
      "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n" + std::string(trailer) + "\r\n\r\n";
    UpstreamResult result = CallUpstream("HTTP/1.1 200 OK\r\n" + kIdentity + chunks);
    cr_assert(result.outcome == CallOutcome::Unknown);
    cr_assert_not(SendToServer("POST /a HTTP/1.1\r\n" + chunks).wasHandled);
  }
}
