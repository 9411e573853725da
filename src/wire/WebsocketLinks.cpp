#include "wire/WebsocketLinks.h"

#include "wire/MemoryGuard.h"
#include "wire/SocketAddress.h"
#include "wire/WebsocketLink.h"

#include <event2/listener.h>
#include <sys/socket.h>

namespace dandelion {

namespace {

constexpr Duration kCheckPeriod = milliseconds(50);
constexpr int kBacklog = 1024;
/// Maximum number of handshakes in progress. Further connections wait in the listen queue, so that
/// many peers that reconnect at the same time do not delay the calls in progress.
constexpr int kMaxHandshakes = 64;
/// While memory is tight, a link whose peer sends nothing gives way to another one after this time.
constexpr Duration kFavoredTime = seconds(1);

} // namespace

WebsocketLinks::WebsocketLinks(Loop& aLoop,
                               Endpoint aListen,
                               Hello aSelf,
                               SharedKeys aKeys,
                               uint64_t aSeed,
                               bool aFragmentsLargeMessages,
                               size_t aMaxInFlightBytes,
                               MemoryGuard* aMemory)
  : loop_(aLoop)
  , memory_(aMemory)
  , listen_(std::move(aListen))
  , self_(std::move(aSelf))
  , keys_(std::move(aKeys))
  , fragmentsLargeMessages_(aFragmentsLargeMessages)
  , maxInFlightBytes_(aMaxInFlightBytes)
  , random_(aSeed)
  , backoff_(aSeed)
{
  if (memory_ != nullptr) {
    memoryHolder_ = memory_->Open();
  }
}

WebsocketLinks::~WebsocketLinks()
{
  Stop();
  links_.clear();
  closed_.clear();
  retiredConnections_.clear();
  if (memory_ != nullptr) {
    memory_->Close(memoryHolder_);
  }
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
      fmt::format("cannot accept links on {}; free the port or set another one", ToText(listen_)));
  }
  CheckLinks();
  return absl::OkStatus();
}

void WebsocketLinks::Stop()
{
  if (listener_ != nullptr) {
    evconnlistener_free(std::exchange(listener_, nullptr));
  }
  checkTimer_.Cancel();
  closeTimer_.Cancel();
  ackTimer_.Cancel();
}

LinkId WebsocketLinks::Open(const Endpoint& aPeer, Lane aLane)
{
  LinkKey key(aPeer, aLane);
  auto found = linksByKey_.find(key);
  if (found != linksByKey_.end()) {
    return found->second;
  }
  LinkId id = nextId_++;
  linksByKey_[key] = id;
  auto link = std::make_unique<Link>(*this, id, aLane);
  Link& opened = *link;
  links_[id] = std::move(link);
  opened.SetOutgoing(aPeer);
  if (backoff_.MayConnect(aPeer, loop_.Now())) {
    opened.Connect();
  } else {
    CloseFromLoop(id);
  }
  return id;
}

