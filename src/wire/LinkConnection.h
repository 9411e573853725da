/// One connection of a link: a socket and the websocket session on it.
#ifndef DANDELION_WIRE_LINK_CONNECTION_H
#define DANDELION_WIRE_LINK_CONNECTION_H

#include "wire/WebsocketSession.h"

#include "membership/Membership.h"

struct bufferevent;

namespace dandelion {

class LinkConnection
{
public:
  /// What a connection reports. A connection may be handed to another link.
  class User
  {
  public:
    virtual ~User() = default;
    virtual void OnConnected() = 0;
    virtual void OnBytesReceived() = 0;
    virtual void OnFrame(const std::string& aBytes) = 0;
    virtual void OnDisconnected() = 0;
    virtual void OnBytesSent(size_t aCount) = 0;
  };

  /// Uses a connection that a peer has opened.
  static std::unique_ptr<LinkConnection> Accept(Loop& aLoop,
                                                int aSocket,
                                                const SharedKeys& aKeys,
                                                User& aUser);
  static std::unique_ptr<LinkConnection> Connect(Loop& aLoop,
                                                 const Endpoint& aPeer,
                                                 const SharedKeys& aKeys,
                                                 User& aUser);
  ~LinkConnection();
  LinkConnection(const LinkConnection&) = delete;
  LinkConnection& operator=(const LinkConnection&) = delete;

  void SetUser(User& aUser) { user_ = &aUser; }
  void Send(const std::string& aFrame);
  /// Accepts messages beyond the size of a hello, from an authenticated opener.
  void AcceptLargeMessages() { session_->AcceptLargeMessages(); }
  std::string Challenge() const { return session_->Challenge(); }
  /// Bytes that the socket has not taken yet.
  size_t QueuedBytes() const;
  /// Stops all callbacks. A connection must not be deleted while a callback is running.
  void Detach();

private:
  LinkConnection(Loop& aLoop, int aSocket, const SharedKeys& aKeys, User& aUser);
  WebsocketSession::Callbacks MakeCallbacks();
  static void OnReadable(bufferevent* aSocket, void* aContext);
  static void OnSocketEvent(bufferevent* aSocket, short aEvents, void* aContext);

  const SharedKeys& keys_;
  /// Null after `Detach`.
  User* user_;
  bufferevent* socket_;
  std::unique_ptr<WebsocketSession> session_;
  Endpoint peer_;
};

} // namespace dandelion

#endif
