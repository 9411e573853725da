/// Links over websockets on libevent's sockets.
#ifndef DANDELION_WIRE_WEBSOCKET_LINKS_H
#define DANDELION_WIRE_WEBSOCKET_LINKS_H

#include "wire/Links.h"
#include "wire/ReconnectBackoff.h"
#include "wire/SharedKeys.h"

#include <array>
#include <map>
#include <memory>
#include <set>

struct evconnlistener;

namespace dandelion {

class WebsocketLinks
  : public Service
  , public Links
{
public:
  /// `aSelf` names this node and where its peers reach it. Without `aFragmentsLargeMessages` a
  /// large message stands before all later ones, the plain way, for comparison.
  ///
  /// `aMaxInFlightBytes` bounds the fragment bytes of all links together that are on their way, so
  /// that they never fill the queue of the machine's own link, where small messages would wait too.
  WebsocketLinks(Loop& aLoop,
                 Endpoint aListen,
                 Hello aSelf,
                 SharedKeys aKeys,
                 uint64_t aSeed,
                 bool aFragmentsLargeMessages = true,
                 size_t aMaxInFlightBytes = SIZE_MAX);
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
  uint64_t BytesSent(Lane aLane) const override { return bytesSent_[static_cast<size_t>(aLane)]; }

private:
  class Link;
  using LinkKey = std::pair<Endpoint, Lane>;

  void Accept(int aSocket);
  void Receive(LinkId aId, const LinkEnvelope& aEnvelope);
  void CloseWithError(LinkId aId, const absl::Status& aReason);
  void Close(LinkId aId);
  /// Closes a new link from the loop, so that whoever opened it is told after it knows the id.
  void CloseFromLoop(LinkId aId);
  void OnOpened(const Link& aLink);
  void OnOpenFailed(const Link& aLink);
  void AdjustHandshakes(int aChange);
  void CheckLinks();
  Link* Find(LinkId aId) const;
  bool MaySendFragment() const { return inFlightBytes_ < maxInFlightBytes_; }
  void CountInFlight(size_t aBefore, size_t aAfter) { inFlightBytes_ += aAfter - aBefore; }
  /// Lets the links go on in turn where the bound allows it again.
  void SendFragments();

  Loop& loop_;
  Endpoint listen_;
  Hello self_;
  SharedKeys keys_;
  bool fragmentsLargeMessages_;
  size_t maxInFlightBytes_;
  size_t inFlightBytes_ = 0;
  /// The link that is served first the next time.
  LinkId nextToServe_ = 0;
  evconnlistener* listener_ = nullptr;
  LinkId nextId_ = 1;
  std::map<LinkId, std::unique_ptr<Link>> links_;
  std::map<LinkKey, LinkId> linksByKey_;
  /// Closed links, kept until their sockets' callbacks have returned.
  std::vector<std::unique_ptr<Link>> closed_;
  ReconnectBackoff backoff_;
  /// Links that are closed at the next turn of the loop.
  std::vector<LinkId> deferredCloses_;
  Timer closeTimer_;
  /// Peers that have connected and not finished their handshake.
  int handshakes_ = 0;
  std::vector<LinkHandler*> handlers_;
  std::function<void(const Endpoint&, Version)> onVersionSeen_;
  Version version_ = 0;
  std::array<uint64_t, 3> bytesSent_ = {};
  Timer checkTimer_;
};

} // namespace dandelion

#endif
