/// Links between nodes: typed messages over one connection per peer and lane.
#ifndef DANDELION_WIRE_LINKS_H
#define DANDELION_WIRE_LINKS_H

#include "wire/Messages.h"

#include <cstdint>

namespace dandelion {

using LinkId = uint64_t;

/// Receives the messages of all links. Each service handles the message types that it is
/// responsible for.
class LinkHandler
{
public:
  virtual ~LinkHandler() = default;
  virtual void OnLinkMessage(LinkId aLink, const LinkMessage& aMessage) = 0;
  /// Called when a link was closed. The messages in `aUnsent` were not completely sent by this
  /// process. It is unknown whether the other ones arrived.
  virtual void OnLinkClosed(LinkId /* aLink */, const std::vector<LinkMessage>& /* aUnsent */) {}
};

class Links
{
public:
  virtual ~Links() = default;

  /// Returns the link to a peer on a lane and opens it where there is none. Messages are queued
  /// until the link is open.
  virtual LinkId Open(const Endpoint& aPeer, Lane aLane) = 0;

  /// Sends a message on a link. The message is dropped if the link is closed.
  virtual void Send(LinkId aLink, const LinkMessage& aMessage) = 0;

  /// Count the answers that are awaited on a link. While there are any, a silent link is pinged,
  /// and closed if the ping is not answered.
  virtual void AwaitAnswer(LinkId aLink) = 0;
  virtual void AnswerReceived(LinkId aLink) = 0;

  /// Endpoint of the peer. The endpoint of an accepted link is known after the peer's hello.
  virtual std::optional<Endpoint> PeerOf(LinkId aLink) const = 0;

  virtual void AddHandler(LinkHandler& aHandler) = 0;

  /// Sets the configuration version that is sent with each message.
  virtual void SetVersion(Version aVersion) = 0;
  /// Sets the callback for the configuration versions that peers send with their messages.
  virtual void OnVersionSeen(std::function<void(const Endpoint&, Version)> aCallback) = 0;

  /// Bytes queued on all links, including fragment bytes that peers have not acknowledged.
  virtual size_t QueuedBytes() const = 0;

  /// Replacements of connections by which this node has continued a link.
  virtual uint64_t Continuations() const = 0;

  /// Bytes written to the links of a lane.
  virtual uint64_t BytesSent(Lane aLane) const = 0;
};

} // namespace dandelion

#endif
