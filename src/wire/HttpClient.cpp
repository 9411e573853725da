#include "wire/Http.h"

#include "wire/HttpShared.h"

#include <event2/bufferevent.h>
#include <event2/event.h>

#include <deque>

namespace dandelion {

namespace {

constexpr size_t kMostIdlePerServer = 64;
constexpr ev_ssize_t kMostResponseBytes = 16 * 1024 * 1024;
constexpr int kNoTimeLimitSeconds = 24 * 3600;

struct ConnectionDeleter
{
  void operator()(evhttp_connection* aConnection) const { evhttp_connection_free(aConnection); }
};
using Connection = std::unique_ptr<evhttp_connection, ConnectionDeleter>;

void OnOutput(evbuffer* /* aBuffer */, const evbuffer_cb_info* aInfo, void* aContext)
{
  if (aInfo->n_deleted > 0) {
    *static_cast<bool*>(aContext) = true;
  }
}

} // namespace

struct HttpClient::IdleConnections
{
  std::map<Endpoint, std::deque<Connection>> byServer;
};

struct HttpClient::Pending
{
  HttpClient* client = nullptr;
  RequestId id = 0;
  Endpoint server;
  Connection connection;
  /// Set when bytes have left the output buffer for the socket.
  bool hasSent = false;
  evbuffer_cb_entry* outputWatch = nullptr;
  Timer limit;
  OnResult onResult;
  OnChunk onChunk;

