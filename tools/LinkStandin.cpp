#include "LinkStandin.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <sys/socket.h>
#include <unistd.h>

namespace dandelion {

namespace {

constexpr int64_t kBitsPerByte = 8;
constexpr int64_t kMicrosecondsPerMillisecond = 1000;
/// Largest payload of a UDP datagram over IPv4.
constexpr size_t kMaxDatagramBytes = 65507;

std::string ReverseDirection(const std::string& aDirection)
{
  return aDirection + "-back";
}

} // namespace

/// One TCP connection through the link.
class LinkStandin::TcpForwarder
{
public:
  TcpForwarder(LinkStandin& aOwner, uint64_t aId, const LinkMapping& aMapping, int aSocket)
    : owner_(aOwner)
    , id_(aId)
    , direction_(aMapping.direction)
  {
    clientSide_ = MakeBufferEvent(aSocket);
    serverSide_ = MakeBufferEvent(-1);
    sockaddr_in address = ToSocketAddress(aMapping.to);
    bufferevent_socket_connect(serverSide_, reinterpret_cast<sockaddr*>(&address), sizeof(address));
    DisableNagle(bufferevent_getfd(clientSide_));
    DisableNagle(bufferevent_getfd(serverSide_));
  }

  ~TcpForwarder()
  {
    bufferevent_free(clientSide_);
    bufferevent_free(serverSide_);
  }

