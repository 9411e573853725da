/// Reconnects to an unreachable peer back off, and the handshakes in progress are limited.
///
/// Without these limits, calls that need a link to a failed peer would reconnect with every
/// message, and many peers that reconnect at the same time would keep the loop from the calls in
/// progress.
#include "support/Check.h"
#include "support/Loopback.h"

#include "wire/Wire.h"

#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace dandelion;
using namespace dandelion::testing;

namespace {

constexpr int kConnections = 300;

/// Counts received messages and messages that are returned as unsent.
class MessageCounter : public LinkHandler
{
public:
  void OnLinkMessage(LinkId, const LinkMessage&) override { ++messages; }
  void OnLinkClosed(LinkId, const std::vector<LinkMessage>& aUnsent) override
  {
    unsent += aUnsent.size();
  }
  size_t messages = 0;
  size_t unsent = 0;
};

/// Accepts connections and closes them immediately, like a node that fails during its handshake.
class ClosingListener
{
public:
  ClosingListener(Loop& aLoop, const Endpoint& aListen)
  {
    sockaddr_in address = ToSocketAddress(aListen);
    auto onAccept = [](evconnlistener*, evutil_socket_t aSocket, sockaddr*, int, void* aContext) {
      ++static_cast<ClosingListener*>(aContext)->connections;
      close(aSocket);
    };
    listener_ = evconnlistener_new_bind(aLoop.Base(),
                                        onAccept,
                                        this,
                                        LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE,
                                        16,
                                        reinterpret_cast<sockaddr*>(&address),
                                        sizeof(address));
  }
  ~ClosingListener() { evconnlistener_free(listener_); }

  int connections = 0;

private:
  evconnlistener* listener_;
};

int ConnectTo(const Endpoint& aPeer)
{
  int socketNumber = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  sockaddr_in address = ToSocketAddress(aPeer);
  (void)connect(socketNumber, reinterpret_cast<sockaddr*>(&address), sizeof(address));
  return socketNumber;
}

} // namespace

Test(links, back_off_from_unreachable_peer)
{
  Loop loop;
  ClosingListener closingListener(loop, LoopbackOf(1));
  WebsocketLinks links(loop, LoopbackOf(2), Hello{ "self", LoopbackOf(2) }, SharedKeys(), 7);
  MessageCounter counter;
  links.AddHandler(counter);
  cr_assert(links.Start().ok());
  // A message is sent on the link every millisecond for one second.
  size_t sent = 0;
  std::function<void()> send;
  Timer timer;
  send = [&] {
    links.Send(links.Open(LoopbackOf(1), Lane::Short), CancelCall{ ++sent });
    timer = loop.After(milliseconds(1), send);
  };
  send();
  RunFor(loop, seconds(1));
  timer.Cancel();
  cr_assert(RunUntil(loop, [&] { return counter.unsent == sent; }));
  // Delay bounds of 50, 100, 200, 400 and 800 ms allow about ten connections. All messages are
  // returned as unsent.
  cr_assert_leq(closingListener.connections, 20);
}

Test(links, limit_concurrent_handshakes)
{
  Loop loop;
  WebsocketLinks server(loop, LoopbackOf(3), Hello{ "server", LoopbackOf(3) }, SharedKeys(), 7);
  MessageCounter counter;
  server.AddHandler(counter);
  cr_assert(server.Start().ok());
  // Connections without a handshake use up the limit until they time out or are closed.
  std::vector<int> silentSockets;
  for (int i = 0; i < kConnections; ++i) {
    silentSockets.push_back(ConnectTo(LoopbackOf(3)));
  }
  cr_assert(RunUntil(loop, [&] { return server.HandshakesInProgress() > 0; }));
  RunFor(loop, milliseconds(100));
  cr_assert_leq(server.HandshakesInProgress(), 64);
  for (int silentSocket : silentSockets) {
    close(silentSocket);
  }
  WebsocketLinks client(loop, LoopbackOf(4), Hello{ "client", LoopbackOf(4) }, SharedKeys(), 8);
  cr_assert(client.Start().ok());
  client.Send(client.Open(LoopbackOf(3), Lane::Control), PullEntries{ 1 });
  // The hello and the message.
  cr_assert(RunUntil(loop, [&] { return counter.messages == 2; }));
  cr_assert(RunUntil(loop, [&] { return server.HandshakesInProgress() == 0; }));
}
