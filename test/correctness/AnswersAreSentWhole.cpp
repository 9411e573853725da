/// Guards against answers that are cut off because they count as sent once they are in the output
/// buffer of their connection, while a slow client still reads them.
#include "support/Check.h"
#include "support/Loopback.h"

#include "wire/Wire.h"

#include <sys/socket.h>
#include <unistd.h>

using namespace dandelion;
using namespace dandelion::testing;

namespace {

/// More than the sockets hold.
constexpr size_t kBodyBytes = 32 * 1024 * 1024;

/// A server that has answered one request, and its client, which has read nothing yet.
class SlowDownload
{
public:
  explicit SlowDownload(const HttpLimits& aLimits = HttpLimits(), HttpCapacity aCapacity = {})
    : server(
        loop,
        [this](const std::shared_ptr<HttpExchange>& aExchange) {
          HttpResponse response;
          response.body = std::string(kBodyBytes, 'x');
          aExchange->Reply(response);
          isAnswered_ = true;
        },
        aCapacity)
  {
    cr_assert(server.Listen(LoopbackOf(1), aLimits).ok());
    client_ = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address = ToSocketAddress(LoopbackOf(1));
    cr_assert_eq(connect(client_, reinterpret_cast<sockaddr*>(&address), sizeof(address)), 0);
    const std::string request = "GET /large HTTP/1.1\r\n\r\n";
    (void)send(client_, request.data(), request.size(), MSG_NOSIGNAL);
    cr_assert(RunUntil(loop, [this] { return isAnswered_; }));
  }
  ~SlowDownload() { close(client_); }

  /// Reads what has arrived, up to a number of bytes.
  void Read(size_t aMaxBytes)
  {
    std::vector<char> bytes(aMaxBytes);
    ssize_t count = recv(client_, bytes.data(), bytes.size(), MSG_DONTWAIT);
    received += count > 0 ? static_cast<size_t>(count) : 0;
    isClosed = isClosed || count == 0;
  }
  bool IsWhole() const { return received > kBodyBytes; }

  Loop loop;
  HttpServer server;
  size_t received = 0;
  bool isClosed = false;

private:
  int client_ = -1;
  bool isAnswered_ = false;
};

constexpr size_t kStepBytes = 1024 * 1024;

} // namespace

Test(slow_downloads, are_finished_during_a_planned_stop)
{
  SlowDownload download;
  download.server.StopListening();
  cr_assert_eq(download.server.BusyConnections(), 1);
  auto hasEnded = [&] {
    download.server.StopListening();
    download.Read(kStepBytes);
    return download.IsWhole() || download.isClosed;
  };
  cr_assert(RunUntil(download.loop, hasEnded));
  cr_assert(download.IsWhole(), "%zu bytes", download.received);
  // The connection was kept open; the stop closes it now.
  auto isClosed = [&] {
    download.server.StopListening();
    download.Read(kStepBytes);
    return download.isClosed;
  };
  cr_assert(RunUntil(download.loop, isClosed));
}

Test(slow_downloads, do_not_hold_a_planned_stop_if_the_client_reads_nothing)
{
  SlowDownload download;
  download.server.StopListening();
  auto isIdle = [&] { return download.server.BusyConnections() == 0; };
  cr_assert_not(isIdle());
  cr_assert(RunUntil(download.loop, isIdle));
}

Test(slow_downloads, may_take_longer_than_the_idle_timeout)
{
  HttpLimits limits;
  limits.idleTimeout = milliseconds(1000);
  SlowDownload download(limits);
  constexpr int kSteps = 30;
  for (int i = 0; i < kSteps; ++i) {
    RunFor(download.loop, milliseconds(100));
    download.Read(kStepBytes);
  }
  auto hasEnded = [&] {
    download.Read(kStepBytes);
    return download.IsWhole() || download.isClosed;
  };
  cr_assert(RunUntil(download.loop, hasEnded));
  cr_assert(download.IsWhole(), "%zu bytes", download.received);
}

/// With one connection allowed, another client comes while the answer is sent.
Test(slow_downloads, do_not_make_room_for_other_connections)
{
  HttpCapacity capacity;
  capacity.maxConnections = 1;
  SlowDownload download(HttpLimits(), capacity);
  constexpr int kSteps = 30;
  for (int i = 0; i < kSteps; ++i) {
    RunFor(download.loop, milliseconds(100));
    download.Read(kStepBytes);
    int other = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
    sockaddr_in address = ToSocketAddress(LoopbackOf(1));
    (void)connect(other, reinterpret_cast<sockaddr*>(&address), sizeof(address));
    RunFor(download.loop, milliseconds(1));
    close(other);
  }
  auto hasEnded = [&] {
    download.Read(kStepBytes);
    return download.IsWhole() || download.isClosed;
  };
  cr_assert(RunUntil(download.loop, hasEnded));
  cr_assert(download.IsWhole(), "%zu bytes", download.received);
}
