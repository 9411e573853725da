#include "wire/HttpMessageParser.h"
#include "wire/SocketAddress.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>

#include <algorithm>
#include <array>

#include <strings.h>
#include <sys/socket.h>

namespace dandelion {

namespace {

constexpr int kBacklog = 1024;
/// Limit of bytes buffered while a request is in progress. Reading continues during a request so
/// that a disconnect of its client is detected.
constexpr size_t kMaxReadAheadBytes = 64 * 1024;
constexpr Duration kExpiryCheckPeriod = seconds(1);

std::string_view ReasonPhrase(int aStatus)
{
  switch (aStatus) {
#define DANDELION_PHRASE(number, name, text)                                                       \
  case number:                                                                                     \
    return #text;
    HTTP_STATUS_MAP(DANDELION_PHRASE)
#undef DANDELION_PHRASE
  }
  return "Status";
}

bool EqualsIgnoreCase(std::string_view aLeft, std::string_view aRight)
{
  return aLeft.size() == aRight.size() &&
         strncasecmp(aLeft.data(), aRight.data(), aLeft.size()) == 0;
}

/// Whether the server sets this header itself to frame its responses. A handler's value is omitted.
bool IsFramingHeader(std::string_view aName)
{
  constexpr std::array<std::string_view, 3> kFramingHeaders = { "content-length",
                                                                "transfer-encoding",
                                                                "connection" };
  auto isEqual = [&](std::string_view aOther) { return EqualsIgnoreCase(aName, aOther); };
  return std::any_of(kFramingHeaders.begin(), kFramingHeaders.end(), isEqual);
}

int StatusFor(HttpParseError aError)
{
  switch (aError) {
    case HttpParseError::HeaderTooLarge:
      return HTTP_STATUS_REQUEST_HEADER_FIELDS_TOO_LARGE;
    case HttpParseError::BodyTooLarge:
      return HTTP_STATUS_PAYLOAD_TOO_LARGE;
    case HttpParseError::None:
    case HttpParseError::Malformed:
      break;
  }
  return HTTP_STATUS_BAD_REQUEST;
}

} // namespace

std::string FindHeader(const HttpHeaders& aHeaders, std::string_view aName)
{
  for (const auto& [name, value] : aHeaders) {
    if (EqualsIgnoreCase(name, aName)) {
      return value;
    }
  }
  return "";
}

/// One client connection. Requests are processed one at a time: the next one is parsed after the
/// response to the one before.
class HttpServer::Connection
{
public:
  Connection(HttpServer& aServer, ConnectionId aId, int aSocket);
  ~Connection() { bufferevent_free(socket_); }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  void SendHead(const HttpResponse& aResponse, bool aIsStream);
  void SendChunk(const std::string& aChunk);
  void EndMessage();
  /// Closes the connection without completing the message.
  void Abort() { server_.Close(id_); }
  /// Stops all socket callbacks and notifies the handler that the client has disconnected.
  void Detach();

  bool IsBusy() const { return exchange_ != nullptr || closesWhenWritten_ || parser_.HasStarted(); }
  bool IsExpired(TimePoint aNow) const;

private:
  void Write(std::string_view aBytes) { bufferevent_write(socket_, aBytes.data(), aBytes.size()); }
  void Read();
  void BeginExchange();
  void Reject(HttpParseError aError);
  void CloseWhenWritten();
  static void OnReadable(bufferevent* aSocket, void* aContext);
  static void OnWritten(bufferevent* aSocket, void* aContext);
  static void OnSocketEvent(bufferevent* aSocket, short aEvents, void* aContext);

