/// One websocket link between two nodes. It outlives its connection: the opener replaces a
/// connection that is lost or silent, and both sides continue where they were.
#ifndef DANDELION_WIRE_WEBSOCKET_LINK_H
#define DANDELION_WIRE_WEBSOCKET_LINK_H

#include "wire/Fragments.h"
#include "wire/LinkConnection.h"
#include "wire/LinkDelivery.h"
#include "wire/LinkGate.h"
#include "wire/WebsocketLinks.h"

namespace dandelion {

class WebsocketLinks::Link : public LinkConnection::User
{
public:
  Link(WebsocketLinks& aOwner, LinkId aId, Lane aLane);
  /// Uses a connection that a peer has opened.
  void AcceptConnection(int aSocket);
  /// Marks the link as one that this node opens. `Connect` starts the connection.
  void SetOutgoing(const Endpoint& aPeer);
  void Connect();
  /// Continues this accepted link over the connection of `aReplacement`, whose hello names it.
  void ContinueOver(Link& aReplacement, const Hello& aHello);
  /// Sends a message, or queues it until the link is open and verified.
  void Send(const LinkMessage& aMessage);

  /// Sends a probe or replaces the connection where that is due. Returns whether the link must be
  /// closed now.
  bool CheckTimeouts(TimePoint aNow);
  /// Acknowledges the frames received so far, if there are any unacknowledged ones.
  void SendAck();
  void AdjustAwaitedAnswers(int aChange)
  {
    awaitedAnswers_ = std::max(0, awaitedAnswers_ + aChange);
  }
  /// Sends the next fragment where one is queued and the window allows it. Returns whether it did.
  bool SendOneFragment();
  size_t BytesInFlight() const { return fragmentSender_.BytesInFlight(); }
  /// Bytes that are queued here or that the peer has not acknowledged.
  size_t QueuedBytes() const;
  /// Bytes that are held here for others: partial messages, and queued ones except for calls, whose
  /// bodies are charged to their callers' connections.
  size_t HeldBytes() const;
  bool IsReceivingFragments() const
  {
    return fragmentReceiver_.PartialBytes() > 0 || !owedCredits_.empty();
  }
  void SendOwedCredits();
  /// Removes and returns the messages that were not completely sent.
  std::vector<LinkMessage> TakeUnsent();
  void SetPeer(const Endpoint& aPeer) { peer_ = aPeer; }
  const std::optional<Endpoint>& Peer() const { return peer_; }
  Lane LaneOf() const { return lane_; }
  bool IsOpen() const { return gate_.IsOpen(); }
  bool WasOpen() const { return wasOpen_; }
  /// Whether a connection was started.
  bool IsConnecting() const { return connection_ != nullptr; }
  bool IsOutgoing() const { return isOutgoing_; }
  LinkId Id() const { return id_; }
  /// Tells the opener of this connection that the link that it wants to continue is not known.
  void RefuseResume() { connection_->Send(Encode(LinkFrame(LinkResumed{}))); }
  /// Identifies an accepted link towards its opener; 0 before its hello.
  uint64_t Token() const { return token_; }
  /// Stops all callbacks. The link must not be deleted while a callback is running.
  void Detach();

  void OnConnected() override;
  void OnBytesReceived() override;
  void OnFrame(const std::string& aBytes) override;
  void OnDisconnected() override;
  void OnBytesSent(size_t aCount) override
  {
    owner_.bytesSent_[static_cast<size_t>(lane_)] += aCount;
  }

private:
  LinkMessage SignedHello() const;

  /// The text that the opener of a link signs: the connection's challenge, and the fields of its
  /// hello.
  std::string HelloSignatureInput(const Hello& aHello) const;
  /// Gives up the connection and opens another one to continue on.
  void Reconnect(TimePoint aNow);
  void DropConnection();
  /// Sends the frames again that the peer has not received, and what was queued meanwhile.
  void Continue(uint64_t aReceivedByPeer);
  void OnResumed(const LinkResumed& aResumed);
  void OnAck(const FrameAck& aAck);
  /// Whether anything would be lost if the link were closed now.
  bool HasWork() const;
  /// Sends a frame that must arrive, also over a later connection. The gate must be open.
  void SendNumbered(const LinkFrame& aFrame);

  /// Verifies the proof in a hello message. Returns whether the peer is authenticated. No other
  /// message of an opener is accepted before its hello.
  bool Authenticate(const LinkEnvelope& aEnvelope);
  void Receive(const LinkEnvelope& aEnvelope);
  void SendQueued();
  void SendNow(const LinkMessage& aMessage);
  void OnFragment(const Fragment& aFragment);
  void OnCredit(const FragmentCredit& aCredit);
  void CountReceived();

  WebsocketLinks& owner_;
  LinkId id_;
  Lane lane_;
  TimePoint createdAt_;
  TimePoint lastReceived_;
  TimePoint lastUsed_;
  std::unique_ptr<LinkConnection> connection_;
  LinkGate gate_;
  LinkDelivery delivery_;
  uint64_t token_ = 0;
  std::optional<Endpoint> peer_;
  bool isOutgoing_ = false;
  /// Whether the link was open before; then it may be continued.
  bool wasOpen_ = false;
  bool isAuthenticated_ = false;
  int awaitedAnswers_ = 0;
  std::vector<LinkMessage> queued_;
  FragmentSender fragmentSender_;
  FragmentReceiver fragmentReceiver_;
  /// Sizes of received fragments that are not acknowledged while memory is tight.
  std::vector<size_t> owedCredits_;
};

} // namespace dandelion

#endif
