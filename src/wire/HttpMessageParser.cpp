#include "wire/HttpMessageParser.h"

#include <algorithm>

namespace dandelion {

namespace {

/// Each header costs memory beyond its bytes, so many short ones need a limit of their own. The
/// shortest one takes this many bytes: a name, a colon and the end of the line. So no head within
/// the limit of bytes has too many headers.
constexpr size_t kMinHeaderBytes = 4;
/// Smaller bodies grow by the usual doubling.
constexpr size_t kMinReservedBytes = 256 * 1024;
/// Memory reserved for a body of announced length, as a multiple of what has arrived.
constexpr size_t kMaxReserveFactor = 8;

} // namespace

HttpMessageParser::HttpMessageParser(HttpSide aSide, const HttpLimits& aLimits)
  : side_(aSide)
  , limits_(aLimits)
{
  Reset();
}

void HttpMessageParser::Reset(bool aIsResponseToHead)
{
  http_parser_init(&parser_, side_ == HttpSide::Request ? HTTP_REQUEST : HTTP_RESPONSE);
  parser_.data = this;
  isResponseToHead_ = aIsResponseToHead;
  hasStarted_ = hasHeaders_ = isComplete_ = isBodilessRead_ = hasValue_ = false;
  keepsAlive_ = true;
  parseError_ = HttpParseError::None;
  headCheck_ = HttpHeadCheck();
  headFault_ = HeadFault::None;
  headerBytes_ = bodyBytes_ = 0;
  target_.clear();
  name_.clear();
  value_.clear();
  // Their memory is released as well: the next message may need none.
  HttpHeaders().swap(headers_);
  std::string().swap(body_);
}

HttpMessageParser& HttpMessageParser::Self(http_parser* aParser)
{
  return *static_cast<HttpMessageParser*>(aParser->data);
}

http_parser_settings HttpMessageParser::MakeCallbacks()
{
  http_parser_settings settings;
  http_parser_settings_init(&settings);
  settings.on_message_begin = [](http_parser* aParser) {
    Self(aParser).hasStarted_ = true;
    return 0;
  };
  settings.on_url = [](http_parser* aParser, const char* aBytes, size_t aCount) {
    HttpMessageParser& self = Self(aParser);
    self.target_.append(aBytes, aCount);
    return self.CountHeaderBytes(aCount) ? 0 : 1;
  };
  settings.on_header_field = [](http_parser* aParser, const char* aBytes, size_t aCount) {
    HttpMessageParser& self = Self(aParser);
    if (self.hasHeaders_) {
      return self.OnTrailerName(std::string_view(aBytes, aCount)) ? 0 : 1;
    }
    if (self.hasValue_) {
      self.AddHeader();
    }
    self.name_.append(aBytes, aCount);
    return self.CountHeaderBytes(aCount) ? 0 : 1;
  };
  settings.on_header_value = [](http_parser* aParser, const char* aBytes, size_t aCount) {
    HttpMessageParser& self = Self(aParser);
    if (!self.hasHeaders_) {
      self.hasValue_ = true;
      self.value_.append(aBytes, aCount);
    }
    return self.CountHeaderBytes(aCount) ? 0 : 1;
  };
  settings.on_headers_complete = [](http_parser* aParser) {
    return Self(aParser).OnHeadersComplete();
  };
  settings.on_body = [](http_parser* aParser, const char* aBytes, size_t aCount) {
    HttpMessageParser& self = Self(aParser);
    self.bodyBytes_ += aCount;
    if (self.bodyBytes_ > self.limits_.maxBodyBytes) {
      self.parseError_ = HttpParseError::BodyTooLarge;
      return 1;
    }
    self.AppendBody(aBytes, aCount);
    return 0;
  };
  settings.on_message_complete = [](http_parser* aParser) {
    HttpMessageParser& self = Self(aParser);
    self.isComplete_ = true;
    self.keepsAlive_ = http_should_keep_alive(aParser) != 0;
    // The bytes that follow belong to the next message.
    http_parser_pause(aParser, 1);
    return 0;
  };
  return settings;
}

void HttpMessageParser::AddHeader()
{
  // Trailing white space is not part of the value.
  size_t end = value_.find_last_not_of(" \t");
  value_.resize(end == std::string::npos ? 0 : end + 1);
  headers_.emplace_back(std::move(name_), std::move(value_));
  name_.clear();
  value_.clear();
  hasValue_ = false;
}

bool HttpMessageParser::OnTrailerName(std::string_view aBytes)
{
  // The fields behind a chunked body are checked and dropped: as headers, they could change what
  // the message means.
  if (!aBytes.empty() && !IsToken(aBytes)) {
    RejectHead(HeadFault::HeaderName);
    return false;
  }
  return CountHeaderBytes(aBytes.size());
}

void HttpMessageParser::AppendBody(const char* aBytes, size_t aCount)
{
  size_t needed = body_.size() + aCount;
  if (needed > body_.capacity() && needed >= kMinReservedBytes) {
    // `content_length` is what is left of the body behind these bytes.
    bool isAnnounced = (parser_.flags & F_CHUNKED) == 0 && parser_.content_length != ULLONG_MAX;
    // Memory that is reserved is not used before the bytes arrive, but a client that announces much
    // and sends little must not reserve all of it.
    size_t whole =
      isAnnounced ? std::min<uint64_t>(needed + parser_.content_length, kMaxReserveFactor * needed)
                  : 2 * needed;
    body_.reserve(std::max(needed, std::min(limits_.maxBodyBytes, whole)));
  }
  body_.append(aBytes, aCount);
}

size_t HttpMessageParser::HeldBytes() const
{
  return body_.size() + headerBytes_ + headers_.capacity() * sizeof(HttpHeaders::value_type);
}

bool HttpMessageParser::CountHeaderBytes(size_t aBytes)
{
  headerBytes_ += aBytes;
  bool hasTooMany = headers_.size() > limits_.maxHeaderBytes / kMinHeaderBytes;
  if (headerBytes_ > limits_.maxHeaderBytes || hasTooMany) {
    parseError_ = HttpParseError::HeaderTooLarge;
    return false;
  }
  return true;
}

void HttpMessageParser::RejectHead(HeadFault aFault)
{
  parseError_ = HttpParseError::Malformed;
  headFault_ = aFault;
}

int HttpMessageParser::OnHeadersComplete()
{
  if (hasValue_ || !name_.empty()) {
    AddHeader();
  }
  hasHeaders_ = true;
  HeadFault fault = CheckFraming(parser_.http_major, headers_);
  if (side_ == HttpSide::Response && fault == HeadFault::None) {
    fault = CheckStatus(Status());
  }
  if (fault != HeadFault::None) {
    RejectHead(fault);
    return -1;
  }
  bool isTooLong = parser_.content_length != ULLONG_MAX && (parser_.flags & F_CHUNKED) == 0 &&
                   parser_.content_length > limits_.maxBodyBytes;
  if (isTooLong) {
    parseError_ = HttpParseError::BodyTooLarge;
    return -1;
  }
  bool isRead = parser_.method == HTTP_GET || parser_.method == HTTP_HEAD;
  bool hasBody = (parser_.flags & F_CHUNKED) != 0 ||
                 (parser_.content_length != 0 && parser_.content_length != ULLONG_MAX);
  isBodilessRead_ = side_ == HttpSide::Request && isRead && !hasBody && parser_.upgrade == 0;
  constexpr int kNoBody = 1;
  return isResponseToHead_ ? kNoBody : 0;
}

size_t HttpMessageParser::Feed(const char* aBytes, size_t aCount)
{
  static const http_parser_settings kCallbacks = MakeCallbacks();
  HeadFault fault = headCheck_.Check(std::string_view(aBytes, aCount));
  if (fault != HeadFault::None) {
    RejectHead(fault);
    return aCount;
  }
  size_t consumed = http_parser_execute(&parser_, &kCallbacks, aBytes, aCount);
  http_errno error = HTTP_PARSER_ERRNO(&parser_);
  bool isBroken = error != HPE_OK && error != HPE_PAUSED;
  // A response that switches to another protocol is an error, too.
  isBroken = isBroken || (side_ == HttpSide::Response && parser_.upgrade != 0);
  if (isBroken && parseError_ == HttpParseError::None) {
    parseError_ =
      error == HPE_HEADER_OVERFLOW ? HttpParseError::HeaderTooLarge : HttpParseError::Malformed;
  }
  return consumed;
}

void HttpMessageParser::FeedEof()
{
  if (!isComplete_ && parseError_ == HttpParseError::None) {
    Feed("", 0);
    if (!isComplete_) {
      parseError_ = HttpParseError::Malformed;
    }
  }
}

bool HttpMessageParser::ExpectsContinue() const
{
  return hasHeaders_ && !isComplete_ && !FindHeader(headers_, "Expect").empty();
}

HttpRequest HttpMessageParser::TakeRequest()
{
  HttpRequest request;
  request.method = http_method_str(static_cast<http_method>(parser_.method));
  request.target = std::move(target_);
  request.headers = std::move(headers_);
  request.body = TakeBody();
  return request;
}

HttpResponse HttpMessageParser::TakeResponse()
{
  HttpResponse response;
  response.status = Status();
  response.headers = std::move(headers_);
  response.body = TakeBody();
  return response;
}

} // namespace dandelion
