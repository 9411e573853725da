#include "wire/WebsocketSession.h"

#include <websocketpp/client.hpp>
#include <websocketpp/config/core.hpp>
#include <websocketpp/config/core_client.hpp>
#include <websocketpp/server.hpp>

namespace dandelion {

namespace {

/// Headers of the handshake: the nonce of each side, and the listener's signature.
constexpr char kNonceHeader[] = "dandelion-nonce";
constexpr char kProofHeader[] = "dandelion-proof";
constexpr size_t kMaxMessageBytes = 24 * 1024 * 1024;
/// A hello has names, an endpoint and a signature.
constexpr size_t kMaxHelloBytes = 4 * 1024;

using Server = websocketpp::server<websocketpp::config::core>;
using Client = websocketpp::client<websocketpp::config::core_client>;

/// All sessions of the process share one websocketpp endpoint object per side.
Server& SharedServer()
{
  static Server* server = [] {
    auto* endpoint = new Server;
    endpoint->clear_access_channels(websocketpp::log::alevel::all);
    endpoint->clear_error_channels(websocketpp::log::elevel::all);
    return endpoint;
  }();
  return *server;
}

Client& SharedClient()
{
  static Client* client = [] {
    auto* endpoint = new Client;
    endpoint->clear_access_channels(websocketpp::log::alevel::all);
    endpoint->clear_error_channels(websocketpp::log::elevel::all);
    return endpoint;
  }();
  return *client;
}

template<class EndpointType>
class Session : public WebsocketSession
{
public:
  using ConnectionPtr = typename EndpointType::connection_ptr;

  Session(ConnectionPtr aConnection, const SharedKeys& aKeys, Callbacks aCallbacks)
    : connection_(std::move(aConnection))
    , keys_(aKeys)
    , callbacks_(std::move(aCallbacks))
  {
    using websocketpp::connection_hdl;
    bool isOpener = std::is_same_v<EndpointType, Client>;
    connection_->set_max_message_size(isOpener ? kMaxMessageBytes : kMaxHelloBytes);
    connection_->set_write_handler([this](connection_hdl, const char* aBytes, size_t aCount) {
      callbacks_.onWrite(std::string_view(aBytes, aCount));
      return websocketpp::lib::error_code();
    });
    connection_->set_validate_handler([this](connection_hdl) { return RespondToNonce(); });
    connection_->set_open_handler([this](connection_hdl) { OnOpen(); });
    connection_->set_message_handler(
      [this](connection_hdl, typename EndpointType::message_ptr aMessage) {
        callbacks_.onMessage(aMessage->get_payload());
      });
    connection_->set_close_handler([this](connection_hdl) { callbacks_.onClosed(); });
    connection_->set_fail_handler([this](connection_hdl) { callbacks_.onClosed(); });
  }

  ~Session() override
  {
    auto ignore = [](websocketpp::connection_hdl) {};
    connection_->set_open_handler(ignore);
    connection_->set_validate_handler([](websocketpp::connection_hdl) { return false; });
    connection_->set_close_handler(ignore);
    connection_->set_fail_handler(ignore);
    connection_->set_message_handler(
      [](websocketpp::connection_hdl, typename EndpointType::message_ptr) {});
    connection_->set_write_handler([](websocketpp::connection_hdl, const char*, size_t) {
      return websocketpp::lib::error_code();
    });
    connection_->eof();
  }

  void StartHandshake() override
  {
    if constexpr (std::is_same_v<EndpointType, Client>) {
      ownNonce_ = MakeNonce();
      connection_->append_header(kNonceHeader, ownNonce_);
      SharedClient().connect(connection_);
    } else {
      connection_->start();
    }
  }

  void Feed(const char* aBytes, size_t aCount) override { connection_->read_all(aBytes, aCount); }

  void Send(const std::string& aMessage) override
  {
    // An error means that the connection is closed, which `onClosed` reports.
    (void)connection_->send(aMessage, websocketpp::frame::opcode::binary);
  }

  void AcceptLargeMessages() override { connection_->set_max_message_size(kMaxMessageBytes); }

  std::string Challenge() const override
  {
    bool isOpener = std::is_same_v<EndpointType, Client>;
    return isOpener ? peerNonce_ + ownNonce_ : ownNonce_ + peerNonce_;
  }

private:
  /// Authenticates the listener: it signs the challenge, which contains the opener's fresh nonce.
  bool RespondToNonce()
  {
    ownNonce_ = MakeNonce();
    peerNonce_ = connection_->get_request_header(kNonceHeader);
    if (ownNonce_.empty()) {
      return false;
    }
    connection_->append_header(kNonceHeader, ownNonce_);
    connection_->append_header(kProofHeader,
                               ToHex(keys_.Sign(SignaturePurpose::LinkFromListener, Challenge())));
    return true;
  }

  void OnOpen()
  {
    if constexpr (std::is_same_v<EndpointType, Client>) {
      peerNonce_ = connection_->get_response_header(kNonceHeader);
      std::string proof = FromHex(connection_->get_response_header(kProofHeader));
      if (!keys_.Verify(SignaturePurpose::LinkFromListener, Challenge(), proof)) {
        Log(LogPart::Links, LogLevel::Warning, "A link is closed: the peer does not have our key.");
        callbacks_.onClosed();
        return;
      }
    }
    callbacks_.onOpen();
  }

  ConnectionPtr connection_;
  const SharedKeys& keys_;
  std::string ownNonce_;
  std::string peerNonce_;
  Callbacks callbacks_;
};

} // namespace

std::unique_ptr<WebsocketSession> WebsocketSession::Accept(const SharedKeys& aKeys,
                                                           Callbacks aCallbacks)
{
  return std::make_unique<Session<Server>>(
    SharedServer().get_connection(), aKeys, std::move(aCallbacks));
}

std::unique_ptr<WebsocketSession> WebsocketSession::Connect(const std::string& aHost,
                                                            const SharedKeys& aKeys,
                                                            Callbacks aCallbacks)
{
  websocketpp::lib::error_code error;
  auto connection = SharedClient().get_connection("ws://" + aHost + "/link", error);
  if (error) {
    return nullptr;
  }
  return std::make_unique<Session<Client>>(connection, aKeys, std::move(aCallbacks));
}

} // namespace dandelion
