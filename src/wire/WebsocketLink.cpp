#include "wire/WebsocketLink.h"

#include "wire/SocketAddress.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>

namespace dandelion {

namespace {

constexpr Duration kConnectTimeout = seconds(2);
/// A link with awaited answers is pinged if nothing was received for this time.
constexpr Duration kPingAfterSilence = milliseconds(500);
/// A link is closed if nothing is received within this time after a ping.
constexpr Duration kPingTimeout = seconds(1);
/// A link that was idle for longer is pinged before a message is sent on it.
constexpr Duration kStaleAfter = seconds(5);
/// An outgoing link is closed if no message was sent on it for this time and no answer is awaited.
constexpr Duration kIdleTimeout = seconds(60);

} // namespace

WebsocketLinks::Link::Link(WebsocketLinks& aOwner, LinkId aId, Lane aLane)
  : owner_(aOwner)
  , id_(aId)
  , lane_(aLane)
  , createdAt_(aOwner.loop_.Now())
  , lastReceived_(createdAt_)
  , lastUsed_(createdAt_)
{
}

WebsocketLinks::Link::~Link()
{
  session_.reset();
  if (socket_ != nullptr) {
    bufferevent_free(socket_);
  }
}

void WebsocketLinks::Link::AcceptConnection(int aSocket)
{
  DisableNagle(aSocket);
  MakeSocket(aSocket);
  session_ = WebsocketSession::Accept(owner_.keys_, MakeCallbacks());
  session_->StartHandshake();
}

void WebsocketLinks::Link::SetOutgoing(const Endpoint& aPeer)
{
  peer_ = aPeer;
  isOutgoing_ = true;
  // The listener is authenticated in the handshake, before the link is open.
  isAuthenticated_ = true;
}

void WebsocketLinks::Link::Connect()
{
  MakeSocket(-1);
  sockaddr_in address = ToSocketAddress(*peer_);
  bufferevent_socket_connect(socket_, reinterpret_cast<sockaddr*>(&address), sizeof(address));
}

void WebsocketLinks::Link::Send(const LinkMessage& aMessage)
{
  TimePoint now = owner_.loop_.Now();
  bool isStale =
    awaitedAnswers_ == 0 && now - lastReceived_ > kStaleAfter && now - lastUsed_ > kStaleAfter;
  lastUsed_ = now;
  if (isOpen_ && isStale && isOutgoing_) {
    // A network device between the peers may have dropped the idle connection. Messages are queued
    // until the peer answers, so that a dead link returns them as unsent. If they were sent, it
    // would be unknown whether their calls were executed.
    isVerifying_ = true;
    Ping(now);
  }
  if (!isOpen_ || isVerifying_) {
    queued_.push_back(aMessage);
    return;
  }
  SendNow(aMessage);
}

bool WebsocketLinks::Link::CheckTimeouts(TimePoint aNow)
{
  if (!isOpen_) {
    return aNow - createdAt_ > kConnectTimeout;
  }
  if (pingedAt_.has_value() && aNow - *pingedAt_ > kPingTimeout) {
    return true;
  }
  if (awaitedAnswers_ > 0 && !pingedAt_.has_value() && aNow - lastReceived_ > kPingAfterSilence) {
    Ping(aNow);
  }
  return isOutgoing_ && awaitedAnswers_ == 0 && aNow - lastUsed_ > kIdleTimeout;
}

size_t WebsocketLinks::Link::QueuedBytes() const
{
  size_t output = socket_ == nullptr ? 0 : evbuffer_get_length(bufferevent_get_output(socket_));
  return output + fragmentSender_.QueuedBytes() + fragmentSender_.BytesInFlight();
}

std::vector<LinkMessage> WebsocketLinks::Link::TakeUnsent()
{
  std::vector<LinkMessage> unsent = fragmentSender_.TakeUnsent();
  unsent.insert(unsent.end(), queued_.begin(), queued_.end());
  queued_.clear();
  return unsent;
}

void WebsocketLinks::Link::Detach()
{
  if (socket_ != nullptr) {
    bufferevent_disable(socket_, EV_READ | EV_WRITE);
    bufferevent_setcb(socket_, nullptr, nullptr, nullptr, nullptr);
  }
}

void WebsocketLinks::Link::MakeSocket(int aSocket)
{
  socket_ = bufferevent_socket_new(
    owner_.loop_.Base(), aSocket, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
  bufferevent_setcb(socket_, &Link::OnReadable, nullptr, &Link::OnSocketEvent, this);
  bufferevent_enable(socket_, EV_READ | EV_WRITE);
}

WebsocketSession::Callbacks WebsocketLinks::Link::MakeCallbacks()
{
  WebsocketSession::Callbacks callbacks;
  callbacks.onWrite = [this](std::string_view aBytes) {
    owner_.bytesSent_[static_cast<size_t>(lane_)] += aBytes.size();
    bufferevent_write(socket_, aBytes.data(), aBytes.size());
  };
  callbacks.onOpen = [this] { OnOpen(); };
  callbacks.onMessage = [this](const std::string& aBytes) { OnFrame(aBytes); };
  callbacks.onClosed = [this] { owner_.Close(id_); };
  return callbacks;
}

void WebsocketLinks::Link::OnOpen()
{
  isOpen_ = true;
  owner_.OnOpened(*this);
  if (isOutgoing_) {
    SendNow(SignedHello());
  }
  SendQueued();
}

LinkMessage WebsocketLinks::Link::SignedHello() const
{
  Hello hello = owner_.self_;
  hello.proof =
    ToHex(owner_.keys_.Sign(SignaturePurpose::LinkFromOpener, HelloSignatureInput(hello)));
  return hello;
}

std::string WebsocketLinks::Link::HelloSignatureInput(const Hello& aHello) const
{
  return fmt::format("{}\n{}\n{}", session_->Challenge(), aHello.sender, ToText(aHello.endpoint));
}

bool WebsocketLinks::Link::Authenticate(const LinkEnvelope& aEnvelope)
{
  const auto* hello = std::get_if<Hello>(&aEnvelope.message);
  if (!isAuthenticated_ && hello != nullptr) {
    isAuthenticated_ = owner_.keys_.Verify(
      SignaturePurpose::LinkFromOpener, HelloSignatureInput(*hello), FromHex(hello->proof));
  }
  return isAuthenticated_;
}

void WebsocketLinks::Link::Receive(const LinkEnvelope& aEnvelope)
{
  if (Authenticate(aEnvelope)) {
    owner_.Receive(id_, aEnvelope);
  } else {
    owner_.CloseWithError(id_, absl::PermissionDeniedError("the opener does not have our key"));
  }
}

void WebsocketLinks::Link::SendQueued()
{
  std::vector<LinkMessage> queued = std::move(queued_);
  queued_.clear();
  for (const LinkMessage& message : queued) {
    SendNow(message);
  }
}

void WebsocketLinks::Link::SendNow(const LinkMessage& aMessage)
{
  LinkEnvelope envelope{ owner_.version_, aMessage };
  std::string bytes = Encode(LinkFrame(envelope));
  if (bytes.size() <= kFragmentBytes || !owner_.fragmentsLargeMessages_) {
    session_->Send(bytes);
    return;
  }
  fragmentSender_.Add(aMessage, Encode(envelope));
  owner_.SendFragments();
}

bool WebsocketLinks::Link::SendOneFragment()
{
  size_t before = fragmentSender_.BytesInFlight();
  auto next = fragmentSender_.NextFragment(owner_.loop_.Now());
  owner_.CountInFlight(before, fragmentSender_.BytesInFlight());
  if (!next.has_value()) {
    return false;
  }
  session_->Send(Encode(LinkFrame(*std::move(next))));
  return true;
}

void WebsocketLinks::Link::OnFrame(const std::string& aBytes)
{
  auto frame = Decode<LinkFrame>(aBytes);
  if (!frame.ok()) {
    owner_.CloseWithError(id_, frame.status());
    return;
  }
  std::visit(Overloaded{
               [&](const LinkEnvelope& aEnvelope) { Receive(aEnvelope); },
               [&](const Fragment& aFragment) { OnFragment(aFragment); },
               [&](const FragmentCredit& aCredit) {
                 size_t before = fragmentSender_.BytesInFlight();
                 fragmentSender_.OnCredit(aCredit.bytes, owner_.loop_.Now());
                 owner_.CountInFlight(before, fragmentSender_.BytesInFlight());
                 owner_.SendFragments();
               },
             },
             *frame);
}

void WebsocketLinks::Link::OnFragment(const Fragment& aFragment)
{
  if (!isAuthenticated_) {
    owner_.CloseWithError(
      id_, absl::PermissionDeniedError("the opener sent a fragment before its hello message"));
    return;
  }
  session_->Send(Encode(LinkFrame(FragmentCredit{ aFragment.bytes.data.size() })));
  auto messageBytes = fragmentReceiver_.AddFragment(aFragment);
  if (!messageBytes.ok()) {
    owner_.CloseWithError(id_, messageBytes.status());
    return;
  }
  if (!messageBytes->has_value()) {
    return;
  }
  auto envelope = Decode<LinkEnvelope>(**messageBytes);
  if (!envelope.ok()) {
    owner_.CloseWithError(id_, envelope.status());
    return;
  }
  Receive(*envelope);
}

void WebsocketLinks::Link::Ping(TimePoint aNow)
{
  pingedAt_ = aNow;
  session_->Ping();
}

void WebsocketLinks::Link::OnReadable(bufferevent* aSocket, void* aContext)
{
  auto* link = static_cast<Link*>(aContext);
  evbuffer* input = bufferevent_get_input(aSocket);
  std::string bytes(evbuffer_get_length(input), '\0');
  evbuffer_remove(input, bytes.data(), bytes.size());
  link->lastReceived_ = link->owner_.loop_.Now();
  link->pingedAt_.reset();
  link->session_->Feed(bytes.data(), bytes.size());
  if (link->isVerifying_) {
    link->isVerifying_ = false;
    link->SendQueued();
  }
}

void WebsocketLinks::Link::OnSocketEvent(bufferevent* aSocket, short aEvents, void* aContext)
{
  auto* link = static_cast<Link*>(aContext);
  if ((aEvents & BEV_EVENT_CONNECTED) != 0) {
    DisableNagle(bufferevent_getfd(aSocket));
    link->session_ =
      WebsocketSession::Connect(ToText(*link->peer_), link->owner_.keys_, link->MakeCallbacks());
    link->session_->StartHandshake();
    return;
  }
  link->owner_.Close(link->id_);
}

} // namespace dandelion
