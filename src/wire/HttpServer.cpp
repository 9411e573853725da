#include "wire/HttpConnection.h"
#include "wire/SocketAddress.h"

#include "absl/strings/match.h"

#include <event2/event.h>
#include <event2/listener.h>

#include <sys/socket.h>

namespace dandelion {

namespace {

constexpr int kBacklog = 1024;
constexpr Duration kExpiryCheckPeriod = seconds(1);

} // namespace

std::string FindHeader(const HttpHeaders& aHeaders, std::string_view aName)
{
  for (const auto& [name, value] : aHeaders) {
    if (absl::EqualsIgnoreCase(name, absl::string_view(aName.data(), aName.size()))) {
      return value;
    }
  }
  return "";
}

HttpServer::HttpServer(Loop& aLoop, HttpHandler aHandler, HttpCapacity aCapacity)
  : loop_(aLoop)
  , handler_(std::move(aHandler))
  , capacity_(aCapacity)
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
  if (connections_.size() >= capacity_.maxConnections && !MakeRoom()) {
    evutil_closesocket(aSocket);
    return;
  }
  DisableNagle(aSocket);
  ConnectionId id = nextId_++;
  connections_[id] = std::make_unique<Connection>(*this, id, aSocket);
}

bool HttpServer::MakeRoom()
{
  std::map<ConnectionId, ConnectionState> states;
  for (const auto& [id, connection] : connections_) {
    states[id] = connection->State();
  }
  std::optional<ConnectionId> chosen = ChooseConnectionToClose(states, loop_.Now());
  if (chosen.has_value()) {
    Close(*chosen);
  }
  return chosen.has_value();
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
    if (!connection->IsBusy(loop_.Now())) {
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
    busy += connection->IsBusy(loop_.Now()) ? 1 : 0;
  }
  return busy;
}

} // namespace dandelion
