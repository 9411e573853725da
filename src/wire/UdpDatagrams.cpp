#include "wire/UdpDatagrams.h"

#include "wire/SocketAddress.h"

#include <event2/event.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>

namespace dandelion {

namespace {

/// Maximum payload of a UDP datagram over IPv4.
constexpr size_t kMaxDatagramBytes = 65507;
/// Datagrams read in one iteration of the loop, so that many datagrams do not starve other events.
constexpr int kMaxDatagramsPerIteration = 64;

} // namespace

UdpDatagrams::UdpDatagrams(Loop& aLoop, Endpoint aListen, SharedKeys aKeys)
  : loop_(aLoop)
  , listen_(std::move(aListen))
  , keys_(std::move(aKeys))
{
}

UdpDatagrams::~UdpDatagrams()
{
  if (readEvent_ != nullptr) {
    event_free(readEvent_);
  }
  if (socket_ >= 0) {
    close(socket_);
  }
}

absl::Status UdpDatagrams::Start()
{
  sockaddr_in address = ToSocketAddress(listen_);
  socket_ = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  bool isBound = bind(socket_, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0;
  if (!isBound) {
    return MakeError(ErrorKind::InvalidSettings,
                     fmt::format("cannot receive datagrams on {}; free the port or set another one",
                                 ToText(listen_)));
  }
  auto onReadable = [](evutil_socket_t, short, void* aContext) {
    static_cast<UdpDatagrams*>(aContext)->ReceiveAll();
  };
  readEvent_ = event_new(loop_.Base(), socket_, EV_READ | EV_PERSIST, onReadable, this);
  event_add(readEvent_, nullptr);
  return absl::OkStatus();
}

void UdpDatagrams::Send(const Endpoint& aTo, const Datagram& aDatagram)
{
  sockaddr_in address = ToSocketAddress(aTo);
  if (address.sin_family != AF_INET) {
    return;
  }
  std::string bytes = Encode(aDatagram);
  bytes += keys_.Sign(SignaturePurpose::Datagram, bytes);
  bytesSent_ += bytes.size();
  // If the socket buffer is full, the datagram is lost. All protocols on top tolerate lost
  // datagrams.
  (void)sendto(
    socket_, bytes.data(), bytes.size(), 0, reinterpret_cast<sockaddr*>(&address), sizeof(address));
}

void UdpDatagrams::ReceiveAll()
{
  static thread_local std::string buffer(kMaxDatagramBytes, '\0');
  for (int i = 0; i < kMaxDatagramsPerIteration; ++i) {
    sockaddr_in address = {};
    socklen_t length = sizeof(address);
    ssize_t size = recvfrom(
      socket_, buffer.data(), buffer.size(), 0, reinterpret_cast<sockaddr*>(&address), &length);
    if (size < 0) {
      return;
    }
    Receive(ToEndpoint(address), std::string_view(buffer.data(), static_cast<size_t>(size)));
  }
}

void UdpDatagrams::Receive(const Endpoint& aFrom, std::string_view aBytes)
{
  size_t signatureBytes =
    keys_.IsEnabled() ? std::min(aBytes.size(), SharedKeys::kSignatureBytes) : 0;
  std::string_view signature = aBytes.substr(aBytes.size() - signatureBytes);
  std::string_view body = aBytes.substr(0, aBytes.size() - signatureBytes);
  if (!keys_.Verify(SignaturePurpose::Datagram, body, signature)) {
    Log(LogPart::Links,
        LogLevel::Warning,
        "A datagram from {} was dropped: it is not signed with this mesh's key.",
        ToText(aFrom));
    return;
  }
  auto datagram = Decode<Datagram>(body);
  if (!datagram.ok()) {
    Log(LogPart::Links,
        LogLevel::Warning,
        "A datagram from {} was dropped: {}.",
        ToText(aFrom),
        MessageOf(datagram.status()));
    return;
  }
  for (const Handler& handler : handlers_) {
    handler(aFrom, *datagram);
  }
}

} // namespace dandelion
