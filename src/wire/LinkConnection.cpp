#include "wire/LinkConnection.h"

#include "wire/SocketAddress.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>

namespace dandelion {

LinkConnection::LinkConnection(Loop& aLoop, int aSocket, const SharedKeys& aKeys, User& aUser)
  : keys_(aKeys)
  , user_(&aUser)
  , socket_(bufferevent_socket_new(aLoop.Base(),
                                   aSocket,
                                   BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS))
{
  bufferevent_setcb(
    socket_, &LinkConnection::OnReadable, nullptr, &LinkConnection::OnSocketEvent, this);
  bufferevent_enable(socket_, EV_READ | EV_WRITE);
}

std::unique_ptr<LinkConnection> LinkConnection::Accept(Loop& aLoop,
                                                       int aSocket,
                                                       const SharedKeys& aKeys,
                                                       User& aUser)
{
  DisableNagle(aSocket);
  std::unique_ptr<LinkConnection> connection(new LinkConnection(aLoop, aSocket, aKeys, aUser));
  connection->session_ = WebsocketSession::Accept(aKeys, connection->MakeCallbacks());
  connection->session_->StartHandshake();
  return connection;
}

std::unique_ptr<LinkConnection> LinkConnection::Connect(Loop& aLoop,
                                                        const Endpoint& aPeer,
                                                        const SharedKeys& aKeys,
                                                        User& aUser)
{
  std::unique_ptr<LinkConnection> connection(new LinkConnection(aLoop, -1, aKeys, aUser));
  connection->peer_ = aPeer;
  sockaddr_in address = ToSocketAddress(aPeer);
  bufferevent_socket_connect(
    connection->socket_, reinterpret_cast<sockaddr*>(&address), sizeof(address));
  return connection;
}

LinkConnection::~LinkConnection()
{
  session_.reset();
  bufferevent_free(socket_);
}

void LinkConnection::Send(const std::string& aFrame)
{
  session_->Send(aFrame);
}

size_t LinkConnection::QueuedBytes() const
{
  return evbuffer_get_length(bufferevent_get_output(socket_));
}

void LinkConnection::Detach()
{
  user_ = nullptr;
  bufferevent_disable(socket_, EV_READ | EV_WRITE);
  bufferevent_setcb(socket_, nullptr, nullptr, nullptr, nullptr);
}

WebsocketSession::Callbacks LinkConnection::MakeCallbacks()
{
  WebsocketSession::Callbacks callbacks;
  callbacks.onWrite = [this](std::string_view aBytes) {
    if (user_ != nullptr) {
      user_->OnBytesSent(aBytes.size());
      bufferevent_write(socket_, aBytes.data(), aBytes.size());
    }
  };
  callbacks.onOpen = [this] {
    if (user_ != nullptr) {
      user_->OnConnected();
    }
  };
  callbacks.onMessage = [this](const std::string& aBytes) {
    // Frames that follow in the same bytes are dropped once the link has given up the connection.
    if (user_ != nullptr) {
      user_->OnFrame(aBytes);
    }
  };
  callbacks.onClosed = [this] {
    if (user_ != nullptr) {
      user_->OnDisconnected();
    }
  };
  return callbacks;
}

void LinkConnection::OnReadable(bufferevent* aSocket, void* aContext)
{
  auto* self = static_cast<LinkConnection*>(aContext);
  evbuffer* input = bufferevent_get_input(aSocket);
  std::string bytes(evbuffer_get_length(input), '\0');
  evbuffer_remove(input, bytes.data(), bytes.size());
  self->session_->Feed(bytes.data(), bytes.size());
  if (self->user_ != nullptr) {
    self->user_->OnBytesReceived();
  }
}

void LinkConnection::OnSocketEvent(bufferevent* aSocket, short aEvents, void* aContext)
{
  auto* self = static_cast<LinkConnection*>(aContext);
  if ((aEvents & BEV_EVENT_CONNECTED) != 0) {
    DisableNagle(bufferevent_getfd(aSocket));
    self->session_ =
      WebsocketSession::Connect(ToText(self->peer_), self->keys_, self->MakeCallbacks());
    self->session_->StartHandshake();
    return;
  }
  if (self->user_ != nullptr) {
    self->user_->OnDisconnected();
  }
}

} // namespace dandelion