  HttpServer& server_;
  ConnectionId id_;
  bufferevent* socket_;
  HttpMessageParser parser_;
  Exchange* exchange_ = nullptr;
  /// Used to keep the exchange alive while its handler is notified of a disconnect.
  std::weak_ptr<HttpExchange> exchangeOwner_;
  bool closesAfterResponse_ = false;
  bool closesWhenWritten_ = false;
  bool isHeadRequest_ = false;
  bool isChunked_ = false;
  bool hasSentContinue_ = false;
  bool isReading_ = false;
  TimePoint lastActivity_;
  TimePoint headBeganAt_;
  friend class HttpServer::Exchange;
};

/// Owned by the handler. `connection_` is null once the connection is closed or the response is
/// sent.
class HttpServer::Exchange : public HttpExchange
{
public:
  Exchange(Connection& aConnection, HttpRequest aRequest)
    : request_(std::move(aRequest))
    , connection_(&aConnection)
  {
  }

  ~Exchange() override
  {
    if (connection_ == nullptr) {
      return;
    }
    if (isStreaming_) {
      // `EndStream` was not called, so the client must see that the body is incomplete.
      connection_->Abort();
      return;
    }
    // If the handler drops the exchange without a reply, the client still gets a response.
    Reply(HttpResponse{ TraitsOf(ErrorKind::Internal).httpStatus, {}, "" });
  }

  const HttpRequest& Request() const override { return request_; }

  void Reply(const HttpResponse& aResponse) override
  {
    if (connection_ != nullptr && !isStreaming_) {
      connection_->SendHead(aResponse, false);
      Finish();
    }
  }

  void BeginStream(const HttpResponse& aHead) override
  {
    if (connection_ != nullptr && !isStreaming_) {
      isStreaming_ = true;
      connection_->SendHead(aHead, true);
    }
  }

  void SendChunk(const std::string& aChunk) override
  {
    if (connection_ != nullptr && isStreaming_) {
      connection_->SendChunk(aChunk);
    }
  }

  void EndStream() override
  {
    if (connection_ != nullptr && isStreaming_) {
      connection_->EndMessage();
      Finish();
    }
  }

  void OnClientDisconnected(std::function<void()> aCallback) override
  {
    onClientDisconnected_ = std::move(aCallback);
  }

  void Disconnect()
  {
    connection_ = nullptr;
    auto callback = std::exchange(onClientDisconnected_, nullptr);
    if (callback) {
      callback();
    }
  }

private:
  void Finish()
  {
    Connection* connection = std::exchange(connection_, nullptr);
    onClientDisconnected_ = nullptr;
    connection->exchange_ = nullptr;
    if (connection->closesAfterResponse_) {
      connection->CloseWhenWritten();
    } else {
      connection->Read();
    }
  }

