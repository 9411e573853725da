/// Connections of `HttpServer` and the exchanges on them. Internal to the library.
#ifndef DANDELION_WIRE_HTTP_CONNECTION_H
#define DANDELION_WIRE_HTTP_CONNECTION_H

#include "wire/ConnectionMemory.h"
#include "wire/HttpMessageParser.h"

#include <list>

namespace dandelion {

/// One client connection. Its requests are begun in their order, and their responses are written in
/// that order. Requests run at the same time only if all of them are reads without a body; any
/// other request is begun after those before it have been answered.
class HttpServer::Connection
{
public:
  /// A request that was begun and its response, as far as it is known.
  struct Response
  {
    /// Null once the handler has completed or dropped the exchange.
    Exchange* exchange = nullptr;
    /// Used to keep the exchange alive while its handler is notified of a disconnect.
    std::weak_ptr<HttpExchange> exchangeOwner;
    bool mayRunBesideOthers = false;
    bool isHeadRequest = false;
    bool isChunked = false;
    bool hasHead = false;
    bool isHeadWritten = false;
    bool isComplete = false;
    /// The handler dropped the exchange within a stream.
    bool isCutShort = false;
    bool closesConnection = false;
    /// Size of the request's body.
    size_t requestBytes = 0;
    /// Status line and headers without the `Connection` header, which is decided when the head is
    /// written.
    std::string head;
    /// Bytes behind the head that wait for the responses before this one.
    std::string held;
  };

  Connection(HttpServer& aServer, ConnectionId aId, int aSocket);
  ~Connection();
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  /// These are called by the exchange of the response.
  void SendHead(Response& aResponse, const HttpResponse& aContent, bool aIsStream);
  void SendChunk(Response& aResponse, const std::string& aChunk);
  void Complete(Response& aResponse);
  /// Ends the connection where the response was cut off, so that its client sees that it is
  /// incomplete. The responses before it are written first.
  void CutShort(Response& aResponse);

  /// Stops all socket callbacks and notifies the handler that the client has disconnected.
  void Detach();

  /// Whether a request is being read or answered, or an answer is still being sent to a client that
  /// reads it.
  bool IsBusy(TimePoint aNow) const;
  /// What matters for the choice of a connection to close for a new one.
  ConnectionState State() const;
  bool IsExpired(TimePoint aNow) const;

private:
  void Write(std::string_view aBytes);
  void Read();
  /// Returns whether another step may follow.
  bool ReadStep();
  bool MayReadNext() const;
  /// Whether the responses that are not yet sent take too many bytes for another request.
  bool HoldsTooMuch() const;
  bool FeedParser();
  void BeginExchange();
  void Reject(int aStatus);
  /// Tells the memory account what this connection holds.
  void Charge();
  /// Refuses the request that is being read, or closes the connection if there is none.
  void Drop();
  void OnRoom();
  /// Writes bytes behind the head of a response, or holds them until the head is written.
  void Append(Response& aResponse, std::string_view aBytes);
  /// Writes the responses whose turn it is.
  void WriteReady();
  void WriteHead(Response& aResponse);
  void CloseWhenWritten();
  /// Cancels all requests in progress.
  void CancelExchanges();
  static void OnReadable(bufferevent* aSocket, void* aContext);
  static void OnWritten(bufferevent* aSocket, void* aContext);
  static void OnSocketEvent(bufferevent* aSocket, short aEvents, void* aContext);
  static void OnOutput(evbuffer* aBuffer, const evbuffer_cb_info* aInfo, void* aContext);

  HttpServer& server_;
  ConnectionId id_;
  bufferevent* socket_;
  HttpMessageParser parser_;
  ConnectionMemory memory_;
  /// In the order of the requests. The last one may be the error of an invalid request.
  std::list<Response> responses_;
  /// The last response is known: bytes behind its request count as unread.
  bool hasLastRequest_ = false;
  bool closesWhenWritten_ = false;
  bool isDetached_ = false;
  bool hasSentContinue_ = false;
  bool isReading_ = false;
  /// When bytes were last received, or sent.
  TimePoint lastActivity_;
  TimePoint headBeganAt_;
};

/// Owned by the handler. `connection_` is null once the connection is closed or the response is
/// complete.
class HttpServer::Exchange : public HttpExchange
{
public:
  Exchange(Connection& aConnection, Connection::Response& aResponse, HttpRequest aRequest);
  ~Exchange() override;

  const HttpRequest& Request() const override { return request_; }
  void Reply(const HttpResponse& aResponse) override;
  void BeginStream(const HttpResponse& aHead) override;
  void SendChunk(const std::string& aChunk) override;
  void EndStream() override;
  void OnClientDisconnected(std::function<void()> aCallback) override;

  /// Detaches the exchange from its connection and returns the callback of the handler.
  std::function<void()> Disconnect();

private:
  void Finish();

  HttpRequest request_;
  Connection* connection_;
  Connection::Response* response_;
  bool isStreaming_ = false;
  std::function<void()> onClientDisconnected_;
};

} // namespace dandelion

#endif
