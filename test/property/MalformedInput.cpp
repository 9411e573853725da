/// Malformed settings, headers, link frames and HTTP requests yield an error with a reason or a
/// valid value, and the servers keep serving other clients.
///
/// Such input comes from mistakes in files and from faulty or malicious clients. It must neither
/// crash the node nor leave a server unable to accept further connections.
#include "support/Check.h"
#include "support/Loopback.h"
#include "support/Mutate.h"

#include "dandeliond/NodeSettings.h"

#include <event2/event.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace dandelion;
using namespace dandelion::testing;

namespace {

constexpr char kSettings[] = R"({
  // A node.
  "id": "a", "region": "east", "zone": "east-1", "service": "stock",
  "upstream": { "ip": "10.1.1.10", "port": 8080 },
  "front": { "ip": "10.1.1.10", "port": 7001 },
  "operators": { "ip": "10.1.1.10", "port": 7003 },
  "peers": { "ip": "10.1.1.10", "port": 7002 },
  "store": { "servers": [{ "ip": "10.1.0.2", "port": 2379 }], "region": "east" },
  "keys": { "nodes": ["0123456789abcdef"] },
  "choice": "two-choices"
})";

constexpr char kUpgrade[] = "GET /link HTTP/1.1\r\nHost: 10.0.0.1:7002\r\n"
                            "Upgrade: websocket\r\nConnection: Upgrade\r\n"
                            "Sec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\n"
                            "Sec-WebSocket-Version: 13\r\ndandelion-nonce: 00ff\r\n\r\n";

constexpr char kHttpCall[] = "POST /s0/x?a=b HTTP/1.1\r\nHost: 10.0.0.1:7001\r\n"
                             "Content-Length: 5\r\ndandelion-deadline-ms: 500\r\n\r\nhello";

constexpr char kChunkedCall[] = "POST /s0/x HTTP/1.1\r\nHost: 10.0.0.1:7001\r\n"
                                "Transfer-Encoding: chunked\r\n\r\n5;a=b\r\nhello\r\n"
                                "1\r\nx\r\n0\r\nX-Trailer: y\r\n\r\n"
                                "GET /s0/y HTTP/1.1\r\nHost: x\r\n\r\n";

/// Records whether the message of the valid client was received.
class PullListener : public LinkHandler
{
public:
  void OnLinkMessage(LinkId, const LinkMessage& aMessage) override
  {
    const auto* pull = std::get_if<PullEntries>(&aMessage);
    hasReceivedPull = hasReceivedPull || (pull != nullptr && pull->after == 77);
  }
  bool hasReceivedPull = false;
};

/// Sends bytes on a new connection and closes it.
void SendRaw(Loop& aLoop, const Endpoint& aServer, const std::string& aBytes)
{
  int connection = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address = ToSocketAddress(aServer);
  (void)connect(connection, reinterpret_cast<sockaddr*>(&address), sizeof(address));
  (void)send(connection, aBytes.data(), aBytes.size(), MSG_NOSIGNAL);
  RunFor(aLoop, milliseconds(1));
  close(connection);
}

} // namespace

Test(malformed_input, settings_return_error_with_reason)
{
  cr_assert(ParseNodeSettings(kSettings).ok());
  CHECK_PROPERTY("damaged settings", [] {
    auto settings = ParseNodeSettings(Mutate(kSettings));
    if (!settings.ok()) {
      RC_ASSERT(KindOf(settings.status()) == ErrorKind::InvalidSettings);
      RC_ASSERT(!MessageOf(settings.status()).empty());
    }
  });
}

