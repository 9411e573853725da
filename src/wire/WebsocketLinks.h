/// Links over websockets on libevent sockets.
#ifndef DANDELION_WIRE_WEBSOCKET_LINKS_H
#define DANDELION_WIRE_WEBSOCKET_LINKS_H

#include "wire/Links.h"
#include "wire/ReconnectBackoff.h"
#include "wire/SharedKeys.h"

#include <array>
#include <map>
#include <memory>
#include <random>
#include <set>

struct evconnlistener;

namespace dandelion {

class LinkConnection;
class MemoryGuard;

class WebsocketLinks
  : public Service
  , public Links
{
public:
  /// `aSelf` holds the name of this node and the endpoint at which its peers reach it. Without
  /// `aFragmentsLargeMessages` a large message is sent whole and delays all later ones; this is for
  /// comparison.
  ///
  /// `aMaxInFlightBytes` limits the fragment bytes in flight on all links together, so that they do
  /// not fill the queue of the instance's network interface and delay small messages there.
  WebsocketLinks(Loop& aLoop,
                 Endpoint aListen,
                 Hello aSelf,
                 SharedKeys aKeys,
                 uint64_t aSeed,
                 bool aFragmentsLargeMessages = true,
                 size_t aMaxInFlightBytes = SIZE_MAX,
                 MemoryGuard* aMemory = nullptr);
  ~WebsocketLinks() override;

  absl::Status Start() override;
  void Stop() override;

  LinkId Open(const Endpoint& aPeer, Lane aLane) override;
  void Send(LinkId aLink, const LinkMessage& aMessage) override;
  void AwaitAnswer(LinkId aLink) override;
  void AnswerReceived(LinkId aLink) override;
  std::optional<Endpoint> PeerOf(LinkId aLink) const override;
  void AddHandler(LinkHandler& aHandler) override { handlers_.push_back(&aHandler); }
  void SetVersion(Version aVersion) override { version_ = aVersion; }
  void OnVersionSeen(std::function<void(const Endpoint&, Version)> aCallback) override
  {
    onVersionSeen_ = std::move(aCallback);
  }
  int HandshakesInProgress() const { return handshakes_; }
  size_t QueuedBytes() const override;
  uint64_t Continuations() const override { return continuations_; }
  uint64_t BytesSent(Lane aLane) const override { return bytesSent_[static_cast<size_t>(aLane)]; }

private:
  class Link;
  using LinkKey = std::pair<Endpoint, Lane>;

  void Accept(int aSocket);
  void Receive(LinkId aId, const LinkEnvelope& aEnvelope);
  void CloseWithError(LinkId aId, const absl::Status& aReason);
  void Close(LinkId aId);
  /// Closes a new link from the loop, so that the close is reported after `Open` has returned the
  /// ID.
  void CloseFromLoop(LinkId aId);
  /// Continues an interrupted link over the connection on which its opener has sent `aHello`.
  void Resume(Link& aReplacement, const Hello& aHello);
  void Register(uint64_t aToken, LinkId aLink) { linksByToken_[aToken] = aLink; }
  /// Acknowledges what a link has received after `kAckDelay`, together with other links.
  void ScheduleAck(LinkId aLink);
  void SendAcks();
  void OnOpened(const Link& aLink);
  void OnOpenFailed(const Link& aLink);
  void AdjustHandshakes(int aChange);
  void CheckLinks();
  Link* Find(LinkId aId) const;
  bool MaySendFragment() const { return inFlightBytes_ < maxInFlightBytes_; }
  void CountInFlight(size_t aBefore, size_t aAfter) { inFlightBytes_ += aAfter - aBefore; }
  /// Sends fragments of all links in round-robin order as far as `maxInFlightBytes_` allows.
  void SendFragments();
  /// Whether a link may acknowledge fragments now. While memory is tight, only one link may, so
  /// that its messages become complete; the peers of the others stop sending.
  bool MayCredit(LinkId aLink) const;
  /// Charges what the links hold, and lets links acknowledge what they have held back.
  void UpdateMemory(TimePoint aNow);

  Loop& loop_;
  MemoryGuard* memory_;
  uint64_t memoryHolder_ = 0;
  /// The link that may acknowledge fragments while memory is tight, and since when.
  LinkId favoredLink_ = 0;
  TimePoint favoredSince_;
  Endpoint listen_;
  Hello self_;
  SharedKeys keys_;
  bool fragmentsLargeMessages_;
  size_t maxInFlightBytes_;
  size_t inFlightBytes_ = 0;
  /// The link with which `SendFragments` starts the next time.
  LinkId nextToServe_ = 0;
  evconnlistener* listener_ = nullptr;
  LinkId nextId_ = 1;
  std::map<LinkId, std::unique_ptr<Link>> links_;
  std::map<LinkKey, LinkId> linksByKey_;
  /// Accepted links, by the token of their opener.
  std::map<uint64_t, LinkId> linksByToken_;
  /// Closed links and replaced connections, which are kept until libevent has returned from their
  /// callbacks.
  std::vector<std::unique_ptr<Link>> closed_;
  std::vector<std::unique_ptr<LinkConnection>> retiredConnections_;
  std::mt19937_64 random_;
  std::vector<LinkId> owesAcks_;
  Timer ackTimer_;
  ReconnectBackoff backoff_;
  /// Links that are closed in the next iteration of the loop.
  std::vector<LinkId> deferredCloses_;
  Timer closeTimer_;
  /// Accepted connections whose handshake is not complete.
  int handshakes_ = 0;
  std::vector<LinkHandler*> handlers_;
  std::function<void(const Endpoint&, Version)> onVersionSeen_;
  Version version_ = 0;
  std::array<uint64_t, 3> bytesSent_ = {};
  uint64_t continuations_ = 0;
  Timer checkTimer_;
};

} // namespace dandelion

#endif
