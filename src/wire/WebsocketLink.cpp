#include "wire/WebsocketLink.h"

#include "wire/SocketAddress.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>

namespace dandelion {

namespace {

constexpr Duration kConnectLimit = seconds(2);
/// A link on which an answer is awaited is asked for a sign of life after this silence.
constexpr Duration kSilenceBeforePing = milliseconds(500);
/// It is closed when the sign of life does not come.
constexpr Duration kPingLimit = seconds(1);
/// A link that was idle for longer is checked before a message is trusted to it.
constexpr Duration kStaleAfter = seconds(5);
constexpr Duration kCloseIdleAfter = seconds(60);

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

void WebsocketLinks::Link::AcceptOn(int aSocket)
{
  DisableNagle(aSocket);
  MakeSocket(aSocket);
  session_ = WebsocketSession::Accept(owner_.keys_, MakeCallbacks());
  session_->Begin();
}

void WebsocketLinks::Link::SetOutgoing(const Endpoint& aPeer)
{
  peer_ = aPeer;
  isOutgoing_ = true;
  // Its listener proves itself in the handshake, before the link is open.
  isBelieved_ = true;
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
    awaited_ == 0 && now - lastReceived_ > kStaleAfter && now - lastUsed_ > kStaleAfter;
  lastUsed_ = now;
  if (isOpen_ && isStale && isOutgoing_) {
    // Something between the two ends may have lost track of the connection. Until the peer
    // answers, messages stay here, so that a dead link loses none that may have run.
    isVerifying_ = true;
    Ping(now);
  }
  if (!isOpen_ || isVerifying_) {
    waiting_.push_back(aMessage);
    return;
  }
  SendNow(aMessage);
}

bool WebsocketLinks::Link::IsOver(TimePoint aNow)
{
  if (!isOpen_) {
    return aNow - createdAt_ > kConnectLimit;
  }
  if (pingedAt_.has_value() && aNow - *pingedAt_ > kPingLimit) {
    return true;
  }
  if (awaited_ > 0 && !pingedAt_.has_value() && aNow - lastReceived_ > kSilenceBeforePing) {
    Ping(aNow);
  }
  return isOutgoing_ && awaited_ == 0 && aNow - lastUsed_ > kCloseIdleAfter;
}

size_t WebsocketLinks::Link::QueuedBytes() const
{
  size_t output = socket_ == nullptr ? 0 : evbuffer_get_length(bufferevent_get_output(socket_));
  return output + fragments_.QueuedBytes() + fragments_.BytesInFlight();
}

std::vector<LinkMessage> WebsocketLinks::Link::TakeUnsent()
{
  std::vector<LinkMessage> unsent = fragments_.TakeUnsent();
  unsent.insert(unsent.end(), waiting_.begin(), waiting_.end());
  waiting_.clear();
  return unsent;
}

void WebsocketLinks::Link::Shut()
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
  callbacks.onEnd = [this] { owner_.Close(id_); };
  return callbacks;
}

void WebsocketLinks::Link::OnOpen()
{
  isOpen_ = true;
  owner_.OnOpened(*this);
  if (isOutgoing_) {
    SendNow(SignedHello());
  }
  SendWaiting();
}

LinkMessage WebsocketLinks::Link::SignedHello() const
{
  Hello hello = owner_.self_;
  hello.proof = ToHex(owner_.keys_.Sign(SignaturePurpose::LinkFromOpener, Claim(hello)));
  return hello;
}

std::string WebsocketLinks::Link::Claim(const Hello& aHello) const
{
  return fmt::format("{}\n{}\n{}", session_->Challenge(), aHello.sender, ToText(aHello.endpoint));
}

bool WebsocketLinks::Link::IsBelieved(const LinkEnvelope& aEnvelope)
{
  const auto* hello = std::get_if<Hello>(&aEnvelope.message);
  if (!isBelieved_ && hello != nullptr) {
    isBelieved_ =
      owner_.keys_.IsSigned(SignaturePurpose::LinkFromOpener, Claim(*hello), FromHex(hello->proof));
  }
  return isBelieved_;
}

void WebsocketLinks::Link::Receive(const LinkEnvelope& aEnvelope)
{
  if (IsBelieved(aEnvelope)) {
    owner_.Receive(id_, aEnvelope);
  } else {
    owner_.CloseBroken(id_, absl::PermissionDeniedError("the opener does not have our key"));
  }
}

void WebsocketLinks::Link::SendWaiting()
{
  std::vector<LinkMessage> waiting = std::move(waiting_);
  waiting_.clear();
  for (const LinkMessage& message : waiting) {
    SendNow(message);
  }
}

void WebsocketLinks::Link::SendNow(const LinkMessage& aMessage)
{
  LinkEnvelope envelope{ owner_.version_, aMessage };
  std::string bytes = Encode(LinkFrame(envelope));
  if (bytes.size() <= kFragmentBytes || !owner_.cutsLargeMessages_) {
    session_->Send(bytes);
    return;
  }
  fragments_.Add(aMessage, Encode(envelope));
  owner_.SendFragments();
}

bool WebsocketLinks::Link::SendOneFragment()
{
  size_t before = fragments_.BytesInFlight();
  auto next = fragments_.Next(owner_.loop_.Now());
  owner_.CountInFlight(before, fragments_.BytesInFlight());
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
    owner_.CloseBroken(id_, frame.status());
    return;
  }
  std::visit(Overloaded{
               [&](const LinkEnvelope& aEnvelope) { Receive(aEnvelope); },
               [&](const Fragment& aFragment) { OnFragment(aFragment); },
               [&](const FragmentCredit& aCredit) {
                 size_t before = fragments_.BytesInFlight();
                 fragments_.OnCredit(aCredit.bytes, owner_.loop_.Now());
                 owner_.CountInFlight(before, fragments_.BytesInFlight());
                 owner_.SendFragments();
               },
             },
             *frame);
}

void WebsocketLinks::Link::OnFragment(const Fragment& aFragment)
{
  if (!isBelieved_) {
    owner_.CloseBroken(id_, absl::PermissionDeniedError("the opener has not greeted"));
    return;
  }
  session_->Send(Encode(LinkFrame(FragmentCredit{ aFragment.bytes.data.size() })));
  auto whole = received_.Take(aFragment);
  if (!whole.ok()) {
    owner_.CloseBroken(id_, whole.status());
    return;
  }
  if (!whole->has_value()) {
    return;
  }
  auto envelope = Decode<LinkEnvelope>(**whole);
  if (!envelope.ok()) {
    owner_.CloseBroken(id_, envelope.status());
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
    link->SendWaiting();
  }
}

void WebsocketLinks::Link::OnSocketEvent(bufferevent* aSocket, short aEvents, void* aContext)
{
  auto* link = static_cast<Link*>(aContext);
  if ((aEvents & BEV_EVENT_CONNECTED) != 0) {
    DisableNagle(bufferevent_getfd(aSocket));
    link->session_ =
      WebsocketSession::Connect(ToText(*link->peer_), link->owner_.keys_, link->MakeCallbacks());
    link->session_->Begin();
    return;
  }
  link->owner_.Close(link->id_);
}

} // namespace dandelion
