#include "wire/HttpConnection.h"

#include "wire/SharedWrite.h"

#include "absl/strings/match.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>

#include <algorithm>
#include <array>

namespace dandelion {

namespace {

/// Limit of bytes buffered behind the request that is read. Reading continues during a request so
/// that a disconnect of its client is detected. The parser takes at most one such buffer behind the
/// head of a request that has to wait for others.
constexpr size_t kMaxReadAheadBytes = 64 * 1024;
/// Limit of requests of one connection that are in progress.
constexpr size_t kMaxConcurrentRequests = 8;
/// No further request of a connection is begun while its responses that are not yet sent take this
/// many bytes, so that a client that reads slowly or asks for much cannot fill the memory.
constexpr size_t kMaxHeldResponseBytes = 256 * 1024;
/// A client that has read nothing of an answer for this time does not delay a planned stop.
constexpr Duration kMaxReadStall = seconds(2);
/// Retry-After of requests that are refused because the node is short of memory.
constexpr const char* kRetryAfterSeconds = "1";

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

/// Whether the server sets this header itself to frame its responses. A handler's value is omitted.
bool IsFramingHeader(const std::string& aName)
{
  constexpr std::array<const char*, 3> kFramingHeaders = { "content-length",
                                                           "transfer-encoding",
                                                           "connection" };
  auto isEqual = [&](const char* aOther) { return absl::EqualsIgnoreCase(aName, aOther); };
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

HttpServer::Connection::Connection(HttpServer& aServer, ConnectionId aId, int aSocket)
  : server_(aServer)
  , id_(aId)
  , socket_(bufferevent_socket_new(aServer.loop_.Base(), aSocket, BEV_OPT_CLOSE_ON_FREE))
  , parser_(HttpSide::Request, aServer.limits_)
  , memory_(
      aServer.capacity_.memory,
      socket_,
      [this] { Drop(); },
      [this] { OnRoom(); })
  , lastActivity_(aServer.loop_.Now())
{
  bufferevent_setcb(
    socket_, &Connection::OnReadable, &Connection::OnWritten, &Connection::OnSocketEvent, this);
  evbuffer_add_cb(bufferevent_get_output(socket_), &Connection::OnOutput, this);
  bufferevent_setwatermark(socket_, EV_READ, 0, kMaxReadAheadBytes);
  bufferevent_enable(socket_, EV_READ | EV_WRITE);
}

HttpServer::Connection::~Connection()
{
  memory_.Release();
  bufferevent_free(socket_);
}

void HttpServer::Connection::Write(std::string_view aBytes)
{
  bufferevent_write(socket_, aBytes.data(), aBytes.size());
}

void HttpServer::Connection::OnReadable(bufferevent* /* aSocket */, void* aContext)
{
  static_cast<Connection*>(aContext)->Read();
}

void HttpServer::Connection::Read()
{
  // A reply from within the handler calls `Read` again; the outer call reads the next request.
  if (isReading_ || isDetached_) {
    return;
  }
  isReading_ = true;
  while (ReadStep()) {
  }
  isReading_ = false;
  Charge();
  bool isReadingRequest = parser_.HasStarted() && !parser_.IsComplete() && responses_.empty();
  if (isReadingRequest && !isDetached_ && !closesWhenWritten_) {
    memory_.ContinueReading();
  }
}

void HttpServer::Connection::Charge()
{
  if (isDetached_) {
    return;
  }
  size_t held = parser_.HeldBytes();
  for (const Response& response : responses_) {
    held += response.requestBytes + response.head.size() + response.held.size();
  }
  memory_.Charge(held, !responses_.empty());
}

void HttpServer::Connection::Drop()
{
  if (parser_.HasStarted() && responses_.empty() && !closesWhenWritten_) {
    Reject(HTTP_STATUS_SERVICE_UNAVAILABLE);
  } else {
    server_.Close(id_);
  }
}

void HttpServer::Connection::OnRoom()
{
  // The time in which the client was not read does not count as its pause.
  lastActivity_ = headBeganAt_ = server_.loop_.Now();
  Read();
}

bool HttpServer::Connection::HoldsTooMuch() const
{
  size_t bytes = evbuffer_get_length(bufferevent_get_output(socket_));
  for (const Response& response : responses_) {
    bytes += response.head.size() + response.held.size();
  }
  return bytes >= kMaxHeldResponseBytes;
}

bool HttpServer::Connection::MayReadNext() const
{
  if (isDetached_ || closesWhenWritten_ || hasLastRequest_) {
    return false;
  }
  if (responses_.empty()) {
    return true;
  }
  // During a planned stop, the last request in progress is the last one of its connection.
  return !server_.isClosing_ && responses_.size() < kMaxConcurrentRequests &&
         std::all_of(responses_.begin(), responses_.end(), [](const Response& aResponse) {
           return aResponse.mayRunBesideOthers;
         });
}

bool HttpServer::Connection::ReadStep()
{
  if (!MayReadNext()) {
    return false;
  }
  bool mustWait = parser_.HasHeaders() && !parser_.IsBodilessRead() && !responses_.empty();
  bool isBeforeBegin = !parser_.HasStarted() || parser_.IsComplete();
  if (mustWait || (isBeforeBegin && HoldsTooMuch())) {
    return false;
  }
  if (parser_.IsComplete()) {
    BeginExchange();
    return true;
  }
  if (parser_.ExpectsContinue() && !hasSentContinue_) {
    hasSentContinue_ = true;
    Write("HTTP/1.1 100 Continue\r\n\r\n");
  }
  return FeedParser();
}

bool HttpServer::Connection::FeedParser()
{
  evbuffer* input = bufferevent_get_input(socket_);
  size_t contiguous = evbuffer_get_contiguous_space(input);
  if (contiguous == 0) {
    return false;
  }
  lastActivity_ = server_.loop_.Now();
  if (!parser_.HasStarted()) {
    headBeganAt_ = lastActivity_;
  }
  const char* bytes =
    reinterpret_cast<const char*>(evbuffer_pullup(input, static_cast<ev_ssize_t>(contiguous)));
  size_t consumed = parser_.Feed(bytes, contiguous);
  evbuffer_drain(input, consumed);
  if (parser_.ParseError() != HttpParseError::None) {
    int status = StatusFor(parser_.ParseError());
    Log(LogPart::Http,
        LogLevel::Warning,
        "A request was refused with {}; its fault: {}.",
        status,
        NameOf(parser_.FaultOfHead()));
    Reject(status);
    return false;
  }
  return true;
}

void HttpServer::Connection::BeginExchange()
{
  if (memory_.IsFull()) {
    Reject(HTTP_STATUS_SERVICE_UNAVAILABLE);
    return;
  }
  hasLastRequest_ = !parser_.KeepsAlive();
  Response& response = responses_.emplace_back();
  response.mayRunBesideOthers = parser_.IsBodilessRead();
  HttpRequest request = parser_.TakeRequest();
  response.isHeadRequest = request.method == "HEAD";
  response.requestBytes = request.body.size();
  parser_.Reset();
  hasSentContinue_ = false;
  auto exchange = std::make_shared<Exchange>(*this, response, std::move(request));
  response.exchange = exchange.get();
  response.exchangeOwner = exchange;
  server_.handler_(std::move(exchange));
}

void HttpServer::Connection::Reject(int aStatus)
{
  parser_.Reset();
  hasLastRequest_ = true;
  Response& response = responses_.emplace_back();
  HttpResponse content;
  content.status = aStatus;
  if (aStatus == HTTP_STATUS_SERVICE_UNAVAILABLE) {
    content.headers.emplace_back("Retry-After", kRetryAfterSeconds);
  }
  SendHead(response, content, false);
  Complete(response);
}

void HttpServer::Connection::SendHead(Response& aResponse,
                                      const HttpResponse& aContent,
                                      bool aIsStream)
{
  std::string& head = aResponse.head;
  head = fmt::format("HTTP/1.1 {} {}\r\n", aContent.status, ReasonPhrase(aContent.status));
  for (const auto& [name, value] : aContent.headers) {
    if (!IsFramingHeader(name)) {
      head += fmt::format("{}: {}\r\n", name, value);
    }
  }
  bool hasNoBody = aContent.status == HTTP_STATUS_NO_CONTENT ||
                   aContent.status == HTTP_STATUS_NOT_MODIFIED || aContent.status < 200;
  aResponse.isChunked = aIsStream && !aResponse.isHeadRequest;
  if (aResponse.isChunked) {
    head += "Transfer-Encoding: chunked\r\n";
  } else if (!hasNoBody) {
    head += fmt::format("Content-Length: {}\r\n", aContent.body.size());
  }
  aResponse.hasHead = true;
  WriteReady();
  if (!aIsStream && !aResponse.isHeadRequest && !hasNoBody) {
    if (aResponse.isHeadWritten) {
      WriteShared(socket_, aContent.body);
    } else {
      aResponse.held += aContent.body.Text();
    }
  }
  Charge();
}

void HttpServer::Connection::Append(Response& aResponse, std::string_view aBytes)
{
  if (aResponse.isHeadWritten) {
    Write(aBytes);
  } else {
    aResponse.held += aBytes;
  }
}

void HttpServer::Connection::SendChunk(Response& aResponse, const std::string& aChunk)
{
  if (aResponse.isChunked && !aChunk.empty()) {
    Append(aResponse, fmt::format("{:x}\r\n", aChunk.size()));
    Append(aResponse, aChunk);
    Append(aResponse, "\r\n");
    Charge();
  }
}

void HttpServer::Connection::Complete(Response& aResponse)
{
  if (aResponse.isChunked) {
    Append(aResponse, "0\r\n\r\n");
  }
  aResponse.isComplete = true;
  aResponse.exchange = nullptr;
  WriteReady();
  Read();
}

void HttpServer::Connection::CutShort(Response& aResponse)
{
  aResponse.isCutShort = true;
  aResponse.exchange = nullptr;
  hasLastRequest_ = true;
  WriteReady();
}

void HttpServer::Connection::WriteReady()
{
  while (!responses_.empty() && responses_.front().hasHead) {
    Response& first = responses_.front();
    if (!first.isHeadWritten) {
      WriteHead(first);
    }
    Write(first.held);
    first.held.clear();
    if (first.isCutShort) {
      // The responses behind it cannot be written any more.
      CancelExchanges();
      CloseWhenWritten();
      return;
    }
    if (!first.isComplete) {
      return;
    }
    bool closesConnection = first.closesConnection;
    responses_.pop_front();
    if (closesConnection) {
      CloseWhenWritten();
      return;
    }
    if (responses_.empty()) {
      // The time of a head that is partly read begins here: it waited for the responses.
      lastActivity_ = headBeganAt_ = server_.loop_.Now();
    }
  }
}

void HttpServer::Connection::WriteHead(Response& aResponse)
{
  bool isLast = responses_.size() == 1;
  aResponse.closesConnection = isLast && (hasLastRequest_ || server_.isClosing_);
  hasLastRequest_ = hasLastRequest_ || aResponse.closesConnection;
  Write(aResponse.head);
  Write(aResponse.closesConnection ? "Connection: close\r\n\r\n" : "\r\n");
  aResponse.head.clear();
  aResponse.isHeadWritten = true;
  lastActivity_ = server_.loop_.Now();
}

void HttpServer::Connection::CloseWhenWritten()
{
  closesWhenWritten_ = true;
  if (evbuffer_get_length(bufferevent_get_output(socket_)) == 0) {
    server_.Close(id_);
  } else {
    Charge();
  }
}

void HttpServer::Connection::OnWritten(bufferevent* /* aSocket */, void* aContext)
{
  auto* self = static_cast<Connection*>(aContext);
  self->lastActivity_ = self->server_.loop_.Now();
  if (self->closesWhenWritten_) {
    self->server_.Close(self->id_);
    return;
  }
  self->Read();
}

void HttpServer::Connection::OnSocketEvent(bufferevent* /* aSocket */,
                                           short /* aEvents */,
                                           void* aContext)
{
  auto* self = static_cast<Connection*>(aContext);
  self->server_.Close(self->id_);
}

void HttpServer::Connection::OnOutput(evbuffer* /* aBuffer */,
                                      const evbuffer_cb_info* aInfo,
                                      void* aContext)
{
  if (aInfo->n_deleted > 0) {
    auto* self = static_cast<Connection*>(aContext);
    self->lastActivity_ = self->server_.loop_.Now();
  }
}

void HttpServer::Connection::CancelExchanges()
{
  // All exchanges are detached before the first callback: a callback may complete another one.
  std::vector<std::shared_ptr<HttpExchange>> owners;
  std::vector<std::function<void()>> callbacks;
  for (Response& response : responses_) {
    if (response.exchange != nullptr) {
      owners.push_back(response.exchangeOwner.lock());
      callbacks.push_back(response.exchange->Disconnect());
    }
  }
  responses_.clear();
  for (const auto& callback : callbacks) {
    if (callback) {
      callback();
    }
  }
}

void HttpServer::Connection::Detach()
{
  isDetached_ = true;
  memory_.Release();
  parser_.Reset();
  bufferevent_disable(socket_, EV_READ | EV_WRITE);
  bufferevent_setcb(socket_, nullptr, nullptr, nullptr, nullptr);
  CancelExchanges();
}

bool HttpServer::Connection::IsBusy(TimePoint aNow) const
{
  bool isSending = memory_.UnsentBytes() > 0 && aNow - lastActivity_ < kMaxReadStall;
  return !responses_.empty() || isSending || parser_.HasStarted();
}

ConnectionState HttpServer::Connection::State() const
{
  bool isIdle = responses_.empty() && !parser_.HasStarted() && memory_.UnsentBytes() == 0;
  return { !responses_.empty(), isIdle, lastActivity_ };
}

bool HttpServer::Connection::IsExpired(TimePoint aNow) const
{
  if (!responses_.empty() || memory_.IsPaused()) {
    return false;
  }
  // A complete request waits until the client has read the responses before it.
  if (!parser_.HasStarted() || parser_.IsComplete()) {
    return aNow - lastActivity_ > server_.limits_.idleTimeout;
  }
  // A head has this time as a whole; a body may take longer as long as bytes arrive.
  TimePoint since = parser_.HasHeaders() ? lastActivity_ : headBeganAt_;
  return aNow - since > server_.limits_.headerTimeout;
}

} // namespace dandelion
