#include "codec/CborFields.h"

namespace dandelion {

namespace {

/// Nesting limit for CBOR items. No message type nests deeper than this.
constexpr int kMaxNestingDepth = 24;

/// Checks the nesting depth of CBOR bytes before they are parsed. A malicious peer could nest
/// arrays so deeply that the recursive parser overflows the stack.
class NestingChecker
{
public:
  explicit NestingChecker(std::string_view aBytes, size_t aMinLargeBytes = SIZE_MAX)
    : bytes_(aBytes)
    , minLargeBytes_(aMinLargeBytes)
  {
  }

  bool IsWithinLimit() { return CheckItem(0) && position_ == bytes_.size(); }
  /// The first byte string of at least the given size that `IsWithinLimit` has met.
  const std::optional<CborByteString>& LargeByteString() const { return large_; }

private:
  static constexpr uint8_t kMajorTypeShift = 5;
  static constexpr uint8_t kAdditionalInfoMask = 0x1f;
  static constexpr uint8_t kMaxArgumentInfo = 27;
  static constexpr uint8_t kMinWideArgumentInfo = 24;

  bool ReadArgument(uint8_t aAdditionalInfo, uint64_t& aValue)
  {
    if (aAdditionalInfo < kMinWideArgumentInfo) {
      aValue = aAdditionalInfo;
      return true;
    }
    if (aAdditionalInfo > kMaxArgumentInfo) {
      return false;
    }
    size_t width = size_t{ 1 } << (aAdditionalInfo - kMinWideArgumentInfo);
    if (bytes_.size() - position_ < width) {
      return false;
    }
    aValue = 0;
    for (size_t i = 0; i < width; ++i) {
      aValue = (aValue << 8) | static_cast<uint8_t>(bytes_[position_++]);
    }
    return true;
  }

  bool CheckItem(int aDepth)
  {
    if (aDepth > kMaxNestingDepth || position_ >= bytes_.size()) {
      return false;
    }
    size_t head = position_;
    uint8_t initialByte = static_cast<uint8_t>(bytes_[position_++]);
    uint8_t majorType = initialByte >> kMajorTypeShift;
    uint64_t argument = 0;
    if (!ReadArgument(initialByte & kAdditionalInfoMask, argument)) {
      return false;
    }
    switch (majorType) {
      case 2: // Byte string.
        if (!large_.has_value() && argument >= minLargeBytes_) {
          large_ = CborByteString{ head, position_, argument };
        }
        return SkipBytes(argument);
      case 3: // Text string.
        return SkipBytes(argument);
      case 4: // Array.
        return CheckItems(argument, aDepth);
      case 5: // Map.
      case 6: // Tag.
        // The format does not use maps and tags.
        return false;
      default:
        return true;
    }
  }

  bool SkipBytes(uint64_t aCount)
  {
    if (aCount > bytes_.size() - position_) {
      return false;
    }
    position_ += aCount;
    return true;
  }

  bool CheckItems(uint64_t aCount, int aDepth)
  {
    for (uint64_t i = 0; i < aCount; ++i) {
      if (!CheckItem(aDepth + 1)) {
        return false;
      }
    }
    return true;
  }

  std::string_view bytes_;
  size_t minLargeBytes_;
  size_t position_ = 0;
  std::optional<CborByteString> large_;
};

} // namespace

std::optional<CborByteString> FindLargeByteString(std::string_view aBytes, size_t aMinBytes)
{
  NestingChecker checker(aBytes, aMinBytes);
  checker.IsWithinLimit();
  return checker.LargeByteString();
}

std::string CborByteStringHead(size_t aBytes)
{
  constexpr uint8_t kByteString = 0x40;
  // Large bodies only: sizes of 16 or 32 bits.
  constexpr uint8_t kTwoBytes = 25;
  constexpr uint8_t kFourBytes = 26;
  bool isWide = aBytes > UINT16_MAX;
  std::string head(1, static_cast<char>(kByteString | (isWide ? kFourBytes : kTwoBytes)));
  for (int shift = isWide ? 24 : 8; shift >= 0; shift -= 8) {
    head += static_cast<char>((aBytes >> shift) & UINT8_MAX);
  }
  return head;
}

std::string ToCborBytes(const Json& aJson)
{
  std::string bytes;
  Json::to_cbor(aJson, bytes);
  return bytes;
}

Json FromCborBytes(std::string_view aBytes)
{
  if (!NestingChecker(aBytes).IsWithinLimit()) {
    return Json(Json::value_t::discarded);
  }
  return Json::from_cbor(aBytes.begin(), aBytes.end(), /*strict=*/true, /*allow_exceptions=*/false);
}

} // namespace dandelion
