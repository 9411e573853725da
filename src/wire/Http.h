/// HTTP/1.1 over libevent's sockets and http_parser: requests, responses, a server and a client.
#ifndef DANDELION_WIRE_HTTP_H
#define DANDELION_WIRE_HTTP_H

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

using HttpHeaders = std::vector<std::pair<std::string, std::string>>;

/// The value of a header, compared without regard to case; empty where it is missing.
std::string FindHeader(const HttpHeaders& aHeaders, std::string_view aName);

struct HttpRequest
{
  std::string method = "GET";
  /// Path and query as they stand in the request line.
  std::string target = "/";
  HttpHeaders headers;
  std::string body;
};

struct HttpResponse
{
  int status = 200;
  HttpHeaders headers;
  std::string body;
};

/// One request that waits for its response. It may be kept and answered later, once.
class HttpExchange
{
public:
  virtual ~HttpExchange() = default;
  virtual const HttpRequest& Request() const = 0;
  /// Sends the response. Does nothing where the caller has gone or a response was sent.
  virtual void Reply(const HttpResponse& aResponse) = 0;
  /// Sends a response in pieces: a head, any number of pieces, and an end.
  virtual void BeginStream(const HttpResponse& aHead) = 0;
  virtual void SendChunk(const std::string& aChunk) = 0;
  virtual void EndStream() = 0;
  /// Called once if the caller goes away before the response.
  virtual void OnClientDisconnected(std::function<void()> aCallback) = 0;
};

using HttpHandler = std::function<void(std::shared_ptr<HttpExchange>)>;

struct HttpLimits
{
  size_t maxHeaderBytes = 32 * 1024;
  size_t maxBodyBytes = 8 * 1024 * 1024;
  /// Longest time that a connection stays open between two requests.
  Duration idleTimeout = seconds(120);
  /// Longest time from the first byte of a request to the end of its head.
  Duration headerTimeout = seconds(30);
};

class HttpServer
{
public:
  HttpServer(Loop& aLoop, HttpHandler aHandler);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  absl::Status Listen(const Endpoint& aEndpoint, const HttpLimits& aLimits);
  /// Limits of the requests that begin from now on.
  void SetLimits(const HttpLimits& aLimits) { limits_ = aLimits; }
  /// Answers say from now on that their connection closes.
  void BeginClosing() { isClosing_ = true; }
  /// Takes no new connections and closes idle ones; exchanges in progress go on.
  void StopListening();
  /// Connections that have been read from in part or wait for a response.
  size_t BusyConnections() const;

private:
  class Connection;
  class Exchange;
  using ConnectionId = uint64_t;

  void Accept(int aSocket);
  void Close(ConnectionId aId);
  void CloseExpired();

  Loop& loop_;
  HttpHandler handler_;
  HttpLimits limits_;
  evconnlistener* listener_ = nullptr;
  bool isClosing_ = false;
  ConnectionId nextId_ = 1;
  std::map<ConnectionId, std::unique_ptr<Connection>> connections_;
  /// Closed connections, kept until their callbacks have returned.
  std::vector<std::unique_ptr<Connection>> closed_;
  Timer cleanupTimer_;
  Timer expiryTimer_;
};

/// What became of a request to a server.
enum class HttpOutcome
{
  Answered,
  /// No byte of the request left this process.
  NotSent,
  /// The request may have arrived, the response did not arrive whole.
  Lost,
};

struct HttpResult
{
  HttpOutcome outcome = HttpOutcome::Lost;
  HttpResponse response;
};

/// How a request is sent.
struct HttpSendOptions
{
  Duration timeout = seconds(10);
  /// A kept connection is reused only if it was idle for less. Its server may be closing one that
  /// was idle for long, and then nobody knows whether the request arrived.
  Duration maxIdleTime = seconds(4);
  /// Whether a response belongs to the request. One that does not is passed over, and its
  /// connection is not used again.
  std::function<bool(int aStatus, const HttpHeaders&)> isResponseToRequest = {};
};

/// A client that keeps connections to each server for reuse.
class HttpClient
{
public:
  using RequestId = uint64_t;
  using OnResult = std::function<void(const HttpResult&)>;
  using OnChunk = std::function<void(const std::string&)>;

  explicit HttpClient(Loop& aLoop);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  /// Sends a request. The result comes once, from the loop, within the time limit.
  RequestId Send(const Endpoint& aServer,
                 const HttpRequest& aRequest,
                 const HttpSendOptions& aOptions,
                 OnResult aOnResult);
  RequestId Send(const Endpoint& aServer,
                 const HttpRequest& aRequest,
                 Duration aTimeout,
                 OnResult aOnResult);

  /// Sends a request whose response body is handed on as it arrives, without a time limit.
  RequestId Stream(const Endpoint& aServer,
                   const HttpRequest& aRequest,
                   OnChunk aOnChunk,
                   OnResult aOnEnd);

  /// Drops a request and its connection; no result comes.
  void Cancel(RequestId aId);

  /// Connections that were opened since the start.
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
  void DeleteLater(std::unique_ptr<Connection> aConnection);

  Loop& loop_;
  RequestId nextId_ = 1;
  uint64_t openedConnections_ = 0;
  std::map<RequestId, std::unique_ptr<Pending>> pending_;
  std::map<Endpoint, std::vector<std::unique_ptr<Connection>>> idle_;
  /// Connections that have ended, until libevent has returned from their callbacks.
  std::vector<std::unique_ptr<Connection>> closed_;
  Timer cleanupTimer_;
};

} // namespace dandelion

#endif
