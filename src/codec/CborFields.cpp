#include "codec/CborFields.h"

namespace dandelion {

namespace {

/// Deeper than any message of ours.
constexpr int kDeepestNesting = 24;

/// Checks the nesting of CBOR bytes without building anything: a hostile peer could nest arrays
/// so deep that a recursive parser runs out of stack.
class NestingCheck
{
public:
  explicit NestingCheck(std::string_view aBytes)
    : bytes_(aBytes)
  {
  }

  bool IsShallow() { return Item(0) && at_ == bytes_.size(); }

private:
  static constexpr uint8_t kMajorShift = 5;
  static constexpr uint8_t kInfoMask = 0x1f;
  static constexpr uint8_t kLongestInfo = 27;
  static constexpr uint8_t kFirstWideInfo = 24;

  bool Argument(uint8_t aInfo, uint64_t& aValue)
  {
    if (aInfo < kFirstWideInfo) {
      aValue = aInfo;
      return true;
    }
    if (aInfo > kLongestInfo) {
      return false;
    }
    size_t width = size_t{ 1 } << (aInfo - kFirstWideInfo);
    if (bytes_.size() - at_ < width) {
      return false;
    }
    aValue = 0;
    for (size_t i = 0; i < width; ++i) {
      aValue = (aValue << 8) | static_cast<uint8_t>(bytes_[at_++]);
    }
    return true;
  }

  bool Item(int aDepth)
  {
    if (aDepth > kDeepestNesting || at_ >= bytes_.size()) {
      return false;
    }
    uint8_t head = static_cast<uint8_t>(bytes_[at_++]);
    uint8_t major = head >> kMajorShift;
    uint64_t argument = 0;
    if (!Argument(head & kInfoMask, argument)) {
      return false;
    }
    switch (major) {
      case 2:
      case 3:
        return Skip(argument);
      case 4:
        return Items(argument, aDepth);
      case 5:
      case 6:
        // Maps and tags are not part of the format.
        return false;
      default:
        return true;
    }
  }

  bool Skip(uint64_t aCount)
  {
    if (aCount > bytes_.size() - at_) {
      return false;
    }
    at_ += aCount;
    return true;
  }

  bool Items(uint64_t aCount, int aDepth)
  {
    for (uint64_t i = 0; i < aCount; ++i) {
      if (!Item(aDepth + 1)) {
        return false;
      }
    }
    return true;
  }

  std::string_view bytes_;
  size_t at_ = 0;
};

} // namespace

std::string ToCborBytes(const Json& aJson)
{
  std::string bytes;
  Json::to_cbor(aJson, bytes);
  return bytes;
}

Json FromCborBytes(std::string_view aBytes)
{
  if (!NestingCheck(aBytes).IsShallow()) {
    return Json(Json::value_t::discarded);
  }
  return Json::from_cbor(aBytes.begin(), aBytes.end(), /*strict=*/true, /*allow_exceptions=*/false);
}

} // namespace dandelion
