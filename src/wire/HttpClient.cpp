#include "wire/ConnectionMemory.h"
#include "wire/HttpMessageParser.h"
#include "wire/HttpRequestHead.h"
#include "wire/SharedWrite.h"
#include "wire/SocketAddress.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>

#include "absl/strings/numbers.h"
#include "absl/strings/str_split.h"
#include "absl/strings/strip.h"

#include <algorithm>

namespace dandelion {

namespace {

constexpr size_t kMaxIdleConnectionsPerServer = 64;
constexpr size_t kMaxResponseBytes = 16 * 1024 * 1024;
/// Maximum of all incomplete responses together, since servers may send bytes without end on many
/// connections at a time.
constexpr size_t kMaxBufferedBytes = 64 * 1024 * 1024;
/// The same as a part of the byte budget of a small machine.
constexpr size_t kBudgetDivisor = 3;
/// Maximum number of interim and unrelated responses before the response to a request.
constexpr int kMaxSkippedResponses = 16;
/// An idle connection is discarded this long before the idle timeout that its server announced.
constexpr Duration kKeepAliveMargin = milliseconds(500);

HttpLimits ResponseLimits()
{
  HttpLimits limits;
  limits.maxBodyBytes = kMaxResponseBytes;
  return limits;
}

/// Returns the idle timeout of the response's Keep-Alive header, where it has one.
std::optional<Duration> ReadKeepAliveTimeout(const HttpHeaders& aHeaders)
{
  std::string announced = FindHeader(aHeaders, "Keep-Alive");
  for (absl::string_view part : absl::StrSplit(announced, ',')) {
    part = absl::StripAsciiWhitespace(part);
    int64_t timeout = 0;
    if (absl::ConsumePrefix(&part, "timeout=") && absl::SimpleAtoi(part, &timeout)) {
      return seconds(std::max<int64_t>(0, timeout));
    }
  }
  return std::nullopt;
}

} // namespace

struct HttpClient::Pending
{
  std::unique_ptr<Connection> connection;
  bool isHeadRequest = false;
  bool isStream = false;
  bool sawUnrelatedResponse = false;
  std::function<bool(int, const HttpHeaders&)> isResponseToRequest;
  Timer timeoutTimer;
  OnResult onResult;
  OnChunk onChunk;
};

/// One connection to a server, either idle or with one request in progress.
class HttpClient::Connection
{
public:
  Connection(HttpClient& aClient, Endpoint aServer)
    : client_(aClient)
    , server_(std::move(aServer))
    , socket_(bufferevent_socket_new(aClient.loop_.Base(), -1, BEV_OPT_CLOSE_ON_FREE))
    , parser_(HttpSide::Response, ResponseLimits())
    , memory_(aClient.memory_, socket_, {}, [this] { Read(); })
  {
    // The bodies of requests are charged to those who sent them.
    memory_.ExcludeOutput();
    bufferevent_setcb(socket_, &Connection::OnReadable, nullptr, &Connection::OnSocketEvent, this);
    evbuffer_add_cb(bufferevent_get_output(socket_), &Connection::OnOutput, this);
    bufferevent_enable(socket_, EV_READ | EV_WRITE);
    sockaddr_in address = ToSocketAddress(server_);
    hasFailed_ = bufferevent_socket_connect(
                   socket_, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0;
  }
  ~Connection()
  {
    client_.bufferedBytes_ -= bufferedBytes_;
    memory_.Release();
    bufferevent_free(socket_);
  }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  void Begin(RequestId aId, Pending& aPending, const std::string& aHead, const SharedString& aBody)
  {
    request_ = aId;
    pending_ = &aPending;
    hasSent_ = false;
    ++requests_;
    skippedResponses_ = 0;
    parser_.Reset(aPending.isHeadRequest);
    bufferevent_write(socket_, aHead.data(), aHead.size());
    WriteShared(socket_, aBody);
  }
  void MarkIdle(TimePoint aNow)
  {
    request_ = 0;
    pending_ = nullptr;
    idleSince_ = aNow;
  }
  void Detach()
  {
    memory_.Release();
    bufferevent_disable(socket_, EV_READ | EV_WRITE);
    bufferevent_setcb(socket_, nullptr, nullptr, nullptr, nullptr);
    pending_ = nullptr;
  }
  bool IsUsable(TimePoint aNow, Duration aMaxIdleTime) const
  {
    Duration maxIdleTime = aMaxIdleTime;
    if (announcedIdleTime_.has_value()) {
      maxIdleTime = std::min(maxIdleTime, *announcedIdleTime_ - kKeepAliveMargin);
    }
    return aNow - idleSince_ < maxIdleTime;
  }
  const Endpoint& Server() const { return server_; }
  bool HasFailed() const { return hasFailed_; }
  bool HasSent() const { return hasSent_; }
  size_t BufferedBytes() const { return bufferedBytes_; }
  void DropBufferedBytes()
  {
    parser_.Reset();
    CountBufferedBytes();
  }

private:
  static void OnOutput(evbuffer* /* aBuffer */, const evbuffer_cb_info* aInfo, void* aContext)
  {
    if (aInfo->n_deleted > 0) {
      static_cast<Connection*>(aContext)->hasSent_ = true;
    }
  }
  static void OnReadable(bufferevent* /* aSocket */, void* aContext)
  {
    static_cast<Connection*>(aContext)->Read();
  }
  static void OnSocketEvent(bufferevent* /* aSocket */, short aEvents, void* aContext)
  {
    auto* self = static_cast<Connection*>(aContext);
    if ((aEvents & BEV_EVENT_CONNECTED) != 0) {
      DisableNagle(bufferevent_getfd(self->socket_));
      return;
    }
    self->OnDisconnected((aEvents & BEV_EVENT_EOF) != 0);
  }

  void Read();
  void OnDisconnected(bool aIsEof);
  bool SkipResponse();
  void CountBufferedBytes();
  void DeliverBody();
  void Complete(bool aKeepsAlive);
  void Fail(std::string aParseFault = {})
  {
    client_.Finish(request_, HttpResult{ HttpOutcome::Lost, {}, true, std::move(aParseFault) });
  }

  HttpClient& client_;
  Endpoint server_;
  bufferevent* socket_;
  HttpMessageParser parser_;
  ConnectionMemory memory_;
  RequestId request_ = 0;
  Pending* pending_ = nullptr;
  /// Requests begun on this connection.
  int requests_ = 0;
  /// Responses skipped since the latest request.
  int skippedResponses_ = 0;
  /// The part of the client's buffered bytes that this connection holds.
  size_t bufferedBytes_ = 0;
  bool hasSent_ = false;
  bool hasFailed_ = false;
  TimePoint idleSince_;
  std::optional<Duration> announcedIdleTime_;
};

void HttpClient::Connection::Read()
{
  if (pending_ == nullptr) {
    // No request is in progress, so these bytes do not belong to a response.
    client_.RemoveIdle(this);
    return;
  }
  evbuffer* input = bufferevent_get_input(socket_);
  while (evbuffer_get_length(input) > 0) {
    size_t contiguous = evbuffer_get_contiguous_space(input);
    const char* bytes =
      reinterpret_cast<const char*>(evbuffer_pullup(input, static_cast<ev_ssize_t>(contiguous)));
    evbuffer_drain(input, parser_.Feed(bytes, contiguous));
    if (parser_.ParseError() != HttpParseError::None) {
      Fail(std::string(NameOf(parser_.FaultOfHead())));
      return;
    }
    DeliverBody();
    CountBufferedBytes();
    client_.LimitBufferedBytes();
    if (pending_ == nullptr) {
      // This response was the largest.
      return;
    }
    if (skippedResponses_ > kMaxSkippedResponses) {
      Fail();
      return;
    }
    if (parser_.IsComplete() && !SkipResponse()) {
      bool isDrained = evbuffer_get_length(input) == 0 &&
                       evbuffer_get_length(bufferevent_get_output(socket_)) == 0;
      Complete(isDrained && parser_.KeepsAlive());
      return;
    }
  }
  memory_.ContinueReading();
}

/// Skips an interim (1xx) response, and a response that belongs to another request. Returns whether
/// the response was skipped.
bool HttpClient::Connection::SkipResponse()
{
  constexpr int kFirstFinalStatus = 200;
  bool isInterim = parser_.Status() < kFirstFinalStatus;
  bool isUnrelated = !isInterim && pending_->isResponseToRequest &&
                     !pending_->isResponseToRequest(parser_.Status(), parser_.Headers());
  if (!isInterim && !isUnrelated) {
    return false;
  }
  ++skippedResponses_;
  pending_->sawUnrelatedResponse = pending_->sawUnrelatedResponse || isUnrelated;
  parser_.Reset(pending_->isHeadRequest);
  return true;
}

void HttpClient::Connection::DeliverBody()
{
  if (!pending_->isStream || !parser_.HasHeaders()) {
    return;
  }
  std::string body = parser_.TakeBody();
  if (!body.empty()) {
    // The callback may cancel the request, which destroys `pending_->onChunk`.
    OnChunk onChunk = pending_->onChunk;
    onChunk(body);
  }
}

void HttpClient::Connection::CountBufferedBytes()
{
  client_.bufferedBytes_ += parser_.BufferedBytes() - bufferedBytes_;
  bufferedBytes_ = parser_.BufferedBytes();
  constexpr bool kIsInProgress = true;
  memory_.Charge(bufferedBytes_, kIsInProgress);
}

void HttpClient::Connection::Complete(bool aKeepsAlive)
{
  HttpResult result{ HttpOutcome::Answered, parser_.TakeResponse(), requests_ == 1 };
  CountBufferedBytes();
  announcedIdleTime_ = ReadKeepAliveTimeout(result.response.headers);
  RequestId id = request_;
  bool isReusable = aKeepsAlive && !pending_->sawUnrelatedResponse;
  auto found = client_.pending_.find(id);
  std::unique_ptr<Connection> self = std::move(found->second->connection);
  if (isReusable) {
    client_.ReturnToPool(std::move(self));
  } else {
    client_.DeleteLater(std::move(self));
  }
  client_.Finish(id, std::move(result));
}

void HttpClient::Connection::OnDisconnected(bool aIsEof)
{
  if (pending_ == nullptr) {
    client_.RemoveIdle(this);
    return;
  }
  if (aIsEof && parser_.HasHeaders()) {
    parser_.FeedEof();
    if (parser_.IsComplete() && !SkipResponse()) {
      Complete(false);
      return;
    }
  }
  client_.Finish(request_, HttpResult{ hasSent_ ? HttpOutcome::Lost : HttpOutcome::NotSent, {} });
}

HttpClient::HttpClient(Loop& aLoop, MemoryGuard* aMemory)
  : loop_(aLoop)
  , memory_(aMemory)
  , maxBufferedBytes_(kMaxBufferedBytes)
{
  if (memory_ != nullptr) {
    maxBufferedBytes_ = std::min(kMaxBufferedBytes, memory_->Budget() / kBudgetDivisor);
  }
}

HttpClient::~HttpClient()
{
  while (!pending_.empty()) {
    Cancel(pending_.begin()->first);
  }
}

HttpClient::RequestId HttpClient::Send(const Endpoint& aServer,
                                       const HttpRequest& aRequest,
                                       Duration aTimeout,
                                       OnResult aOnResult)
{
  HttpSendOptions options;
  options.timeout = aTimeout;
  return Send(aServer, aRequest, options, std::move(aOnResult));
}

HttpClient::RequestId HttpClient::Send(const Endpoint& aServer,
                                       const HttpRequest& aRequest,
                                       const HttpSendOptions& aOptions,
                                       OnResult aOnResult)
{
  auto pending = std::make_unique<Pending>();
  pending->onResult = std::move(aOnResult);
  pending->isResponseToRequest = aOptions.isResponseToRequest;
  RequestId id = nextId_;
  pending->timeoutTimer = loop_.After(aOptions.timeout, [this, id] { FinishWithoutResponse(id); });
  return Begin(aServer, aRequest, aOptions.maxIdleTime, std::move(pending));
}

HttpClient::RequestId HttpClient::Stream(const Endpoint& aServer,
                                         const HttpRequest& aRequest,
                                         OnChunk aOnChunk,
                                         OnResult aOnEnd)
{
  auto pending = std::make_unique<Pending>();
  pending->isStream = true;
  pending->onChunk = std::move(aOnChunk);
  pending->onResult = std::move(aOnEnd);
  return Begin(aServer, aRequest, HttpSendOptions().maxIdleTime, std::move(pending));
}

HttpClient::RequestId HttpClient::Begin(const Endpoint& aServer,
                                        const HttpRequest& aRequest,
                                        Duration aMaxIdleTime,
                                        std::unique_ptr<Pending> aPending)
{
  RequestId id = nextId_++;
  Pending& pending = *aPending;
  pending.isHeadRequest = aRequest.method == "HEAD";
  pending.connection = TakeIdle(aServer, aMaxIdleTime);
  if (pending.connection == nullptr) {
    ++openedConnections_;
    pending.connection = std::make_unique<Connection>(*this, aServer);
  }
  pending_[id] = std::move(aPending);
  pending.connection->Begin(id, pending, RequestHead(aRequest, aServer), aRequest.body);
  if (pending.connection->HasFailed()) {
    // The result must be delivered from the loop, not from within this call.
    pending.timeoutTimer = loop_.After(Duration::zero(), [this, id] { FinishWithoutResponse(id); });
  }
  return id;
}

std::unique_ptr<HttpClient::Connection> HttpClient::TakeIdle(const Endpoint& aServer,
                                                             Duration aMaxIdleTime)
{
  auto found = idle_.find(aServer);
  if (found == idle_.end()) {
    return nullptr;
  }
  TimePoint now = loop_.Now();
  auto& connections = found->second;
  // Connections are ordered by last use. If the last one was idle for too long, so were all others.
  while (!connections.empty()) {
    std::unique_ptr<Connection> connection = std::move(connections.back());
    connections.pop_back();
    if (connection->IsUsable(now, aMaxIdleTime)) {
      return connection;
    }
    if (connection->IsUsable(now, HttpSendOptions().maxIdleTime)) {
      // Idle for too long for this request, but usable for requests with the default limit.
      connections.push_back(std::move(connection));
      return nullptr;
    }
    DeleteLater(std::move(connection));
  }
  return nullptr;
}

void HttpClient::ReturnToPool(std::unique_ptr<Connection> aConnection)
{
  auto& connections = idle_[aConnection->Server()];
  if (connections.size() >= kMaxIdleConnectionsPerServer) {
    DeleteLater(std::move(aConnection));
    return;
  }
  aConnection->MarkIdle(loop_.Now());
  connections.push_back(std::move(aConnection));
}

void HttpClient::RemoveIdle(Connection* aConnection)
{
  auto& connections = idle_[aConnection->Server()];
  auto isThis = [&](const auto& aOther) { return aOther.get() == aConnection; };
  auto found = std::find_if(connections.begin(), connections.end(), isThis);
  if (found != connections.end()) {
    std::unique_ptr<Connection> dropped = std::move(*found);
    connections.erase(found);
    DeleteLater(std::move(dropped));
  }
}

void HttpClient::Cancel(RequestId aId)
{
  auto found = pending_.find(aId);
  if (found == pending_.end()) {
    return;
  }
  std::unique_ptr<Pending> pending = std::move(found->second);
  pending_.erase(found);
  if (pending->connection != nullptr) {
    DeleteLater(std::move(pending->connection));
  }
}

void HttpClient::FailUnsent()
{
  std::vector<RequestId> unsent;
  for (const auto& [id, pending] : pending_) {
    if (!pending->connection->HasSent()) {
      unsent.push_back(id);
    }
  }
  for (RequestId id : unsent) {
    FinishWithoutResponse(id);
  }
}

void HttpClient::FinishWithoutResponse(RequestId aId)
{
  auto found = pending_.find(aId);
  if (found != pending_.end()) {
    bool hasSent = found->second->connection->HasSent();
    Finish(aId, HttpResult{ hasSent ? HttpOutcome::Lost : HttpOutcome::NotSent, {} });
  }
}

void HttpClient::LimitBufferedBytes()
{
  while (bufferedBytes_ > maxBufferedBytes_) {
    auto isSmaller = [](const auto& aA, const auto& aB) {
      return aA.second->connection->BufferedBytes() < aB.second->connection->BufferedBytes();
    };
    auto largest = std::max_element(pending_.begin(), pending_.end(), isSmaller);
    if (largest == pending_.end() || largest->second->connection->BufferedBytes() == 0) {
      return;
    }
    largest->second->connection->DropBufferedBytes();
    Finish(largest->first, HttpResult{ HttpOutcome::Lost, {} });
  }
}

void HttpClient::Finish(RequestId aId, HttpResult aResult)
{
  auto found = pending_.find(aId);
  if (found == pending_.end()) {
    return;
  }
  std::unique_ptr<Pending> pending = std::move(found->second);
  pending_.erase(found);
  if (pending->connection != nullptr) {
    DeleteLater(std::move(pending->connection));
  }
  pending->timeoutTimer.Cancel();
  pending->onResult(aResult);
}

void HttpClient::DeleteLater(std::unique_ptr<Connection> aConnection)
{
  // libevent may be inside a callback of this connection, so it is deleted from the loop.
  aConnection->Detach();
  closed_.push_back(std::move(aConnection));
  if (!cleanupTimer_.IsPending()) {
    cleanupTimer_ = loop_.After(Duration::zero(), [this] {
      cleanupTimer_.Cancel();
      closed_.clear();
    });
  }
}

} // namespace dandelion