  HttpRequest request_;
  Connection* connection_;
  bool isStreaming_ = false;
  std::function<void()> onClientDisconnected_;
};

HttpServer::Connection::Connection(HttpServer& aServer, ConnectionId aId, int aSocket)
  : server_(aServer)
  , id_(aId)
  , socket_(bufferevent_socket_new(aServer.loop_.Base(), aSocket, BEV_OPT_CLOSE_ON_FREE))
  , parser_(HttpSide::Request, aServer.limits_)
  , lastActivity_(aServer.loop_.Now())
{
  bufferevent_setcb(
    socket_, &Connection::OnReadable, &Connection::OnWritten, &Connection::OnSocketEvent, this);
  bufferevent_setwatermark(socket_, EV_READ, 0, kMaxReadAheadBytes);
  bufferevent_enable(socket_, EV_READ | EV_WRITE);
}

void HttpServer::Connection::OnReadable(bufferevent* /* aSocket */, void* aContext)
{
  static_cast<Connection*>(aContext)->Read();
}

void HttpServer::Connection::Read()
{
  // A reply from within the handler calls `Read` again; the outer call reads the next request.
  if (isReading_) {
    return;
  }
  isReading_ = true;
  evbuffer* input = bufferevent_get_input(socket_);
  while (exchange_ == nullptr && !closesWhenWritten_ && evbuffer_get_length(input) > 0) {
    lastActivity_ = server_.loop_.Now();
    if (!parser_.HasStarted()) {
      headBeganAt_ = lastActivity_;
    }
    size_t contiguous = evbuffer_get_contiguous_space(input);
    const char* bytes =
      reinterpret_cast<const char*>(evbuffer_pullup(input, static_cast<ev_ssize_t>(contiguous)));
    size_t consumed = parser_.Feed(bytes, contiguous);
    evbuffer_drain(input, consumed);
    if (parser_.ParseError() != HttpParseError::None) {
      Reject(parser_.ParseError());
      break;
    }
    if (parser_.IsComplete()) {
      BeginExchange();
    } else if (parser_.ExpectsContinue() && !hasSentContinue_) {
      hasSentContinue_ = true;
      Write("HTTP/1.1 100 Continue\r\n\r\n");
    }
  }
  isReading_ = false;
}

void HttpServer::Connection::BeginExchange()
{
  closesAfterResponse_ = !parser_.KeepsAlive();
  HttpRequest request = parser_.TakeRequest();
  isHeadRequest_ = request.method == "HEAD";
  parser_.Reset();
  hasSentContinue_ = false;
  auto exchange = std::make_shared<Exchange>(*this, std::move(request));
  exchange_ = exchange.get();
  exchangeOwner_ = exchange;
  server_.handler_(std::move(exchange));
}

void HttpServer::Connection::Reject(HttpParseError aError)
{
  closesAfterResponse_ = true;
  HttpResponse response;
  response.status = StatusFor(aError);
  SendHead(response, false);
  CloseWhenWritten();
}

void HttpServer::Connection::SendHead(const HttpResponse& aResponse, bool aIsStream)
{
  closesAfterResponse_ = closesAfterResponse_ || server_.isClosing_;
  std::string head =
    fmt::format("HTTP/1.1 {} {}\r\n", aResponse.status, ReasonPhrase(aResponse.status));
  for (const auto& [name, value] : aResponse.headers) {
    if (!IsFramingHeader(name)) {
      head += fmt::format("{}: {}\r\n", name, value);
    }
  }
  bool hasNoBody = aResponse.status == HTTP_STATUS_NO_CONTENT ||
                   aResponse.status == HTTP_STATUS_NOT_MODIFIED || aResponse.status < 200;
  isChunked_ = aIsStream && !isHeadRequest_;
  if (isChunked_) {
    head += "Transfer-Encoding: chunked\r\n";
  } else if (!hasNoBody) {
    head += fmt::format("Content-Length: {}\r\n", aResponse.body.size());
  }
  head += closesAfterResponse_ ? "Connection: close\r\n\r\n" : "\r\n";
  Write(head);
  if (!aIsStream && !isHeadRequest_ && !hasNoBody) {
    Write(aResponse.body);
  }
  lastActivity_ = server_.loop_.Now();
}

void HttpServer::Connection::SendChunk(const std::string& aChunk)
{
  if (isChunked_ && !aChunk.empty()) {
    Write(fmt::format("{:x}\r\n", aChunk.size()));
    Write(aChunk);
    Write("\r\n");
  }
}

void HttpServer::Connection::EndMessage()
{
  if (isChunked_) {
    Write("0\r\n\r\n");
  }
}

void HttpServer::Connection::CloseWhenWritten()
{
  closesWhenWritten_ = true;
  if (evbuffer_get_length(bufferevent_get_output(socket_)) == 0) {
    server_.Close(id_);
  }
}

void HttpServer::Connection::OnWritten(bufferevent* /* aSocket */, void* aContext)
{
  auto* self = static_cast<Connection*>(aContext);
  self->lastActivity_ = self->server_.loop_.Now();
  if (self->closesWhenWritten_) {
    self->server_.Close(self->id_);
  }
}

void HttpServer::Connection::OnSocketEvent(bufferevent* /* aSocket */,
                                           short /* aEvents */,
                                           void* aContext)
{
  auto* self = static_cast<Connection*>(aContext);
  self->server_.Close(self->id_);
}

void HttpServer::Connection::Detach()
{
  bufferevent_disable(socket_, EV_READ | EV_WRITE);
  bufferevent_setcb(socket_, nullptr, nullptr, nullptr, nullptr);
  std::shared_ptr<HttpExchange> owner = exchangeOwner_.lock();
  if (exchange_ != nullptr) {
    std::exchange(exchange_, nullptr)->Disconnect();
  }
}

bool HttpServer::Connection::IsExpired(TimePoint aNow) const
{
  if (exchange_ != nullptr) {
    return false;
  }
  if (!parser_.HasStarted()) {
    return aNow - lastActivity_ > server_.limits_.idleTimeout;
  }
  // A head has this time as a whole; a body may take longer as long as bytes arrive.
  TimePoint since = parser_.HasHeaders() ? lastActivity_ : headBeganAt_;
  return aNow - since > server_.limits_.headerTimeout;
}

HttpServer::HttpServer(Loop& aLoop, HttpHandler aHandler)
  : loop_(aLoop)
  , handler_(std::move(aHandler))
{
}

HttpServer::~HttpServer()
{
  if (listener_ != nullptr) {
    evconnlistener_free(listener_);
  }
  while (!connections_.empty()) {
    Close(connections_.begin()->first);
  }
}

absl::Status HttpServer::Listen(const Endpoint& aEndpoint, const HttpLimits& aLimits)
{
  limits_ = aLimits;
  sockaddr_in address = ToSocketAddress(aEndpoint);
  auto onAccept = [](evconnlistener*, evutil_socket_t aSocket, sockaddr*, int, void* aContext) {
    static_cast<HttpServer*>(aContext)->Accept(aSocket);
  };
  listener_ =
    evconnlistener_new_bind(loop_.Base(),
                            onAccept,
                            this,
                            LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC,
                            kBacklog,
                            reinterpret_cast<sockaddr*>(&address),
                            sizeof(address));
  if (listener_ == nullptr) {
    return MakeError(
      ErrorKind::InvalidSettings,
      fmt::format("cannot listen on {}; free the port or set another one", ToText(aEndpoint)));
  }
  CloseExpired();
  return absl::OkStatus();
}

void HttpServer::Accept(int aSocket)
{
  DisableNagle(aSocket);
  ConnectionId id = nextId_++;
  connections_[id] = std::make_unique<Connection>(*this, id, aSocket);
}

void HttpServer::Close(ConnectionId aId)
{
  auto found = connections_.find(aId);
  if (found == connections_.end()) {
    return;
  }
  std::unique_ptr<Connection> connection = std::move(found->second);
  connections_.erase(found);
  Connection& closed = *connection;
  closed_.push_back(std::move(connection));
  if (!cleanupTimer_.IsPending()) {
    cleanupTimer_ = loop_.After(Duration::zero(), [this] {
      cleanupTimer_.Cancel();
      closed_.clear();
    });
  }
  closed.Detach();
}

void HttpServer::CloseExpired()
{
  TimePoint now = loop_.Now();
  std::vector<ConnectionId> expired;
  for (const auto& [id, connection] : connections_) {
    if (connection->IsExpired(now)) {
      expired.push_back(id);
    }
  }
  for (ConnectionId id : expired) {
    Close(id);
  }
  expiryTimer_ = loop_.After(kExpiryCheckPeriod, [this] { CloseExpired(); });
}

void HttpServer::StopListening()
{
  isClosing_ = true;
  if (listener_ != nullptr) {
    evconnlistener_free(std::exchange(listener_, nullptr));
  }
  std::vector<ConnectionId> idle;
  for (const auto& [id, connection] : connections_) {
    if (!connection->IsBusy()) {
      idle.push_back(id);
    }
  }
  for (ConnectionId id : idle) {
    Close(id);
  }
}

size_t HttpServer::BusyConnections() const
{
  size_t busy = 0;
  for (const auto& [id, connection] : connections_) {
    busy += connection->IsBusy() ? 1 : 0;
  }
  return busy;
}

} // namespace dandelion
