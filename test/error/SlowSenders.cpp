/// Guards against callers that hold a connection for good by sending their request's head byte by
/// byte.
#include "support/Check.h"
#include "support/Loopback.h"

#include "wire/Wire.h"

#include <fcntl.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace dandelion;
using namespace dandelion::testing;

Test(slow_senders, head_that_takes_longer_than_its_time_ends_the_connection)
{
  Loop loop;
  HttpServer server(loop, [](const std::shared_ptr<HttpExchange>&) {});
  HttpLimits limits;
  limits.headerTimeout = milliseconds(300);
  cr_assert(server.Listen(LoopbackOf(1), limits).ok());
  int client = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address = ToSocketAddress(LoopbackOf(1));
  cr_assert_eq(connect(client, reinterpret_cast<sockaddr*>(&address), sizeof(address)), 0);
  const std::string kBegin = "GET / HTTP/1.1\r\nX-Slow: ";
  cr_assert_eq(send(client, kBegin.data(), kBegin.size(), MSG_NOSIGNAL),
               static_cast<ssize_t>(kBegin.size()));
  Timer timer;
  std::function<void()> sendByte = [&] {
    (void)send(client, "x", 1, MSG_NOSIGNAL);
    timer = loop.After(milliseconds(50), sendByte);
  };
  sendByte();
  bool isClosed = RunUntil(loop, [&] {
    char byte = 0;
    ssize_t count = recv(client, &byte, 1, MSG_DONTWAIT);
    return count == 0 || (count < 0 && errno == ECONNRESET);
  });
  timer.Cancel();
  close(client);
  cr_assert(isClosed);
}
