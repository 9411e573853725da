/// One websocket connection without its socket: bytes in, bytes out, whole messages.
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
    /// The handshake failed, or the peer closed.
    std::function<void()> onClosed;
  };

  /// A session that waits for the peer's handshake, or one that begins its own.
  /// With keys, each side proves in the handshake that it has one.
  static std::unique_ptr<WebsocketSession> Accept(const SharedKeys& aKeys, Callbacks aCallbacks);
  static std::unique_ptr<WebsocketSession> Connect(const std::string& aHost,
                                                   const SharedKeys& aKeys,
                                                   Callbacks aCallbacks);

  virtual ~WebsocketSession() = default;

  /// Sends what a session says first. Called once, before `Feed`.
  virtual void StartHandshake() = 0;
  /// Takes bytes that came from the socket.
  virtual void Feed(const char* aBytes, size_t aCount) = 0;
  /// Sends one binary message.
  virtual void Send(const std::string& aMessage) = 0;
  /// The nonces of both sides, the listener's first; what the opener signs in its greeting.
  virtual std::string Challenge() const = 0;
  /// Asks the peer for a sign of life.
  virtual void Ping() = 0;
};

} // namespace dandelion

#endif
