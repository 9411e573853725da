/// HTTP/1.1 server and client on libevent sockets and http_parser.
#ifndef DANDELION_WIRE_HTTP_H
#define DANDELION_WIRE_HTTP_H

#include "codec/Codec.h"
#include "kernel/Kernel.h"
#include "membership/Membership.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

struct bufferevent;
struct evconnlistener;

namespace dandelion {

class MemoryGuard;

using HttpHeaders = std::vector<std::pair<std::string, std::string>>;

/// Returns the value of the first header with this name, ignoring case; empty where it is missing.
std::string FindHeader(const HttpHeaders& aHeaders, std::string_view aName);

struct HttpRequest
{
  std::string method = "GET";
  /// Path and query as in the request line.
  std::string target = "/";
  HttpHeaders headers;
  SharedString body;
};

struct HttpResponse
{
  int status = 200;
  HttpHeaders headers;
  SharedString body;
};

/// One request and its pending response. It may be stored and answered later, exactly once.
class HttpExchange
{
public:
  virtual ~HttpExchange() = default;
  virtual const HttpRequest& Request() const = 0;
  /// Sends the response. Does nothing where the client has disconnected or a response was sent.
  virtual void Reply(const HttpResponse& aResponse) = 0;
  /// Sends a response in parts: status and headers, any number of chunks, and the end.
  virtual void BeginStream(const HttpResponse& aHead) = 0;
  virtual void SendChunk(const std::string& aChunk) = 0;
  virtual void EndStream() = 0;
  /// Sets a callback that is called once if the client disconnects before the response is complete.
  virtual void OnClientDisconnected(std::function<void()> aCallback) = 0;
};

using HttpHandler = std::function<void(std::shared_ptr<HttpExchange>)>;

struct HttpLimits
{
  /// Maximum size of the request target and of all header names and values together.
  size_t maxHeaderBytes = 32 * 1024;
  size_t maxBodyBytes = 8 * 1024 * 1024;
  /// Maximum time without activity between two requests before a connection is closed.
  Duration idleTimeout = seconds(120);
  /// Maximum time without activity while a request is incomplete before a connection is closed.
  Duration headerTimeout = seconds(30);
};

/// What the connections of a server may use of the machine; no limits by default.
struct HttpCapacity
{
  MemoryGuard* memory = nullptr;
  size_t maxConnections = SIZE_MAX;
};

class HttpServer
{
public:
  HttpServer(Loop& aLoop, HttpHandler aHandler, HttpCapacity aCapacity = {});
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /// Errors: `InvalidSettings` where the endpoint cannot be bound.
  absl::Status Listen(const Endpoint& aEndpoint, const HttpLimits& aLimits);
  /// Sets the limits. Size limits apply to connections accepted from now on, timeouts immediately.
  void SetLimits(const HttpLimits& aLimits) { limits_ = aLimits; }
  /// Adds `Connection: close` to all further responses.
  void BeginClosing() { isClosing_ = true; }
  /// Accepts no new connections and closes idle ones. Exchanges in progress continue, and answers
  /// are sent on. Repeated calls close what has become idle.
  void StopListening();
  /// Number of connections with a partly read request, a pending response, or a response that is
  /// still being sent.
  size_t BusyConnections() const;
  size_t Connections() const { return connections_.size(); }

private:
  class Connection;
  class Exchange;
  using ConnectionId = uint64_t;

  void Accept(int aSocket);
  void Close(ConnectionId aId);
  void CloseExpired();
  /// Closes a connection for a new one. Returns whether there was one that could be closed.
  bool MakeRoom();

