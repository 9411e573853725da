#include "wire/WebsocketLinks.h"

#include "wire/Fragments.h"
#include "wire/SocketAddress.h"
#include "wire/WebsocketSession.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <sys/socket.h>

namespace dandelion {

namespace {

constexpr Duration kTickPeriod = milliseconds(250);
constexpr Duration kConnectLimit = seconds(2);
/// A link on which an answer is awaited is asked for a sign of life after this silence.
constexpr Duration kSilenceBeforePing = milliseconds(500);
/// It is closed when the sign of life does not come.
constexpr Duration kPingLimit = seconds(1);
/// A link that was idle for longer is checked before a message is trusted to it.
constexpr Duration kStaleAfter = seconds(5);
constexpr Duration kCloseIdleAfter = seconds(60);
constexpr int kBacklog = 1024;
/// While so many peers shake hands, others wait in the listen queue: a herd that comes back must
/// not keep the loop from the calls in progress.
constexpr int kMostHandshakes = 64;

} // namespace

/// One connection and the messages that wait until it is known to work.
class WebsocketLinks::Link
{
public:
  Link(WebsocketLinks& aOwner, LinkId aId, Lane aLane)
    : owner_(aOwner)
    , id_(aId)
    , lane_(aLane)
    , createdAt_(aOwner.loop_.Now())
    , lastReceived_(createdAt_)
    , lastUsed_(createdAt_)
  {
  }

  ~Link()
  {
    session_.reset();
    if (socket_ != nullptr) {
      bufferevent_free(socket_);
    }
  }

  void AcceptOn(int aSocket)
  {
    DisableNagle(aSocket);
    MakeSocket(aSocket);
    session_ = WebsocketSession::Accept(owner_.keys_, MakeCallbacks());
    session_->Begin();
  }

  void SetOutgoing(const Endpoint& aPeer)
  {
    peer_ = aPeer;
    isOutgoing_ = true;
    // Its listener proves itself in the handshake, before the link is open.
    isBelieved_ = true;
  }

  void Connect()
  {
    MakeSocket(-1);
    sockaddr_in address = ToSocketAddress(*peer_);
    bufferevent_socket_connect(socket_, reinterpret_cast<sockaddr*>(&address), sizeof(address));
  }

  void Send(const LinkMessage& aMessage)
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

  /// Whether the link must be closed now.
  bool IsOver(TimePoint aNow)
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

