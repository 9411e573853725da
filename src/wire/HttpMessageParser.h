/// Incremental HTTP/1.1 message parser on top of http_parser. Internal to the library.
#ifndef DANDELION_WIRE_HTTP_MESSAGE_PARSER_H
#define DANDELION_WIRE_HTTP_MESSAGE_PARSER_H

#include "wire/Http.h"
#include "wire/HttpHeadCheck.h"

#include <http_parser.h>

namespace dandelion {

enum class HttpSide
{
  Request,
  Response,
};

/// Why a message cannot be parsed.
enum class HttpParseError
{
  None,
  Malformed,
  HeaderTooLarge,
  BodyTooLarge,
};

class HttpMessageParser
{
public:
  HttpMessageParser(HttpSide aSide, const HttpLimits& aLimits);
  HttpMessageParser(const HttpMessageParser&) = delete;
  HttpMessageParser& operator=(const HttpMessageParser&) = delete;

  /// Parses bytes up to the end of one message. Returns the number of bytes consumed; the caller
  /// keeps the rest for the next message.
  size_t Feed(const char* aBytes, size_t aCount);
  /// Reports that the peer closed the connection. This completes a response without a length.
  void FeedEof();
  /// Prepares for the next message. `aIsResponseToHead`: the message answers a HEAD request and has
  /// no body.
  void Reset(bool aIsResponseToHead = false);

  bool HasStarted() const { return hasStarted_; }
  /// Bytes of the body that are held here.
  size_t BufferedBytes() const { return body_.size(); }
  /// Bytes of the whole message that are held here.
  size_t HeldBytes() const;
  bool HasHeaders() const { return hasHeaders_; }
  bool IsComplete() const { return isComplete_; }
  HttpParseError ParseError() const { return parseError_; }
  /// What is malformed in the head, where that is the reason of the error.
  HeadFault FaultOfHead() const { return headFault_; }
  /// Whether the connection stays open after this message.
  bool KeepsAlive() const { return keepsAlive_; }
  bool ExpectsContinue() const;
  /// Whether this is a GET or HEAD request without a body and without a change of the protocol.
  /// Known once `HasHeaders`.
  bool IsBodilessRead() const { return isBodilessRead_; }

  HttpRequest TakeRequest();
  HttpResponse TakeResponse();
  /// Removes and returns the body bytes received since the last call.
  std::string TakeBody() { return std::exchange(body_, {}); }
  int Status() const { return static_cast<int>(parser_.status_code); }
  const HttpHeaders& Headers() const { return headers_; }

private:
  static HttpMessageParser& Self(http_parser* aParser);
  static http_parser_settings MakeCallbacks();
  void AddHeader();
  /// Processes a part of the name of a field behind a chunked body. Returns whether it is valid.
  bool OnTrailerName(std::string_view aBytes);
  bool CountHeaderBytes(size_t aBytes);
  void AppendBody(const char* aBytes, size_t aCount);
  int OnHeadersComplete();
  void RejectHead(HeadFault aFault);

  HttpSide side_;
  HttpLimits limits_;
  http_parser parser_ = {};
  bool isResponseToHead_ = false;
  bool hasStarted_ = false;
  bool hasHeaders_ = false;
  bool isComplete_ = false;
  bool isBodilessRead_ = false;
  bool keepsAlive_ = true;
  HttpParseError parseError_ = HttpParseError::None;
  HttpHeadCheck headCheck_;
  HeadFault headFault_ = HeadFault::None;
  size_t headerBytes_ = 0;
  size_t bodyBytes_ = 0;
  std::string target_;
  std::string name_;
  std::string value_;
  bool hasValue_ = false;
  HttpHeaders headers_;
  std::string body_;
};

} // namespace dandelion

#endif
