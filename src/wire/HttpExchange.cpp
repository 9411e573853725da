#include "wire/HttpConnection.h"

namespace dandelion {

HttpServer::Exchange::Exchange(Connection& aConnection,
                               Connection::Response& aResponse,
                               HttpRequest aRequest)
  : request_(std::move(aRequest))
  , connection_(&aConnection)
  , response_(&aResponse)
{
}

HttpServer::Exchange::~Exchange()
{
  if (connection_ == nullptr) {
    return;
  }
  if (isStreaming_) {
    // `EndStream` was not called, so the client must see that the body is incomplete.
    connection_->CutShort(*response_);
    return;
  }
  // If the handler drops the exchange without a reply, the client still gets a response.
  HttpResponse response;
  response.status = TraitsOf(ErrorKind::Internal).httpStatus;
  connection_->SendHead(*response_, response, false);
  Finish();
}

void HttpServer::Exchange::Reply(const HttpResponse& aResponse)
{
  if (connection_ != nullptr && !isStreaming_) {
    connection_->SendHead(*response_, aResponse, false);
    Finish();
  }
}

void HttpServer::Exchange::BeginStream(const HttpResponse& aHead)
{
  if (connection_ != nullptr && !isStreaming_) {
    isStreaming_ = true;
    connection_->SendHead(*response_, aHead, true);
  }
}

void HttpServer::Exchange::SendChunk(const std::string& aChunk)
{
  if (connection_ != nullptr && isStreaming_) {
    connection_->SendChunk(*response_, aChunk);
  }
}

void HttpServer::Exchange::EndStream()
{
  if (connection_ != nullptr && isStreaming_) {
    Finish();
  }
}

void HttpServer::Exchange::OnClientDisconnected(std::function<void()> aCallback)
{
  onClientDisconnected_ = std::move(aCallback);
}

std::function<void()> HttpServer::Exchange::Disconnect()
{
  connection_ = nullptr;
  return std::exchange(onClientDisconnected_, nullptr);
}

void HttpServer::Exchange::Finish()
{
  Connection* connection = std::exchange(connection_, nullptr);
  onClientDisconnected_ = nullptr;
  connection->Complete(*response_);
}

} // namespace dandelion
