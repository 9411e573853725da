#include "memory/ReclaimChoice.h"

namespace dandelion {

namespace {

/// Whether the left holder is dropped before the right one.
bool ComesFirst(const ByteAccount::Holder& aLeft, const ByteAccount::Holder& aRight)
{
  bool isLeftLarge = aLeft.bytes >= kSmallHolderBytes;
  bool isRightLarge = aRight.bytes >= kSmallHolderBytes;
  if (isLeftLarge != isRightLarge) {
    return isLeftLarge;
  }
  if (aLeft.progressAt != aRight.progressAt) {
    return aLeft.progressAt < aRight.progressAt;
  }
  return aLeft.bytes > aRight.bytes;
}

} // namespace

std::optional<ByteAccount::HolderId> ChooseReclaim(const ByteAccount& aAccount, TimePoint aNow)
{
  MemoryLevel level = aAccount.Level();
  if (level == MemoryLevel::Free) {
    return std::nullopt;
  }
  Duration minStall = level == MemoryLevel::Full ? Duration::zero() : kMinStallTime;
  std::optional<ByteAccount::HolderId> chosen;
  const ByteAccount::Holder* first = nullptr;
  for (const auto& [id, holder] : aAccount.Holders()) {
    bool isLargeEnough = level == MemoryLevel::Full || holder.bytes >= kSmallHolderBytes;
    bool isCandidate = holder.isReclaimable && holder.bytes > 0 && isLargeEnough &&
                       aNow - holder.progressAt >= minStall;
    if (isCandidate && (first == nullptr || ComesFirst(holder, *first))) {
      chosen = id;
      first = &holder;
    }
  }
  return chosen;
}

} // namespace dandelion
