/// Decides whether the head of an HTTP/1.1 message is well formed (RFC 9112, sections 2 to 6).
///
/// The parser tolerates heads that other receivers understand differently. A message with such a
/// head is not processed any further, so that it cannot be passed on beside the node's own framing.
#ifndef DANDELION_WIRE_HTTP_HEAD_CHECK_H
#define DANDELION_WIRE_HTTP_HEAD_CHECK_H

#include "wire/Http.h"

#include "kernel/Kernel.h"

#include <string_view>

namespace dandelion {

enum class HeadFault
{
  None,
  StartLine,
  HeaderName,
  HeaderValue,
  FoldedLine,
  Version,
  Status,
  ContentLength,
  TransferEncoding,
};

template<>
struct EnumNames<HeadFault>
{
  static constexpr EnumName<HeadFault> kTable[] = {
    { HeadFault::None, "not in its headers" },
    { HeadFault::StartLine, "a control character in the start line" },
    { HeadFault::HeaderName, "a header name that is not a token" },
    { HeadFault::HeaderValue, "a control character in a header value" },
    { HeadFault::FoldedLine, "a folded header line" },
    { HeadFault::Version, "a version other than HTTP/1" },
    { HeadFault::Status, "a status that is not in the protocol" },
    { HeadFault::ContentLength, "an invalid Content-Length" },
    { HeadFault::TransferEncoding, "a Transfer-Encoding other than chunked" },
  };
};

/// Checks the lines of one head as its bytes arrive.
class HttpHeadCheck
{
public:
  /// Checks the next bytes of a message, up to the end of its head.
  HeadFault Check(std::string_view aBytes);

private:
  enum class Position
  {
    /// Empty lines before the start line are ignored.
    BeforeStartLine,
    StartLine,
    LineStart,
    /// Behind the carriage return of the empty line that ends the head.
    LastLine,
    Name,
    Value,
    Complete,
  };

  HeadFault Advance(char aByte);
  HeadFault BeginLine(char aByte);

  Position position_ = Position::BeforeStartLine;
  /// Whether a header line came before, which a line that begins with white space continues.
  bool hasHeaderLine_ = false;
};

/// Whether the name of a header or of a trailer field is valid.
bool IsToken(std::string_view aName);

/// Checks the status of a response. A switch to another protocol (101) is never asked for.
HeadFault CheckStatus(int aStatus);

/// Checks the version and the headers that frame the body. The parser has checked that there are
/// not several of them, except for repeated codings.
HeadFault CheckFraming(int aMajorVersion, const HttpHeaders& aHeaders);

} // namespace dandelion

#endif
