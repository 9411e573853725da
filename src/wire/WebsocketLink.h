/// One websocket link: its connection, and the messages that wait until it is known to work.
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
  /// Takes a connection that a peer has opened.
  void AcceptConnection(int aSocket);
  /// Makes it a link that this node opens; `Connect` begins the connection.
  void SetOutgoing(const Endpoint& aPeer);
  void Connect();
  /// Sends, or keeps the message until the link is open and known to work.
  void Send(const LinkMessage& aMessage);

  /// Whether the link must be closed now.
  bool CheckTimeouts(TimePoint aNow);
  void AdjustAwaitedAnswers(int aChange)
  {
    awaitedAnswers_ = std::max(0, awaitedAnswers_ + aChange);
  }
  /// Sends the next fragment where there is one and the window allows it.
  bool SendOneFragment();
  size_t BytesInFlight() const { return fragmentSender_.BytesInFlight(); }
  /// Bytes that wait here or have not been taken by the peer.
  size_t QueuedBytes() const;
  /// Messages that have not left this process whole.
  std::vector<LinkMessage> TakeUnsent();
  void SetPeer(const Endpoint& aPeer) { peer_ = aPeer; }
  const std::optional<Endpoint>& Peer() const { return peer_; }
  Lane LaneOf() const { return lane_; }
  bool IsOpen() const { return isOpen_; }
  /// Whether a connection was begun.
  bool IsConnecting() const { return socket_ != nullptr; }
  bool IsOutgoing() const { return isOutgoing_; }
  /// Takes the link off the loop; its memory must outlive callbacks that still run.
  void Detach();

private:
  void MakeSocket(int aSocket);
  WebsocketSession::Callbacks MakeCallbacks();
  void OnOpen();
  LinkMessage SignedHello() const;

  /// What the opener of a link signs: this link's challenge, and who it says it is.
  std::string HelloSignatureInput(const Hello& aHello) const;

  /// The opener must greet with its proof before anything else of it is believed.
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
