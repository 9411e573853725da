#include "wire/Http.h"

#include "wire/HttpShared.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>

#include <strings.h>

namespace dandelion {

namespace {

constexpr ev_uint16_t kAllMethods = EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_HEAD |
                                    EVHTTP_REQ_PUT | EVHTTP_REQ_DELETE | EVHTTP_REQ_OPTIONS |
                                    EVHTTP_REQ_PATCH;
constexpr int kBacklog = 1024;

} // namespace

std::string FindHeader(const HttpHeaders& aHeaders, std::string_view aName)
{
  for (const auto& [name, value] : aHeaders) {
    if (name.size() == aName.size() && strncasecmp(name.data(), aName.data(), name.size()) == 0) {
      return value;
    }
  }
  return "";
}

/// Owned jointly by the handler and, until the response, by the connection's callbacks.
class HttpServer::Exchange
  : public HttpExchange
  , public std::enable_shared_from_this<HttpServer::Exchange>
{
public:
  explicit Exchange(evhttp_request* aRequest)
    : pending_(aRequest)
  {
    request_.method = MethodName(evhttp_request_get_command(aRequest));
    request_.target = evhttp_request_get_uri(aRequest);
    request_.headers = ReadHeaders(evhttp_request_get_input_headers(aRequest));
    request_.body = TakeBody(evhttp_request_get_input_buffer(aRequest));
  }

  ~Exchange() override
  {
    // A handler that forgets an exchange must not leave its caller waiting.
    if (isStreaming_) {
      EndStream();
    }
    Reply(HttpResponse{ AnswerFor(ErrorKind::Internal).httpStatus, {}, "" });
  }

  /// Begins to watch for a caller that goes away.
  void Watch(event_base* aBase)
  {
    evhttp_connection* connection = evhttp_request_get_connection(pending_);
    evhttp_connection_set_closecb(connection, &Exchange::OnClosed, this);
    // evhttp stops reading while a request waits, so it would not notice; the poller does.
    evutil_socket_t socket = bufferevent_getfd(evhttp_connection_get_bufferevent(connection));
    hangUp_ = event_new(aBase, socket, EV_CLOSED, &Exchange::OnHangUp, this);
    event_add(hangUp_, nullptr);
  }

  const HttpRequest& Request() const override { return request_; }

  void Reply(const HttpResponse& aResponse) override
  {
    if (pending_ == nullptr) {
      return;
    }
    AddHeaders(aResponse.headers);
    evhttp_request* request = Release();
    evbuffer* body = evbuffer_new();
    evbuffer_add(body, aResponse.body.data(), aResponse.body.size());
    evhttp_send_reply(request, aResponse.status, nullptr, body);
    evbuffer_free(body);
  }

  void BeginStream(const HttpResponse& aHead) override
  {
    if (pending_ != nullptr && !isStreaming_) {
      isStreaming_ = true;
      AddHeaders(aHead.headers);
      evhttp_send_reply_start(pending_, aHead.status, nullptr);
    }
  }

  void SendPiece(const std::string& aPiece) override
  {
    if (pending_ != nullptr && isStreaming_) {
      evbuffer* piece = evbuffer_new();
      evbuffer_add(piece, aPiece.data(), aPiece.size());
      evhttp_send_reply_chunk(pending_, piece);
      evbuffer_free(piece);
    }
  }

  void EndStream() override
  {
    if (pending_ != nullptr && isStreaming_) {
      evhttp_send_reply_end(Release());
    }
  }

  void OnGone(std::function<void()> aCallback) override { onGone_ = std::move(aCallback); }

private:
  static void OnClosed(evhttp_connection* /* aConnection */, void* aContext)
  {
    auto* exchange = static_cast<Exchange*>(aContext);
    exchange->StopWatching();
    exchange->pending_ = nullptr;
    exchange->TellGone();
  }

  static void OnHangUp(evutil_socket_t, short, void* aContext)
  {
    auto self = static_cast<Exchange*>(aContext)->weak_from_this().lock();
    if (self == nullptr) {
      return;
    }
    self->TellGone();
    self->EndStream();
    // The reply cannot arrive; it makes evhttp close its side and free the request.
    self->Reply(HttpResponse{ AnswerFor(ErrorKind::Internal).httpStatus, {}, "" });
  }

  void AddHeaders(const HttpHeaders& aHeaders)
  {
    evkeyvalq* headers = evhttp_request_get_output_headers(pending_);
    for (const auto& [name, value] : aHeaders) {
      evhttp_add_header(headers, name.c_str(), value.c_str());
    }
  }

  evhttp_request* Release()
  {
    StopWatching();
    evhttp_connection_set_closecb(evhttp_request_get_connection(pending_), nullptr, nullptr);
    return std::exchange(pending_, nullptr);
  }

  void StopWatching()
  {
    if (hangUp_ != nullptr) {
      event_free(std::exchange(hangUp_, nullptr));
    }
  }

  void TellGone()
  {
    auto callback = std::exchange(onGone_, nullptr);
    if (callback) {
      callback();
    }
  }

  HttpRequest request_;
  evhttp_request* pending_;
  event* hangUp_ = nullptr;
  bool isStreaming_ = false;
  std::function<void()> onGone_;
};

HttpServer::HttpServer(Loop& aLoop, HttpHandler aHandler)
  : loop_(aLoop)
  , handler_(std::move(aHandler))
  , server_(evhttp_new(aLoop.Base()))
{
}

HttpServer::~HttpServer()
{
  evhttp_free(server_);
}

absl::Status HttpServer::Listen(const Endpoint& aEndpoint, const HttpLimits& aLimits)
{
  evhttp_set_allowed_methods(server_, kAllMethods);
  evhttp_set_max_headers_size(server_, static_cast<ev_ssize_t>(aLimits.mostHeaderBytes));
  evhttp_set_max_body_size(server_, static_cast<ev_ssize_t>(aLimits.mostBodyBytes));
  evhttp_set_timeout(server_, static_cast<int>(aLimits.idleTime / seconds(1)));
  evhttp_set_gencb(server_, &HttpServer::OnRequest, this);
  socket_ = evhttp_bind_socket_with_handle(server_, aEndpoint.ip.c_str(), aEndpoint.port);
  if (socket_ == nullptr) {
    return MakeError(
      ErrorKind::InvalidSettings,
      fmt::format("cannot listen on {}; free the port or set another", ToText(aEndpoint)));
  }
  listen(evhttp_bound_socket_get_fd(socket_), kBacklog);
  return absl::OkStatus();
}

void HttpServer::StopListening()
{
  if (socket_ != nullptr) {
    evhttp_del_accept_socket(server_, std::exchange(socket_, nullptr));
  }
}

void HttpServer::OnRequest(evhttp_request* aRequest, void* aContext)
{
  auto* server = static_cast<HttpServer*>(aContext);
  auto exchange = std::make_shared<Exchange>(aRequest);
  exchange->Watch(server->loop_.Base());
  server->handler_(exchange);
}

} // namespace dandelion