void WebsocketLinks::CloseFromLoop(LinkId aId)
{
  deferredCloses_.push_back(aId);
  if (!closeTimer_.IsPending()) {
    closeTimer_ = loop_.After(Duration::zero(), [this] {
      closeTimer_.Cancel();
      for (LinkId id : std::exchange(deferredCloses_, {})) {
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
    link->AdjustAwaitedAnswers(1);
  }
}

void WebsocketLinks::AnswerReceived(LinkId aLink)
{
  Link* link = Find(aLink);
  if (link != nullptr) {
    link->AdjustAwaitedAnswers(-1);
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
  AdjustHandshakes(1);
  accepted.AcceptConnection(aSocket);
}

void WebsocketLinks::Resume(Link& aReplacement, const Hello& aHello)
{
  auto found = linksByToken_.find(aHello.token);
  Link* interrupted = found == linksByToken_.end() ? nullptr : Find(found->second);
  bool isKnown = interrupted != nullptr && interrupted->Peer() == aHello.endpoint;
  if (!isKnown) {
    aReplacement.RefuseResume();
    return;
  }
  interrupted->ContinueOver(aReplacement, aHello);
  // The rest of the replacement has carried no message.
  auto replacement = links_.find(aReplacement.Id());
  closed_.push_back(std::move(replacement->second));
  links_.erase(replacement);
}

void WebsocketLinks::ScheduleAck(LinkId aLink)
{
  owesAcks_.push_back(aLink);
  if (!ackTimer_.IsPending()) {
    ackTimer_ = loop_.After(kAckDelay, [this] {
      ackTimer_.Cancel();
      SendAcks();
    });
  }
}

void WebsocketLinks::SendAcks()
{
  for (LinkId id : std::exchange(owesAcks_, {})) {
    Link* link = Find(id);
    if (link != nullptr) {
      link->SendAck();
    }
  }
}

void WebsocketLinks::OnOpened(const Link& aLink)
{
  if (aLink.IsOutgoing()) {
    backoff_.OnConnected(*aLink.Peer());
  } else {
    AdjustHandshakes(-1);
  }
}

void WebsocketLinks::OnOpenFailed(const Link& aLink)
{
  if (!aLink.IsOutgoing()) {
    // An interrupted link had completed its handshake.
    AdjustHandshakes(aLink.WasOpen() ? 0 : -1);
  } else if (aLink.IsConnecting()) {
    backoff_.OnConnectFailed(*aLink.Peer(), loop_.Now());
  }
}

void WebsocketLinks::AdjustHandshakes(int aChange)
{
  handshakes_ += aChange;
  if (listener_ == nullptr) {
    return;
  }
  if (handshakes_ >= kMaxHandshakes) {
    evconnlistener_disable(listener_);
  } else {
    evconnlistener_enable(listener_);
  }
}

void WebsocketLinks::CloseWithError(LinkId aId, const absl::Status& aReason)
{
  Log(LogPart::Links, LogLevel::Warning, "A link is closed: {}.", MessageOf(aReason));
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
    OnOpenFailed(*link);
  }
  if (link->IsOutgoing()) {
    linksByKey_.erase(LinkKey(*link->Peer(), link->LaneOf()));
  }
  auto registered = linksByToken_.find(link->Token());
  if (!link->IsOutgoing() && registered != linksByToken_.end() && registered->second == aId) {
    linksByToken_.erase(registered);
  }
  CountInFlight(link->BytesInFlight(), 0);
  std::vector<LinkMessage> unsent = link->TakeUnsent();
  link->Detach();
  closed_.push_back(std::move(link));
  for (LinkHandler* handler : handlers_) {
    handler->OnLinkClosed(aId, unsent);
  }
}

void WebsocketLinks::CheckLinks()
{
  closed_.clear();
  retiredConnections_.clear();
  TimePoint now = loop_.Now();
  backoff_.RemoveExpired(now);
  std::vector<LinkId> expired;
  for (auto& [id, link] : links_) {
    if (link->CheckTimeouts(now)) {
      expired.push_back(id);
    }
  }
  for (LinkId id : expired) {
    Close(id);
  }
  UpdateMemory(now);
  checkTimer_ = loop_.After(kCheckPeriod, [this] { CheckLinks(); });
}

void WebsocketLinks::SendFragments()
{
  // Links send one fragment each in round-robin order, so that no link waits for the large messages
  // of another one.
  bool hasSent = true;
  while (hasSent && MaySendFragment()) {
    hasSent = false;
    auto start = links_.lower_bound(nextToServe_);
    for (size_t i = 0; i < links_.size() && MaySendFragment(); ++i) {
      if (start == links_.end()) {
        start = links_.begin();
      }
      hasSent = start->second->SendOneFragment() || hasSent;
      ++start;
      nextToServe_ = start == links_.end() ? 0 : start->first;
    }
  }
}

bool WebsocketLinks::MayCredit(LinkId aLink) const
{
  return memory_ == nullptr || memory_->Level() == MemoryLevel::Free || aLink == favoredLink_;
}

void WebsocketLinks::UpdateMemory(TimePoint aNow)
{
  if (memory_ == nullptr) {
    return;
  }
  size_t bytes = 0;
  for (const auto& [id, link] : links_) {
    bytes += link->HeldBytes();
  }
  memory_->Update(memoryHolder_, bytes, false);
  Link* favored = Find(favoredLink_);
  bool isDone = favored == nullptr || !favored->IsReceivingFragments();
  if (isDone || aNow - favoredSince_ > kFavoredTime) {
    // The next one in the order of the links that receives fragments.
    auto next = links_.upper_bound(favoredLink_);
    for (size_t i = 0; i < links_.size(); ++i) {
      next = next == links_.end() ? links_.begin() : next;
      if (next->second->IsReceivingFragments()) {
        favoredLink_ = next->first;
        favoredSince_ = aNow;
        break;
      }
      ++next;
    }
  }
  for (auto& [id, link] : links_) {
    if (MayCredit(id)) {
      link->SendOwedCredits();
    }
  }
}

size_t WebsocketLinks::QueuedBytes() const
{
  size_t bytes = 0;
  for (const auto& [id, link] : links_) {
    bytes += link->QueuedBytes();
  }
  return bytes;
}

WebsocketLinks::Link* WebsocketLinks::Find(LinkId aId) const
{
  auto found = links_.find(aId);
  return found == links_.end() ? nullptr : found->second.get();
}

} // namespace dandelion