  void CountAwaited(int aChange) { awaited_ = std::max(0, awaited_ + aChange); }
  std::vector<LinkMessage> TakeUnsent()
  {
    std::vector<LinkMessage> unsent = fragments_.TakeUnsent();
    unsent.insert(unsent.end(), waiting_.begin(), waiting_.end());
    waiting_.clear();
    return unsent;
  }
  void SetPeer(const Endpoint& aPeer) { peer_ = aPeer; }
  const std::optional<Endpoint>& Peer() const { return peer_; }
  Lane LaneOf() const { return lane_; }
  bool IsOpen() const { return isOpen_; }
  /// Whether a connection was begun.
  bool IsConnecting() const { return socket_ != nullptr; }
  bool IsOutgoing() const { return isOutgoing_; }
  void Shut()
  {
    if (socket_ != nullptr) {
      bufferevent_disable(socket_, EV_READ | EV_WRITE);
      bufferevent_setcb(socket_, nullptr, nullptr, nullptr, nullptr);
    }
  }

private:
  void MakeSocket(int aSocket)
  {
    socket_ = bufferevent_socket_new(
      owner_.loop_.Base(), aSocket, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
    bufferevent_setcb(socket_, &Link::OnReadable, nullptr, &Link::OnSocketEvent, this);
    bufferevent_enable(socket_, EV_READ | EV_WRITE);
  }

  WebsocketSession::Callbacks MakeCallbacks()
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

  void OnOpen()
  {
    isOpen_ = true;
    owner_.OnOpened(*this);
    if (isOutgoing_) {
      SendNow(SignedHello());
    }
    SendWaiting();
  }

  LinkMessage SignedHello() const
  {
    Hello hello = owner_.self_;
    hello.proof = ToHex(owner_.keys_.Sign(SignaturePurpose::LinkFromOpener, Claim(hello)));
    return hello;
  }

  /// What the opener of a link signs: this link's challenge, and who it says it is.
  std::string Claim(const Hello& aHello) const
  {
    return fmt::format("{}\n{}\n{}", session_->Challenge(), aHello.sender, ToText(aHello.endpoint));
  }

  /// The opener must greet with its proof before anything else of it is believed.
  bool IsBelieved(const LinkEnvelope& aEnvelope)
  {
    const auto* hello = std::get_if<Hello>(&aEnvelope.message);
    if (!isBelieved_ && hello != nullptr) {
      isBelieved_ = owner_.keys_.IsSigned(
        SignaturePurpose::LinkFromOpener, Claim(*hello), FromHex(hello->proof));
    }
    return isBelieved_;
  }

  void Receive(const LinkEnvelope& aEnvelope)
  {
    if (IsBelieved(aEnvelope)) {
      owner_.Receive(id_, aEnvelope);
    } else {
      owner_.CloseBroken(id_, absl::PermissionDeniedError("the opener does not have our key"));
    }
  }

  void SendWaiting()
  {
    std::vector<LinkMessage> waiting = std::move(waiting_);
    waiting_.clear();
    for (const LinkMessage& message : waiting) {
      SendNow(message);
    }
  }

  void SendNow(const LinkMessage& aMessage)
  {
    LinkEnvelope envelope{ owner_.version_, aMessage };
    std::string bytes = Encode(LinkFrame(envelope));
    if (bytes.size() <= kFragmentBytes || !owner_.cutsLargeMessages_) {
      session_->Send(bytes);
      return;
    }
    fragments_.Add(aMessage, Encode(envelope));
    SendFragments();
  }

  void SendFragments()
  {
    TimePoint now = owner_.loop_.Now();
    for (auto next = fragments_.Next(now); next.has_value(); next = fragments_.Next(now)) {
      session_->Send(Encode(LinkFrame(*std::move(next))));
    }
  }

  void OnFrame(const std::string& aBytes)
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
                   fragments_.OnCredit(aCredit.bytes, owner_.loop_.Now());
                   SendFragments();
                 },
               },
               *frame);
  }

  void OnFragment(const Fragment& aFragment)
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

  void Ping(TimePoint aNow)
  {
    pingedAt_ = aNow;
    session_->Ping();
  }

  static void OnReadable(bufferevent* aSocket, void* aContext)
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

  static void OnSocketEvent(bufferevent* aSocket, short aEvents, void* aContext)
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

  WebsocketLinks& owner_;
  LinkId id_;
  Lane lane_;
  TimePoint createdAt_;
  TimePoint lastReceived_;
  TimePoint lastUsed_;
  std::optional<TimePoint> pingedAt_;
  bufferevent* socket_ = nullptr;
  std::unique_ptr<WebsocketSession> session_;
  std::optional<Endpoint> peer_;
  bool isOutgoing_ = false;
  bool isOpen_ = false;
  bool isVerifying_ = false;
  bool isBelieved_ = false;
  int awaited_ = 0;
  std::vector<LinkMessage> waiting_;
  FragmentSender fragments_;
  FragmentReceiver received_;
};

WebsocketLinks::WebsocketLinks(Loop& aLoop,
                               Endpoint aListen,
                               Hello aSelf,
                               SharedKeys aKeys,
                               uint64_t aSeed,
                               bool aCutsLargeMessages)
  : loop_(aLoop)
  , listen_(std::move(aListen))
  , self_(std::move(aSelf))
  , keys_(std::move(aKeys))
  , cutsLargeMessages_(aCutsLargeMessages)
  , backoff_(aSeed)
{
}

WebsocketLinks::~WebsocketLinks()
{
  Stop();
  links_.clear();
  closed_.clear();
}

absl::Status WebsocketLinks::Start()
{
  sockaddr_in address = ToSocketAddress(listen_);
  auto onAccept = [](evconnlistener*, evutil_socket_t aSocket, sockaddr*, int, void* aContext) {
    static_cast<WebsocketLinks*>(aContext)->Accept(aSocket);
  };
  listener_ =
    evconnlistener_new_bind(loop_.Base(),
                            onAccept,
                            this,
                            LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC,
                            kBacklog,
                            reinterpret_cast<sockaddr*>(&address),
                            sizeof(address));
  if (listener_ == nullptr) {
    return MakeError(
      ErrorKind::InvalidSettings,
      fmt::format("cannot take links on {}; free the port or set another", ToText(listen_)));
  }
  Tick();
  return absl::OkStatus();
}

void WebsocketLinks::Stop()
{
  if (listener_ != nullptr) {
    evconnlistener_free(std::exchange(listener_, nullptr));
  }
  tick_.Cancel();
  closing_.Cancel();
}

LinkId WebsocketLinks::Open(const Endpoint& aPeer, Lane aLane)
{
  Target target(aPeer, aLane);
  auto found = byTarget_.find(target);
  if (found != byTarget_.end()) {
    return found->second;
  }
  LinkId id = nextId_++;
  byTarget_[target] = id;
  auto link = std::make_unique<Link>(*this, id, aLane);
  Link& opened = *link;
  links_[id] = std::move(link);
  opened.SetOutgoing(aPeer);
  if (backoff_.MayTry(aPeer, loop_.Now())) {
    opened.Connect();
  } else {
    CloseSoon(id);
  }
  return id;
}

