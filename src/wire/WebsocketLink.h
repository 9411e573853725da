/// One websocket link: its connection, and the messages queued until the connection is verified.
#ifndef DANDELION_WIRE_WEBSOCKET_LINK_H
#define DANDELION_WIRE_WEBSOCKET_LINK_H

#include "wire/Fragments.h"
#include "wire/WebsocketLinks.h"
#include "wire/WebsocketSession.h"

struct bufferevent;

namespace dandelion {

class WebsocketLinks::Link
{
public:
  Link(WebsocketLinks& aOwner, LinkId aId, Lane aLane);
  ~Link();
  /// Uses a connection that a peer has opened.
  void AcceptConnection(int aSocket);
  /// Marks the link as one that this node opens. `Connect` starts the connection.
  void SetOutgoing(const Endpoint& aPeer);
  void Connect();
  /// Sends a message, or queues it until the link is open and verified.
  void Send(const LinkMessage& aMessage);

  /// Sends a ping where one is due. Returns whether the link must be closed now.
  bool CheckTimeouts(TimePoint aNow);
  void AdjustAwaitedAnswers(int aChange)
  {
    awaitedAnswers_ = std::max(0, awaitedAnswers_ + aChange);
  }
  /// Sends the next fragment where one is queued and the window allows it. Returns whether it did.
  bool SendOneFragment();
  size_t BytesInFlight() const { return fragmentSender_.BytesInFlight(); }
  /// Bytes that are queued here or that the peer has not acknowledged.
  size_t QueuedBytes() const;
  /// Removes and returns the messages that were not completely sent.
  std::vector<LinkMessage> TakeUnsent();
  void SetPeer(const Endpoint& aPeer) { peer_ = aPeer; }
  const std::optional<Endpoint>& Peer() const { return peer_; }
  Lane LaneOf() const { return lane_; }
  bool IsOpen() const { return isOpen_; }
  /// Whether a connection was started.
  bool IsConnecting() const { return socket_ != nullptr; }
  bool IsOutgoing() const { return isOutgoing_; }
  /// Stops all socket callbacks. The link must not be deleted while a callback is running.
  void Detach();

private:
  void MakeSocket(int aSocket);
  WebsocketSession::Callbacks MakeCallbacks();
  void OnOpen();
  LinkMessage SignedHello() const;

  /// The text that the opener of a link signs: the link's challenge, and its name and endpoint.
  std::string HelloSignatureInput(const Hello& aHello) const;

  /// Verifies the proof in a hello message. Returns whether the peer is authenticated. No other
  /// message of an opener is accepted before its hello.
  bool Authenticate(const LinkEnvelope& aEnvelope);
  void Receive(const LinkEnvelope& aEnvelope);
  void SendQueued();
  void SendNow(const LinkMessage& aMessage);
  void OnFrame(const std::string& aBytes);
  void OnFragment(const Fragment& aFragment);
  void Ping(TimePoint aNow);
  static void OnReadable(bufferevent* aSocket, void* aContext);
  static void OnSocketEvent(bufferevent* aSocket, short aEvents, void* aContext);

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
  bool isAuthenticated_ = false;
  int awaitedAnswers_ = 0;
  std::vector<LinkMessage> queued_;
  FragmentSender fragmentSender_;
  FragmentReceiver fragmentReceiver_;
};

} // namespace dandelion

#endif