  evbuffer* Output() const
  {
    return bufferevent_get_output(evhttp_connection_get_bufferevent(connection.get()));
  }
  void Unwatch()
  {
    if (outputWatch != nullptr && connection != nullptr) {
      evbuffer_remove_cb_entry(Output(), std::exchange(outputWatch, nullptr));
    }
  }
};

HttpClient::HttpClient(Loop& aLoop)
  : loop_(aLoop)
  , idle_(std::make_unique<IdleConnections>())
{
}

HttpClient::~HttpClient()
{
  while (!pending_.empty()) {
    Cancel(pending_.begin()->first);
  }
  buried_.clear();
}

HttpClient::RequestId HttpClient::Send(const Endpoint& aServer,
                                       const HttpRequest& aRequest,
                                       Duration aTimeLimit,
                                       OnResult aOnResult)
{
  auto pending = std::make_unique<Pending>();
  pending->onResult = std::move(aOnResult);
  RequestId id = nextId_;
  pending->limit = loop_.After(aTimeLimit, [this, id] { Finish(id, nullptr); });
  return Begin(aServer, aRequest, std::move(pending));
}

HttpClient::RequestId HttpClient::Stream(const Endpoint& aServer,
                                         const HttpRequest& aRequest,
                                         OnChunk aOnChunk,
                                         OnResult aOnEnd)
{
  auto pending = std::make_unique<Pending>();
  pending->onChunk = std::move(aOnChunk);
  pending->onResult = std::move(aOnEnd);
  return Begin(aServer, aRequest, std::move(pending));
}

HttpClient::RequestId HttpClient::Begin(const Endpoint& aServer,
                                        const HttpRequest& aRequest,
                                        std::unique_ptr<Pending> aPending)
{
  RequestId id = nextId_++;
  Pending& pending = *aPending;
  pending.client = this;
  pending.id = id;
  pending.server = aServer;
  std::deque<Connection>& idle = idle_->byServer[aServer];
  if (!idle.empty()) {
    pending.connection = std::move(idle.back());
    idle.pop_back();
  } else {
    pending.connection.reset(
      evhttp_connection_base_new(loop_.Base(), nullptr, aServer.ip.c_str(), aServer.port));
    evhttp_connection_set_max_body_size(pending.connection.get(), kMostResponseBytes);
    evhttp_connection_set_timeout(pending.connection.get(), kNoTimeLimitSeconds);
  }
  pending_[id] = std::move(aPending);
  pending.outputWatch = evbuffer_add_cb(pending.Output(), &OnOutput, &pending.hasSent);

  evhttp_request* request = evhttp_request_new(&HttpClient::OnResponse, &pending);
  if (pending.onChunk) {
    evhttp_request_set_chunked_cb(request, &HttpClient::OnPartial);
  }
  evkeyvalq* headers = evhttp_request_get_output_headers(request);
  for (const auto& [name, value] : aRequest.headers) {
    evhttp_add_header(headers, name.c_str(), value.c_str());
  }
  if (evhttp_find_header(headers, "Host") == nullptr) {
    evhttp_add_header(headers, "Host", ToText(aServer).c_str());
  }
  evbuffer_add(
    evhttp_request_get_output_buffer(request), aRequest.body.data(), aRequest.body.size());
  evhttp_cmd_type command = MethodCommand(aRequest.method).value_or(EVHTTP_REQ_GET);
  // On failure evhttp has freed the request; the result must still come from the loop.
  if (evhttp_make_request(pending.connection.get(), request, command, aRequest.target.c_str()) !=
      0) {
    pending.limit = loop_.After(Duration::zero(), [this, id] { Finish(id, nullptr); });
  }
  return id;
}

void HttpClient::Cancel(RequestId aId)
{
  auto found = pending_.find(aId);
  if (found == pending_.end()) {
    return;
  }
  std::unique_ptr<Pending> pending = std::move(found->second);
  pending_.erase(found);
  Bury(std::move(pending));
}

void HttpClient::Bury(std::unique_ptr<Pending> aPending)
{
  // evhttp may be inside a callback of this request and still use its connection, so both live
  // on until the loop turns. Without a client the callbacks do nothing.
  aPending->Unwatch();
  aPending->client = nullptr;
  aPending->limit.Cancel();
  buried_.push_back(std::move(aPending));
  if (!burial_.IsPending()) {
    burial_ = loop_.After(Duration::zero(), [this] {
      buried_.clear();
      burial_.Cancel();
    });
  }
}

void HttpClient::OnPartial(evhttp_request* aRequest, void* aContext)
{
  auto* pending = static_cast<Pending*>(aContext);
  std::string chunk = TakeBody(evhttp_request_get_input_buffer(aRequest));
  if (pending->client != nullptr && pending->onChunk) {
    auto onChunk = pending->onChunk;
    onChunk(chunk);
  }
}

void HttpClient::OnResponse(evhttp_request* aRequest, void* aContext)
{
  auto* pending = static_cast<Pending*>(aContext);
  if (pending->client != nullptr) {
    pending->client->Finish(pending->id, aRequest);
  }
}

void HttpClient::Finish(RequestId aId, evhttp_request* aResponse)
{
  auto found = pending_.find(aId);
  if (found == pending_.end()) {
    return;
  }
  std::unique_ptr<Pending> pending = std::move(found->second);
  pending_.erase(found);
  HttpResult result;
  bool isAnswered = aResponse != nullptr && evhttp_request_get_response_code(aResponse) != 0;
  if (isAnswered) {
    result.outcome = HttpOutcome::Answered;
    result.response.status = evhttp_request_get_response_code(aResponse);
    result.response.headers = ReadHeaders(evhttp_request_get_input_headers(aResponse));
    result.response.body = TakeBody(evhttp_request_get_input_buffer(aResponse));
  } else {
    result.outcome = pending->hasSent ? HttpOutcome::Lost : HttpOutcome::NotSent;
  }
  pending->Unwatch();
  std::deque<Connection>& idle = idle_->byServer[pending->server];
  bool isClosing = FindHeader(result.response.headers, "Connection") == "close";
  if (isAnswered && !isClosing && idle.size() < kMostIdlePerServer) {
    idle.push_back(std::move(pending->connection));
  }
  OnResult onResult = std::move(pending->onResult);
  Bury(std::move(pending));
  onResult(result);
}

} // namespace dandelion