void WebsocketLinks::CloseSoon(LinkId aId)
{
  unreachable_.push_back(aId);
  if (!closing_.IsPending()) {
    closing_ = loop_.After(Duration::zero(), [this] {
      closing_.Cancel();
      for (LinkId id : std::exchange(unreachable_, {})) {
        Close(id);
      }
    });
  }
}

void WebsocketLinks::Send(LinkId aLink, const LinkMessage& aMessage)
{
  Link* link = Find(aLink);
  if (link != nullptr) {
    link->Send(aMessage);
  }
}

void WebsocketLinks::AwaitAnswer(LinkId aLink)
{
  Link* link = Find(aLink);
  if (link != nullptr) {
    link->CountAwaited(1);
  }
}

void WebsocketLinks::AnswerCame(LinkId aLink)
{
  Link* link = Find(aLink);
  if (link != nullptr) {
    link->CountAwaited(-1);
  }
}

std::optional<Endpoint> WebsocketLinks::PeerOf(LinkId aLink) const
{
  Link* link = Find(aLink);
  return link == nullptr ? std::nullopt : link->Peer();
}

void WebsocketLinks::Accept(int aSocket)
{
  LinkId id = nextId_++;
  auto link = std::make_unique<Link>(*this, id, Lane::Control);
  Link& accepted = *link;
  links_[id] = std::move(link);
  CountHandshakes(1);
  accepted.AcceptOn(aSocket);
}

void WebsocketLinks::OnOpened(const Link& aLink)
{
  if (aLink.IsOutgoing()) {
    backoff_.OnOpened(*aLink.Peer());
  } else {
    CountHandshakes(-1);
  }
}

void WebsocketLinks::OnNeverOpened(const Link& aLink)
{
  if (!aLink.IsOutgoing()) {
    CountHandshakes(-1);
  } else if (aLink.IsConnecting()) {
    backoff_.OnFailed(*aLink.Peer(), loop_.Now());
  }
}

void WebsocketLinks::CountHandshakes(int aChange)
{
  handshakes_ += aChange;
  if (listener_ == nullptr) {
    return;
  }
  if (handshakes_ >= kMostHandshakes) {
    evconnlistener_disable(listener_);
  } else {
    evconnlistener_enable(listener_);
  }
}

void WebsocketLinks::CloseBroken(LinkId aId, const absl::Status& aWhy)
{
  Log(LogPart::Links, LogLevel::Warning, "A link is closed: {}.", Reason(aWhy));
  Close(aId);
}

void WebsocketLinks::Receive(LinkId aId, const LinkEnvelope& aEnvelope)
{
  Link* link = Find(aId);
  if (link == nullptr) {
    return;
  }
  if (const auto* hello = std::get_if<Hello>(&aEnvelope.message)) {
    link->SetPeer(hello->endpoint);
  }
  if (link->Peer().has_value() && onVersionSeen_) {
    onVersionSeen_(*link->Peer(), aEnvelope.version);
  }
  for (LinkHandler* handler : handlers_) {
    handler->OnLinkMessage(aId, aEnvelope.message);
  }
}

void WebsocketLinks::Close(LinkId aId)
{
  auto found = links_.find(aId);
  if (found == links_.end()) {
    return;
  }
  std::unique_ptr<Link> link = std::move(found->second);
  links_.erase(found);
  if (!link->IsOpen()) {
    OnNeverOpened(*link);
  }
  if (link->IsOutgoing()) {
    byTarget_.erase(Target(*link->Peer(), link->LaneOf()));
  }
  std::vector<LinkMessage> unsent = link->TakeUnsent();
  link->Shut();
  closed_.push_back(std::move(link));
  for (LinkHandler* handler : handlers_) {
    handler->OnLinkClosed(aId, unsent);
  }
}

void WebsocketLinks::Tick()
{
  closed_.clear();
  TimePoint now = loop_.Now();
  backoff_.Forget(now);
  std::vector<LinkId> over;
  for (auto& [id, link] : links_) {
    if (link->IsOver(now)) {
      over.push_back(id);
    }
  }
  for (LinkId id : over) {
    Close(id);
  }
  tick_ = loop_.After(kTickPeriod, [this] { Tick(); });
}

WebsocketLinks::Link* WebsocketLinks::Find(LinkId aId) const
{
  auto found = links_.find(aId);
  return found == links_.end() ? nullptr : found->second.get();
}

} // namespace dandelion
