#include "wire/WebsocketLink.h"

namespace dandelion {

namespace {

constexpr Duration kConnectTimeout = seconds(2);
/// Longest time to continue a link over another connection, before its peer counts as unreachable.
constexpr Duration kResumeTimeout = seconds(1);
/// An accepted link without a connection, or whose opener acknowledges nothing, is kept for this
/// long: the opener's longest time to find the connection silent, to connect, and a margin for a
/// busy machine.
constexpr Duration kResumeWindow = kMaxAckTimeout + kResumeTimeout + milliseconds(500);
/// A link with awaited answers is probed if nothing was received for this time.
constexpr Duration kProbeAfterSilence = milliseconds(250);
/// A link that was idle for longer is probed before a message is sent on it.
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

void WebsocketLinks::Link::AcceptConnection(int aSocket)
{
  connection_ = LinkConnection::Accept(owner_.loop_, aSocket, owner_.keys_, *this);
}

void WebsocketLinks::Link::SetOutgoing(const Endpoint& aPeer)
{
  peer_ = aPeer;
  isOutgoing_ = true;
  token_ = owner_.random_();
  // The listener is authenticated in the handshake, before the link is open.
  isAuthenticated_ = true;
}

void WebsocketLinks::Link::Connect()
{
  connection_ = LinkConnection::Connect(owner_.loop_, *peer_, owner_.keys_, *this);
}

void WebsocketLinks::Link::Send(const LinkMessage& aMessage)
{
  TimePoint now = owner_.loop_.Now();
  bool isStale =
    awaitedAnswers_ == 0 && now - lastReceived_ > kStaleAfter && now - lastUsed_ > kStaleAfter;
  lastUsed_ = now;
  if (gate_.MaySendMessages() && isStale && isOutgoing_) {
    // A network device between the peers may have dropped the idle connection. Messages are queued
    // until the peer answers, so that a dead link returns them as unsent. If they were sent, it
    // would be unknown whether their calls were executed.
    SendNumbered(LinkProbe{});
    gate_.BeginVerification(delivery_.Sent());
  }
  if (!gate_.MaySendMessages()) {
    queued_.push_back(aMessage);
    return;
  }
  SendNow(aMessage);
}

bool WebsocketLinks::Link::HasWork() const
{
  return awaitedAnswers_ > 0 || !queued_.empty() || !delivery_.Unacknowledged().empty() ||
         fragmentSender_.QueuedBytes() > 0;
}

bool WebsocketLinks::Link::CheckTimeouts(TimePoint aNow)
{
  if (std::optional<TimePoint> interruptedAt = gate_.InterruptedAt()) {
    return aNow - *interruptedAt > (isOutgoing_ ? kResumeTimeout : kResumeWindow);
  }
  if (!gate_.IsOpen()) {
    return aNow - createdAt_ > kConnectTimeout;
  }
  if (!isOutgoing_ && !wasOpen_) {
    // Whoever opened it has not sent its hello.
    return aNow - createdAt_ > kConnectTimeout;
  }
  if (!isOutgoing_) {
    // The opener replaces a silent connection long before this.
    std::optional<TimePoint> waitingSince = delivery_.WaitingSince();
    return waitingSince.has_value() && aNow - *waitingSince > kResumeWindow;
  }
  if (delivery_.IsOverdue(aNow, lastReceived_)) {
    Reconnect(aNow);
    return false;
  }
  bool isAwaiting = awaitedAnswers_ > 0 && delivery_.Unacknowledged().empty();
  if (isAwaiting && aNow - lastReceived_ > kProbeAfterSilence) {
    SendNumbered(LinkProbe{});
  }
  return !HasWork() && aNow - lastUsed_ > kIdleTimeout;
}

size_t WebsocketLinks::Link::QueuedBytes() const
{
  size_t output = connection_ == nullptr ? 0 : connection_->QueuedBytes();
  return output + fragmentSender_.QueuedBytes() + fragmentSender_.BytesInFlight();
}

size_t WebsocketLinks::Link::HeldBytes() const
{
  size_t output = connection_ == nullptr ? 0 : connection_->QueuedBytes();
  // Fragments in flight are kept until the peer has acknowledged their frames.
  return output + fragmentSender_.QueuedReplyBytes() + fragmentSender_.BytesInFlight() +
         fragmentReceiver_.PartialBytes();
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
  if (connection_ != nullptr) {
    connection_->Detach();
  }
}

void WebsocketLinks::Link::DropConnection()
{
  if (connection_ != nullptr) {
    connection_->Detach();
    owner_.retiredConnections_.push_back(std::move(connection_));
  }
  gate_.OnInterrupted(owner_.loop_.Now());
}

void WebsocketLinks::Link::Reconnect(TimePoint aNow)
{
  Log(LogPart::Links,
      LogLevel::Info,
      "The connection to {} is replaced: {} frames are not acknowledged, the first since {} ms; "
      "nothing was received for {} ms.",
      ToText(*peer_),
      delivery_.Unacknowledged().size(),
      ToMilliseconds(aNow - delivery_.WaitingSince().value_or(aNow)),
      ToMilliseconds(aNow - lastReceived_));
  DropConnection();
  Connect();
}

void WebsocketLinks::Link::OnConnected()
{
  if (!isOutgoing_) {
    gate_.OnOpened();
    owner_.OnOpened(*this);
    return;
  }
  owner_.OnOpened(*this);
  connection_->Send(Encode(LinkFrame(LinkEnvelope{ owner_.version_, SignedHello() })));
  if (gate_.State() == LinkState::Interrupted) {
    // The peer tells first what it has received.
    return;
  }
  gate_.OnOpened();
  wasOpen_ = true;
  SendQueued();
}

void WebsocketLinks::Link::OnDisconnected()
{
  bool isInterrupted = gate_.State() == LinkState::Interrupted;
  if (isOutgoing_ && wasOpen_ && !isInterrupted && HasWork()) {
    Reconnect(owner_.loop_.Now());
    return;
  }
  if (!isOutgoing_ && wasOpen_) {
    DropConnection();
    return;
  }
  owner_.Close(id_);
}

void WebsocketLinks::Link::ContinueOver(Link& aReplacement, const Hello& aHello)
{
  DropConnection();
  connection_ = std::move(aReplacement.connection_);
  connection_->SetUser(*this);
  connection_->Send(Encode(LinkFrame(LinkResumed{ true, delivery_.Received() })));
  Continue(aHello.received);
}

void WebsocketLinks::Link::OnResumed(const LinkResumed& aResumed)
{
  if (!isOutgoing_ || gate_.State() != LinkState::Interrupted) {
    owner_.CloseWithError(id_, MakeError(ErrorKind::BrokenMessage, "the link is not interrupted"));
    return;
  }
  if (!aResumed.isKnown) {
    owner_.CloseWithError(id_,
                          MakeError(ErrorKind::Unreachable, "the peer does not know the link"));
    return;
  }
  ++owner_.continuations_;
  Continue(aResumed.received);
}

void WebsocketLinks::Link::Continue(uint64_t aReceivedByPeer)
{
  TimePoint now = owner_.loop_.Now();
  gate_.OnContinued();
  lastReceived_ = now;
  if (!delivery_.OnAcknowledged(aReceivedByPeer, now)) {
    owner_.CloseWithError(
      id_, MakeError(ErrorKind::BrokenMessage, "the peer acknowledges frames that were not sent"));
    return;
  }
  delivery_.OnResent(now);
  Log(
    LogPart::Links,
    LogLevel::Info,
    "The link to {} continues over another connection: the peer has received {} frames; {} frames "
    "are sent again and {} queued messages follow.",
    peer_.has_value() ? ToText(*peer_) : "a peer",
    aReceivedByPeer,
    delivery_.Unacknowledged().size(),
    queued_.size());
  for (const LinkDelivery::SentFrame& frame : delivery_.Unacknowledged()) {
    connection_->Send(frame.bytes);
  }
  SendQueued();
  owner_.SendFragments();
}

LinkMessage WebsocketLinks::Link::SignedHello() const
{
  Hello hello = owner_.self_;
  hello.token = token_;
  hello.resumes = gate_.State() == LinkState::Interrupted;
  hello.received = delivery_.Received();
  hello.proof =
    ToHex(owner_.keys_.Sign(SignaturePurpose::LinkFromOpener, HelloSignatureInput(hello)));
  return hello;
}

std::string WebsocketLinks::Link::HelloSignatureInput(const Hello& aHello) const
{
  return fmt::format("{}\n{}\n{}\n{}\n{}\n{}",
                     connection_->Challenge(),
                     aHello.sender,
                     ToText(aHello.endpoint),
                     aHello.token,
                     aHello.resumes,
                     aHello.received);
}

bool WebsocketLinks::Link::Authenticate(const LinkEnvelope& aEnvelope)
{
  const auto* hello = std::get_if<Hello>(&aEnvelope.message);
  if (!isAuthenticated_ && hello != nullptr) {
    isAuthenticated_ = owner_.keys_.Verify(
      SignaturePurpose::LinkFromOpener, HelloSignatureInput(*hello), FromHex(hello->proof));
    if (isAuthenticated_) {
      connection_->AcceptLargeMessages();
    }
  }
  return isAuthenticated_;
}

void WebsocketLinks::Link::Receive(const LinkEnvelope& aEnvelope)
{
  if (!Authenticate(aEnvelope)) {
    owner_.CloseWithError(id_, absl::PermissionDeniedError("the opener does not have our key"));
    return;
  }
  const auto* hello = std::get_if<Hello>(&aEnvelope.message);
  if (hello != nullptr && (isOutgoing_ || wasOpen_)) {
    owner_.CloseWithError(
      id_, MakeError(ErrorKind::BrokenMessage, "a hello is only the first message of an opener"));
    return;
  }
  if (hello == nullptr) {
    CountReceived();
  } else if (hello->resumes) {
    owner_.Resume(*this, *hello);
    return;
  } else {
    token_ = hello->token;
    wasOpen_ = true;
    owner_.Register(token_, id_);
  }
  owner_.Receive(id_, aEnvelope);
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
  const Bytes* body = BodyOf(aMessage);
  bool isLarge = body != nullptr && body->data.size() > kFragmentBytes;
  std::string bytes;
  if (!isLarge || !owner_.fragmentsLargeMessages_) {
    bytes = Encode(LinkFrame(envelope));
    isLarge = bytes.size() > kFragmentBytes;
  }
  if (isLarge && owner_.fragmentsLargeMessages_) {
    fragmentSender_.Add(aMessage, EncodeSplit(envelope));
    owner_.SendFragments();
    return;
  }
  SendAck();
  connection_->Send(bytes);
  delivery_.OnSent(std::move(bytes), owner_.loop_.Now());
}

void WebsocketLinks::Link::SendNumbered(const LinkFrame& aFrame)
{
  std::string bytes = Encode(aFrame);
  connection_->Send(bytes);
  delivery_.OnSent(std::move(bytes), owner_.loop_.Now());
}

void WebsocketLinks::Link::SendAck()
{
  if (gate_.IsOpen() && delivery_.OwesAck()) {
    connection_->Send(Encode(LinkFrame(FrameAck{ delivery_.TakeAck() })));
  }
}

bool WebsocketLinks::Link::SendOneFragment()
{
  if (!gate_.IsOpen()) {
    return false;
  }
  size_t before = fragmentSender_.BytesInFlight();
  auto next = fragmentSender_.NextFragment(owner_.loop_.Now());
  owner_.CountInFlight(before, fragmentSender_.BytesInFlight());
  if (!next.has_value()) {
    return false;
  }
  SendNumbered(*std::move(next));
  return true;
}

void WebsocketLinks::Link::CountReceived()
{
  delivery_.OnReceived();
  owner_.ScheduleAck(id_);
}

void WebsocketLinks::Link::OnFrame(const std::string& aBytes)
{
  auto frame = Decode<LinkFrame>(aBytes);
  if (!frame.ok()) {
    owner_.CloseWithError(id_, frame.status());
    return;
  }
  bool isEnvelope = std::holds_alternative<LinkEnvelope>(*frame);
  if (!isAuthenticated_ && !isEnvelope) {
    owner_.CloseWithError(
      id_, absl::PermissionDeniedError("the opener sent another frame before its hello message"));
    return;
  }
  std::visit(Overloaded{
               [&](const LinkEnvelope& aEnvelope) { Receive(aEnvelope); },
               [&](const Fragment& aFragment) { OnFragment(aFragment); },
               [&](const FragmentCredit& aCredit) { OnCredit(aCredit); },
               [&](const LinkProbe&) { CountReceived(); },
               [&](const FrameAck& aAck) { OnAck(aAck); },
               [&](const LinkResumed& aResumed) { OnResumed(aResumed); },
             },
             *frame);
}

void WebsocketLinks::Link::OnAck(const FrameAck& aAck)
{
  if (!delivery_.OnAcknowledged(aAck.received, owner_.loop_.Now())) {
    owner_.CloseWithError(
      id_, MakeError(ErrorKind::BrokenMessage, "the peer acknowledges frames that were not sent"));
    return;
  }
  gate_.OnAcknowledged(aAck.received);
  if (gate_.MaySendMessages()) {
    SendQueued();
  }
}

void WebsocketLinks::Link::OnCredit(const FragmentCredit& aCredit)
{
  CountReceived();
  size_t before = fragmentSender_.BytesInFlight();
  fragmentSender_.OnCredit(aCredit.bytes, owner_.loop_.Now());
  owner_.CountInFlight(before, fragmentSender_.BytesInFlight());
  owner_.SendFragments();
}

void WebsocketLinks::Link::OnFragment(const Fragment& aFragment)
{
  CountReceived();
  owedCredits_.push_back(aFragment.bytes.data.size());
  if (owner_.MayCredit(id_)) {
    SendOwedCredits();
  }
  auto messageBytes = fragmentReceiver_.AddFragment(aFragment);
  if (!messageBytes.ok()) {
    owner_.CloseWithError(id_, messageBytes.status());
    return;
  }
  if (!messageBytes->has_value()) {
    return;
  }
  auto envelope = DecodeInPlace(std::move(**messageBytes));
  if (!envelope.ok()) {
    owner_.CloseWithError(id_, envelope.status());
    return;
  }
  owner_.Receive(id_, *envelope);
}

void WebsocketLinks::Link::SendOwedCredits()
{
  if (!gate_.IsOpen()) {
    return;
  }
  for (size_t bytes : std::exchange(owedCredits_, {})) {
    SendNumbered(FragmentCredit{ bytes });
  }
}

void WebsocketLinks::Link::OnBytesReceived()
{
  lastReceived_ = owner_.loop_.Now();
}

} // namespace dandelion
