/// An upstream that writes bytes which need not be answers.
#ifndef DANDELION_TEST_SUPPORT_SCRIPTED_UPSTREAM_H
#define DANDELION_TEST_SUPPORT_SCRIPTED_UPSTREAM_H

#include "wire/Wire.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <sys/socket.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace dandelion::testing {

/// An upstream that writes given bytes for each request, by connection and request on it. It
/// repeats them without end if it is told to.
class ScriptedUpstream
{
public:
  using Script = std::function<std::string(int aConnection, int aRequest)>;

  ScriptedUpstream(Loop& aLoop, const Endpoint& aListen, Script aScript, std::string aRepeated = "")
    : loop_(aLoop)
    , script_(std::move(aScript))
    , repeated_(std::move(aRepeated))
  {
    sockaddr_in address = ToSocketAddress(aListen);
    auto onAccept = [](evconnlistener*, evutil_socket_t aSocket, sockaddr*, int, void* aContext) {
      static_cast<ScriptedUpstream*>(aContext)->Accept(aSocket);
    };
    listener_ = evconnlistener_new_bind(aLoop.Base(),
                                        onAccept,
                                        this,
                                        LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE,
                                        16,
                                        reinterpret_cast<sockaddr*>(&address),
                                        sizeof(address));
  }
  /// Ends the connection behind the bytes of each answer.
  void CloseAfterAnswers() { closesAfterAnswers_ = true; }
  size_t BytesRepeated() const { return bytesRepeated_; }

  ~ScriptedUpstream()
  {
    evconnlistener_free(listener_);
    for (const auto& connection : connections_) {
      Close(*connection);
    }
  }

private:
  struct Connection
  {
    ScriptedUpstream* upstream;
    int index;
    bufferevent* socket = nullptr;
    int requests = 0;
  };

  static void Close(Connection& aConnection)
  {
    if (aConnection.socket != nullptr) {
      bufferevent_free(aConnection.socket);
      aConnection.socket = nullptr;
    }
  }

  void Accept(evutil_socket_t aSocket)
  {
    auto connection = std::make_unique<Connection>();
    connection->upstream = this;
    connection->index = static_cast<int>(connections_.size());
    connection->socket = bufferevent_socket_new(loop_.Base(), aSocket, BEV_OPT_CLOSE_ON_FREE);
    auto onRead = [](bufferevent* aBufferevent, void* aContext) {
      auto* self = static_cast<Connection*>(aContext);
      evbuffer* input = bufferevent_get_input(aBufferevent);
      evbuffer_drain(input, evbuffer_get_length(input));
      std::string answer = self->upstream->script_(self->index, self->requests++);
      bufferevent_write(aBufferevent, answer.data(), answer.size());
    };
    auto onWritten = [](bufferevent* aBufferevent, void* aContext) {
      auto* self = static_cast<Connection*>(aContext);
      const std::string& repeated = self->upstream->repeated_;
      if (self->requests > 0 && self->upstream->closesAfterAnswers_) {
        shutdown(bufferevent_getfd(aBufferevent), SHUT_WR);
      } else if (self->requests > 0 && !repeated.empty()) {
        bufferevent_write(aBufferevent, repeated.data(), repeated.size());
        self->upstream->bytesRepeated_ += repeated.size();
      }
    };
    auto onEvent = [](bufferevent*, short aEvents, void* aContext) {
      if ((aEvents & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0) {
        Close(*static_cast<Connection*>(aContext));
      }
    };
    bufferevent_setcb(connection->socket, onRead, onWritten, onEvent, connection.get());
    bufferevent_enable(connection->socket, EV_READ | EV_WRITE);
    connections_.push_back(std::move(connection));
  }

  Loop& loop_;
  Script script_;
  std::string repeated_;
  bool closesAfterAnswers_ = false;
  size_t bytesRepeated_ = 0;
  evconnlistener* listener_ = nullptr;
  std::vector<std::unique_ptr<Connection>> connections_;
};

} // namespace dandelion::testing

#endif