  void Stall() { isStalled_ = true; }

private:
  bufferevent* MakeBufferEvent(int aSocket)
  {
    bufferevent* made = bufferevent_socket_new(
      owner_.loop_.Base(), aSocket, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
    bufferevent_setcb(made, &TcpForwarder::OnReadable, nullptr, &TcpForwarder::OnEvent, this);
    bufferevent_enable(made, EV_READ | EV_WRITE);
    return made;
  }

  static void OnReadable(bufferevent* aSource, void* aContext)
  {
    auto* forwarder = static_cast<TcpForwarder*>(aContext);
    evbuffer* input = bufferevent_get_input(aSource);
    std::string bytes(evbuffer_get_length(input), '\0');
    evbuffer_remove(input, bytes.data(), bytes.size());
    if (forwarder->isStalled_) {
      return;
    }
    LinkStandin& owner = forwarder->owner_;
    bool isToServer = aSource == forwarder->clientSide_;
    std::string direction =
      isToServer ? forwarder->direction_ : ReverseDirection(forwarder->direction_);
    owner.tcpBytes_[direction] += bytes.size();
    uint64_t id = forwarder->id_;
    size_t size = bytes.size();
    owner.Transmit(direction, size, [&owner, id, isToServer, bytes = std::move(bytes)] {
      auto found = owner.tcp_.find(id);
      if (found != owner.tcp_.end()) {
        bufferevent_write(isToServer ? found->second->serverSide_ : found->second->clientSide_,
                          bytes.data(),
                          bytes.size());
      }
    });
  }

  static void OnEvent(bufferevent* /* aSource */, short aEvents, void* aContext)
  {
    auto* forwarder = static_cast<TcpForwarder*>(aContext);
    bool isClosed = (aEvents & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0;
    if (!isClosed || forwarder->isStalled_) {
      return;
    }
    // The close is delayed like data, so that the bytes sent before it are delivered first.
    LinkStandin& owner = forwarder->owner_;
    uint64_t id = forwarder->id_;
    owner.Transmit(forwarder->direction_, 0, [&owner, id] { owner.tcp_.erase(id); });
  }

  LinkStandin& owner_;
  uint64_t id_;
  std::string direction_;
  bufferevent* clientSide_;
  bufferevent* serverSide_;
  bool isStalled_ = false;
};

/// One UDP port of the link, with a separate socket for each sender so that answers reach it.
class LinkStandin::UdpForwarder
{
public:
  UdpForwarder(LinkStandin& aOwner, const LinkMapping& aMapping)
    : owner_(aOwner)
    , mapping_(aMapping)
  {
  }

  ~UdpForwarder()
  {
    for (const auto& [socket, readable] : events_) {
      event_free(readable);
      close(socket);
    }
  }

  bool Start()
  {
    listenSocket_ = OpenSocket();
    sockaddr_in address = ToSocketAddress(mapping_.from);
    return bind(listenSocket_, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0;
  }

private:
  using Sender = std::pair<uint32_t, uint16_t>;

  int OpenSocket()
  {
    int opened = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    auto onReadable = [](evutil_socket_t aSocket, short, void* aContext) {
      static_cast<UdpForwarder*>(aContext)->Receive(aSocket);
    };
    event* readable =
      event_new(owner_.loop_.Base(), opened, EV_READ | EV_PERSIST, onReadable, this);
    event_add(readable, nullptr);
    events_[opened] = readable;
    return opened;
  }

  void Receive(int aSocket)
  {
    std::string bytes(kMaxDatagramBytes, '\0');
    sockaddr_in source = {};
    socklen_t length = sizeof(source);
    ssize_t size = recvfrom(
      aSocket, bytes.data(), bytes.size(), 0, reinterpret_cast<sockaddr*>(&source), &length);
    if (size < 0 || owner_.faults_.isCut) {
      return;
    }
    bytes.resize(static_cast<size_t>(size));
    bool isToServer = aSocket == listenSocket_;
    std::string direction = isToServer ? mapping_.direction : ReverseDirection(mapping_.direction);
    owner_.udpBytes_[direction] += bytes.size();
    int sendingSocket = listenSocket_;
    sockaddr_in target = ToSocketAddress(mapping_.to);
    if (isToServer) {
      sendingSocket = SocketFor(source);
    } else {
      target = senders_.at(aSocket);
    }
    size_t count = bytes.size();
    owner_.Transmit(direction, count, [sendingSocket, target, bytes = std::move(bytes)] {
      (void)sendto(sendingSocket,
                   bytes.data(),
                   bytes.size(),
                   0,
                   reinterpret_cast<const sockaddr*>(&target),
                   sizeof(target));
    });
  }

  int SocketFor(const sockaddr_in& aSource)
  {
    Sender sender(aSource.sin_addr.s_addr, aSource.sin_port);
    auto found = sockets_.find(sender);
    if (found != sockets_.end()) {
      return found->second;
    }
    int opened = OpenSocket();
    sockets_[sender] = opened;
    senders_[opened] = aSource;
    return opened;
  }

  LinkStandin& owner_;
  LinkMapping mapping_;
  int listenSocket_ = -1;
  std::map<int, event*> events_;
  std::map<Sender, int> sockets_;
  std::map<int, sockaddr_in> senders_;
};

LinkStandin::LinkStandin(Loop& aLoop, LinkTraits aTraits)
  : loop_(aLoop)
  , traits_(std::move(aTraits))
  , control_(aLoop,
             [this](const std::shared_ptr<HttpExchange>& aExchange) { OnControl(aExchange); })
{
}

LinkStandin::~LinkStandin()
{
  for (evconnlistener* listener : listeners_) {
    evconnlistener_free(listener);
  }
}

absl::Status LinkStandin::Start()
{
  for (const LinkMapping& mapping : traits_.mappings) {
    sockaddr_in address = ToSocketAddress(mapping.from);
    struct Context
    {
      LinkStandin* owner;
      LinkMapping mapping;
    };
    // Never freed: the listener uses it until the process exits.
    auto* context = new Context{ this, mapping };
    auto onAccept = [](evconnlistener*, evutil_socket_t aSocket, sockaddr*, int, void* aContext) {
      auto* accepted = static_cast<Context*>(aContext);
      accepted->owner->Accept(accepted->mapping, aSocket);
    };
    evconnlistener* listener = evconnlistener_new_bind(loop_.Base(),
                                                       onAccept,
                                                       context,
                                                       LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE,
                                                       -1,
                                                       reinterpret_cast<sockaddr*>(&address),
                                                       sizeof(address));
    auto udp = std::make_unique<UdpForwarder>(*this, mapping);
    if (listener == nullptr || !udp->Start()) {
      return MakeError(ErrorKind::InvalidSettings,
                       fmt::format("cannot listen on {}", ToText(mapping.from)));
    }
    listeners_.push_back(listener);
    udp_.push_back(std::move(udp));
  }
  return control_.Listen(traits_.control, HttpLimits());
}

void LinkStandin::SetFaults(const LinkFaults& aFaults)
{
  faults_ = aFaults;
  if (faults_.isCut) {
    tcp_.clear();
  }
  if (faults_.stallsOpenConnections) {
    for (auto& [id, forwarder] : tcp_) {
      forwarder->Stall();
    }
  }
}

void LinkStandin::OnControl(const std::shared_ptr<HttpExchange>& aExchange)
{
  if (aExchange->Request().target == "/stats") {
    Json stats = { { "tcp_bytes", tcpBytes_ }, { "udp_bytes", udpBytes_ } };
    aExchange->Reply(HttpResponse{ 200, {}, stats.dump() });
    return;
  }
  Json json = Json::parse(aExchange->Request().body, nullptr, false);
  auto faults = FromJson<LinkFaults>(json, ErrorKind::Usage);
  if (!faults.ok()) {
    aExchange->Reply(HttpResponse{ 400, {}, MessageOf(faults.status()) });
    return;
  }
  SetFaults(*faults);
  aExchange->Reply(HttpResponse{ 200, {}, "{}" });
}

void LinkStandin::Transmit(const std::string& aDirection,
                           size_t aBytes,
                           std::function<void()> aDeliver)
{
  TimePoint now = loop_.Now();
  Direction& direction = directions_[aDirection];
  int64_t bits = static_cast<int64_t>(aBytes) * kBitsPerByte;
  Duration transmissionTime(bits * kMicrosecondsPerMillisecond / traits_.kilobitsPerSecond);
  direction.freeAt = std::max(direction.freeAt, now) + transmissionTime;
  direction.deliveries.push_back(
    { direction.freeAt + milliseconds(traits_.delayMs), std::move(aDeliver) });
  if (!direction.timer.IsPending()) {
    DeliverDue(direction);
  }
}

void LinkStandin::DeliverDue(Direction& aDirection)
{
  TimePoint now = loop_.Now();
  std::deque<Direction::Delivery>& deliveries = aDirection.deliveries;
  while (!deliveries.empty() && deliveries.front().at <= now) {
    std::function<void()> deliver = std::move(deliveries.front().deliver);
    deliveries.pop_front();
    deliver();
  }
  aDirection.timer.Cancel();
  if (!deliveries.empty()) {
    aDirection.timer =
      loop_.After(deliveries.front().at - now, [this, &aDirection] { DeliverDue(aDirection); });
  }
}

void LinkStandin::Accept(const LinkMapping& aMapping, int aSocket)
{
  if (faults_.isCut) {
    close(aSocket);
    return;
  }
  uint64_t id = nextId_++;
  tcp_[id] = std::make_unique<TcpForwarder>(*this, id, aMapping, aSocket);
}

} // namespace dandelion
