#include "wire/HttpHeadCheck.h"

#include "absl/strings/ascii.h"
#include "absl/strings/match.h"

#include <algorithm>

namespace dandelion {

namespace {

bool IsTokenByte(char aByte)
{
  constexpr std::string_view kSymbols = "!#$%&'*+-.^_`|~";
  auto byte = static_cast<unsigned char>(aByte);
  return absl::ascii_isalnum(byte) || kSymbols.find(aByte) != std::string_view::npos;
}

bool IsControl(char aByte)
{
  return absl::ascii_iscntrl(static_cast<unsigned char>(aByte));
}

bool IsLength(std::string_view aValue)
{
  auto isDigit = [](char aByte) { return absl::ascii_isdigit(static_cast<unsigned char>(aByte)); };
  return !aValue.empty() && std::all_of(aValue.begin(), aValue.end(), isDigit);
}

} // namespace

bool IsToken(std::string_view aName)
{
  return !aName.empty() && std::all_of(aName.begin(), aName.end(), IsTokenByte);
}

HeadFault HttpHeadCheck::Check(std::string_view aBytes)
{
  for (char byte : aBytes) {
    if (position_ == Position::Complete) {
      return HeadFault::None;
    }
    HeadFault fault = Advance(byte);
    if (fault != HeadFault::None) {
      return fault;
    }
  }
  return HeadFault::None;
}

HeadFault HttpHeadCheck::Advance(char aByte)
{
  switch (position_) {
    case Position::BeforeStartLine:
      if (aByte == '\r' || aByte == '\n') {
        return HeadFault::None;
      }
      position_ = Position::StartLine;
      return IsControl(aByte) ? HeadFault::StartLine : HeadFault::None;
    case Position::StartLine:
      if (aByte == '\n') {
        position_ = Position::LineStart;
        return HeadFault::None;
      }
      return IsControl(aByte) && aByte != '\r' ? HeadFault::StartLine : HeadFault::None;
    case Position::LineStart:
      return BeginLine(aByte);
    case Position::LastLine:
      position_ = Position::Complete;
      return aByte == '\n' ? HeadFault::None : HeadFault::HeaderName;
    case Position::Name:
      if (aByte == ':') {
        position_ = Position::Value;
        return HeadFault::None;
      }
      return IsTokenByte(aByte) ? HeadFault::None : HeadFault::HeaderName;
    case Position::Value:
      if (aByte == '\n') {
        position_ = Position::LineStart;
        return HeadFault::None;
      }
      // The parser requires a line feed behind a carriage return.
      return IsControl(aByte) && aByte != '\t' && aByte != '\r' ? HeadFault::HeaderValue
                                                                : HeadFault::None;
    case Position::Complete:
      break;
  }
  return HeadFault::None;
}

HeadFault HttpHeadCheck::BeginLine(char aByte)
{
  if (aByte == '\r' || aByte == '\n') {
    position_ = aByte == '\r' ? Position::LastLine : Position::Complete;
    return HeadFault::None;
  }
  if (hasHeaderLine_ && (aByte == ' ' || aByte == '\t')) {
    return HeadFault::FoldedLine;
  }
  position_ = Position::Name;
  hasHeaderLine_ = true;
  return IsTokenByte(aByte) ? HeadFault::None : HeadFault::HeaderName;
}

HeadFault CheckStatus(int aStatus)
{
  constexpr int kMinStatus = 100;
  constexpr int kMaxStatus = 599;
  constexpr int kSwitchingProtocols = 101;
  bool isValid = aStatus >= kMinStatus && aStatus <= kMaxStatus && aStatus != kSwitchingProtocols;
  return isValid ? HeadFault::None : HeadFault::Status;
}

HeadFault CheckFraming(int aMajorVersion, const HttpHeaders& aHeaders)
{
  if (aMajorVersion != 1) {
    return HeadFault::Version;
  }
  int codings = 0;
  for (const auto& [name, value] : aHeaders) {
    if (absl::EqualsIgnoreCase(name, "Content-Length") && !IsLength(value)) {
      return HeadFault::ContentLength;
    }
    if (absl::EqualsIgnoreCase(name, "Transfer-Encoding")) {
      ++codings;
      if (codings > 1 || !absl::EqualsIgnoreCase(value, "chunked")) {
        return HeadFault::TransferEncoding;
      }
    }
  }
  return HeadFault::None;
}

} // namespace dandelion
