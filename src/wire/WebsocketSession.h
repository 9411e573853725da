/// One websocket connection without its socket: converts between bytes and messages.
#ifndef DANDELION_WIRE_WEBSOCKET_SESSION_H
#define DANDELION_WIRE_WEBSOCKET_SESSION_H

#include "wire/SharedKeys.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace dandelion {

class WebsocketSession
{
public:
  struct Callbacks
  {
    std::function<void(std::string_view)> onWrite;
    std::function<void()> onOpen;
    std::function<void(const std::string&)> onMessage;
    /// The handshake failed, or the peer closed the connection.
    std::function<void()> onClosed;
  };

  /// Makes a session that waits for the peer's handshake, or one that starts the handshake. With
  /// keys, the listener authenticates itself in the handshake. The opener does so by its hello
  /// message.
  static std::unique_ptr<WebsocketSession> Accept(const SharedKeys& aKeys, Callbacks aCallbacks);
  static std::unique_ptr<WebsocketSession> Connect(const std::string& aHost,
                                                   const SharedKeys& aKeys,
                                                   Callbacks aCallbacks);

  virtual ~WebsocketSession() = default;

  /// Sends the opener's handshake request, or waits for it as a listener. Called once, before
  /// `Feed`.
  virtual void StartHandshake() = 0;
  /// Processes bytes received from the socket.
  virtual void Feed(const char* aBytes, size_t aCount) = 0;
  /// Sends one binary message.
  virtual void Send(const std::string& aMessage) = 0;
  /// Accepts messages of any size that a link sends. Before this, a listener accepts only small
  /// ones, since the opener is not authenticated.
  virtual void AcceptLargeMessages() = 0;
  /// The nonces of both sides in one string, the listener's first. Each side signs it.
  virtual std::string Challenge() const = 0;
};

} // namespace dandelion

#endif
