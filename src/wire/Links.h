/// Links between nodes: typed messages over one connection for each peer and lane.
#ifndef DANDELION_WIRE_LINKS_H
#define DANDELION_WIRE_LINKS_H

#include "wire/Messages.h"

#include <cstdint>

namespace dandelion {

using LinkId = uint64_t;

/// Receives what comes over links. Each service takes the messages that concern it.
class LinkHandler
{
public:
  virtual ~LinkHandler() = default;
  virtual void OnLinkMessage(LinkId aLink, const LinkMessage& aMessage) = 0;
  /// The link is gone. The messages in `aUnsent` have not left this process; what became of the
  /// others is not known.
  virtual void OnLinkClosed(LinkId /* aLink */, const std::vector<LinkMessage>& /* aUnsent */) {}
};

class Links
{
public:
  virtual ~Links() = default;

  /// The link to a peer on a lane, opened where there is none. Messages wait until it is open.
  virtual LinkId Open(const Endpoint& aPeer, Lane aLane) = 0;

  /// Sends on a link; on one that is gone the message is dropped.
  virtual void Send(LinkId aLink, const LinkMessage& aMessage) = 0;

  /// While answers are awaited on a link it is checked by heartbeats; a silent one is closed.
  virtual void AwaitAnswer(LinkId aLink) = 0;
  virtual void AnswerReceived(LinkId aLink) = 0;

  /// Endpoint of the peer, where it is known.
  virtual std::optional<Endpoint> PeerOf(LinkId aLink) const = 0;

  virtual void AddHandler(LinkHandler& aHandler) = 0;

  /// The version that envelopes carry, and who is told of the versions that peers show.
  virtual void SetVersion(Version aVersion) = 0;
  virtual void OnVersionSeen(std::function<void(const Endpoint&, Version)> aCallback) = 0;

  /// Bytes that wait in this process for their links.
  virtual size_t QueuedBytes() const = 0;

  /// Bytes written to links, for each lane.
  virtual uint64_t BytesSent(Lane aLane) const = 0;
};

} // namespace dandelion

#endif