Test(malformed_input, headers_return_error_with_reason)
{
  CHECK_PROPERTY("arbitrary header values", [] {
    HttpHeaders headers = { { kDeadlineHeader, *rc::gen::arbitrary<std::string>() },
                            { kClassHeader, *rc::gen::arbitrary<std::string>() },
                            { kRetriesLeftHeader,
                              std::to_string(*rc::gen::arbitrary<int64_t>()) } };
    auto limits = ReadLimits(headers);
    if (!limits.ok()) {
      RC_ASSERT(KindOf(limits.status()) == ErrorKind::Usage);
    } else if (limits->retriesLeft.has_value()) {
      RC_ASSERT(*limits->retriesLeft >= 0);
    }
    RC_ASSERT(FromHex(ToHex(headers[0].second)) == headers[0].second);
    (void)FromHex(headers[1].second);
  });
}

Test(malformed_input, handshake_or_frame_closes_only_its_link)
{
  Loop loop;
  Hello hello{ "server", LoopbackOf(2) };
  WebsocketLinks server(loop, LoopbackOf(2), hello, SharedKeys(), 1);
  PullListener listener;
  server.AddHandler(listener);
  cr_assert(server.Start().ok());
  CHECK_PROPERTY("a damaged handshake, or a valid one followed by arbitrary bytes", [&] {
    bool isHandshakeWhole = *rc::gen::arbitrary<bool>();
    std::string bytes = isHandshakeWhole ? kUpgrade : Mutate(kUpgrade);
    bytes += *rc::gen::arbitrary<std::string>();
    SendRaw(loop, LoopbackOf(2), bytes);
  });
  WebsocketLinks client(loop, LoopbackOf(3), Hello{ "client", LoopbackOf(3) }, SharedKeys(), 2);
  cr_assert(client.Start().ok());
  client.Send(client.Open(LoopbackOf(2), Lane::Control), PullEntries{ 77 });
  cr_assert(RunUntil(loop, [&] { return listener.hasReceivedPull; }));
}

Test(malformed_input, http_server_keeps_serving)
{
  Loop loop;
  int served = 0;
  HttpServer server(loop, [&](std::shared_ptr<HttpExchange> aExchange) {
    ++served;
    aExchange->Reply(HttpResponse{ 200, {}, aExchange->Request().body });
  });
  cr_assert(server.Listen(LoopbackOf(1), HttpLimits()).ok());
  CHECK_PROPERTY("damaged requests",
                 [&] { SendRaw(loop, LoopbackOf(1), Mutate(std::string(kHttpCall))); });
  HttpClient client(loop);
  HttpResult result;
  client.Send(
    LoopbackOf(1), HttpRequest{ "POST", "/x", {}, "whole" }, seconds(20), [&](const auto& aIt) {
      result = aIt;
      loop.Stop();
    });
  loop.Run();
  cr_assert(result.outcome == HttpOutcome::Answered);
  cr_assert_eq(result.response.body, "whole");
  cr_assert_gt(served, 0);
}

/// Guards against bytes that stay charged when a connection ends in the middle of a request.
Test(malformed_input, http_server_releases_what_it_charged)
{
  constexpr size_t kBudget = 256 * 1024;
  Loop loop;
  MemoryGuard memory(loop, kBudget);
  auto reply = [](std::shared_ptr<HttpExchange> aExchange) {
    aExchange->Reply(HttpResponse{ 200, {}, aExchange->Request().body });
  };
  HttpServer server(loop, reply, HttpCapacity{ &memory, 4 });
  cr_assert(server.Listen(LoopbackOf(1), HttpLimits()).ok());
  CHECK_PROPERTY("damaged requests, with and without a large body", [&] {
    std::string request = *rc::gen::element<std::string>(kChunkedCall, kHttpCall);
    if (*rc::gen::inRange(0, 8) == 0) {
      request = "POST /x HTTP/1.1\r\nContent-Length: 200000\r\n\r\n" + std::string(150000, 'x');
    }
    SendRaw(loop, LoopbackOf(1), Mutate(request));
    RC_ASSERT(memory.HeldBytes() <= kBudget);
  });
  cr_assert(RunUntil(loop, [&] { return memory.HeldBytes() == 0; }),
            "%zu bytes stay charged",
            memory.HeldBytes());
}