  Loop& loop_;
  HttpHandler handler_;
  HttpCapacity capacity_;
  HttpLimits limits_;
  evconnlistener* listener_ = nullptr;
  bool isClosing_ = false;
  ConnectionId nextId_ = 1;
  std::map<ConnectionId, std::unique_ptr<Connection>> connections_;
  /// Closed connections, which are kept until libevent has returned from their callbacks.
  std::vector<std::unique_ptr<Connection>> closed_;
  Timer cleanupTimer_;
  Timer expiryTimer_;
};

/// Result of a request to a server.
enum class HttpOutcome
{
  Answered,
  /// No byte of the request was written to the socket.
  NotSent,
  /// The request may have reached the server, but no complete response was received.
  Lost,
};

struct HttpResult
{
  HttpOutcome outcome = HttpOutcome::Lost;
  HttpResponse response;
  /// Whether the connection carried no other request before, so that no answer to one can arrive.
  bool isFirstOnConnection = true;
  /// Why the bytes that arrived are no response; empty where none arrived or another reason
  /// applies.
  std::string parseFault = {};
};

/// Options of one request.
struct HttpSendOptions
{
  Duration timeout = seconds(10);
  /// An idle connection is reused only if it was idle for less than this. The server may close a
  /// connection that was idle for longer, and then it is unknown whether the request arrived.
  Duration maxIdleTime = seconds(4);
  /// Whether a response belongs to the request. A response that does not is ignored, and its
  /// connection is not reused.
  std::function<bool(int aStatus, const HttpHeaders&)> isResponseToRequest = {};
};

/// HTTP client with a pool of idle connections for each server.
class HttpClient
{
public:
  using RequestId = uint64_t;
  using OnResult = std::function<void(const HttpResult&)>;
  using OnChunk = std::function<void(const std::string&)>;

  /// The bytes of incomplete responses are charged to `aMemory` where it is given, and large ones
  /// are read on only while it has room.
  explicit HttpClient(Loop& aLoop, MemoryGuard* aMemory = nullptr);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  /// Sends a request. `aOnResult` is called once, from the loop, within the timeout.
  RequestId Send(const Endpoint& aServer,
                 const HttpRequest& aRequest,
                 const HttpSendOptions& aOptions,
                 OnResult aOnResult);
  RequestId Send(const Endpoint& aServer,
                 const HttpRequest& aRequest,
                 Duration aTimeout,
                 OnResult aOnResult);

  /// Sends a request without a timeout and passes the response body to `aOnChunk` as it arrives.
  RequestId Stream(const Endpoint& aServer,
                   const HttpRequest& aRequest,
                   OnChunk aOnChunk,
                   OnResult aOnEnd);

  /// Cancels a request and closes its connection. Its callbacks are not called.
  void Cancel(RequestId aId);

  /// Ends all requests of which no byte has been written to a socket, with `NotSent`.
  void FailUnsent();

  /// Bytes of response bodies that have arrived and are not complete.
  size_t BufferedBytes() const { return bufferedBytes_; }

  /// Number of connections opened since construction.
  uint64_t OpenedConnections() const { return openedConnections_; }

private:
  class Connection;
  struct Pending;

  RequestId Begin(const Endpoint& aServer,
                  const HttpRequest& aRequest,
                  Duration aMaxIdleTime,
                  std::unique_ptr<Pending> aPending);
  std::unique_ptr<Connection> TakeIdle(const Endpoint& aServer, Duration aMaxIdleTime);
  void ReturnToPool(std::unique_ptr<Connection> aConnection);
  void RemoveIdle(Connection* aConnection);
  void Finish(RequestId aId, HttpResult aResult);
  void FinishWithoutResponse(RequestId aId);
  /// Fails the requests with the largest incomplete responses while all of them hold too much
  /// memory.
  void LimitBufferedBytes();
  void DeleteLater(std::unique_ptr<Connection> aConnection);

  Loop& loop_;
  MemoryGuard* memory_;
  size_t maxBufferedBytes_;
  RequestId nextId_ = 1;
  uint64_t openedConnections_ = 0;
  size_t bufferedBytes_ = 0;
  std::map<RequestId, std::unique_ptr<Pending>> pending_;
  std::map<Endpoint, std::vector<std::unique_ptr<Connection>>> idle_;
  /// Closed connections, which are kept until libevent has returned from their callbacks.
  std::vector<std::unique_ptr<Connection>> closed_;
  Timer cleanupTimer_;
};

} // namespace dandelion

#endif
