/// HTTP over libevent's evhttp: requests, responses, a server and a client.
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

struct evhttp;
struct evhttp_bound_socket;
struct evhttp_request;

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
  virtual void SendPiece(const std::string& aPiece) = 0;
  virtual void EndStream() = 0;
  /// Called once if the caller goes away before the response.
  virtual void OnGone(std::function<void()> aCallback) = 0;
};

using HttpHandler = std::function<void(std::shared_ptr<HttpExchange>)>;

struct HttpLimits
{
  size_t mostHeaderBytes = 32 * 1024;
  size_t mostBodyBytes = 8 * 1024 * 1024;
  Duration idleTime = seconds(120);
};

class HttpServer
{
public:
  HttpServer(Loop& aLoop, HttpHandler aHandler);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  absl::Status Listen(const Endpoint& aEndpoint, const HttpLimits& aLimits);
  /// Takes no new connections; exchanges in progress go on.
  void StopListening();

private:
  class Exchange;
  static void OnRequest(evhttp_request* aRequest, void* aContext);

  Loop& loop_;
  HttpHandler handler_;
  evhttp* server_;
  evhttp_bound_socket* socket_ = nullptr;
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
                 Duration aTimeLimit,
                 OnResult aOnResult);

  /// Sends a request whose response body is handed on as it arrives, without a time limit.
  RequestId Stream(const Endpoint& aServer,
                   const HttpRequest& aRequest,
                   OnChunk aOnChunk,
                   OnResult aOnEnd);

  /// Drops a request and its connection; no result comes.
  void Cancel(RequestId aId);

private:
  struct Pending;
  struct IdleConnections;
  RequestId Begin(const Endpoint& aServer,
                  const HttpRequest& aRequest,
                  std::unique_ptr<Pending> aPending);
  void Finish(RequestId aId, evhttp_request* aResponse);
  void Bury(std::unique_ptr<Pending> aPending);
  static void OnResponse(evhttp_request* aRequest, void* aContext);
  static void OnPartial(evhttp_request* aRequest, void* aContext);

  Loop& loop_;
  RequestId nextId_ = 1;
  std::map<RequestId, std::unique_ptr<Pending>> pending_;
  std::unique_ptr<IdleConnections> idle_;
  /// Requests that have ended, until evhttp has returned from their callbacks.
  std::vector<std::unique_ptr<Pending>> buried_;
  Timer burial_;
};

} // namespace dandelion

#endif
