#include "memory/ByteAccount.h"

#include <algorithm>

namespace dandelion {

namespace {

/// Reserve of small machines: the program, its buffers and one copy of the largest usual body.
constexpr size_t kMinReserveBytes = size_t{ 40 } * 1024 * 1024;
constexpr size_t kReserveDivisor = 4;
/// The least that is left for others, on a machine smaller than the reserve.
constexpr size_t kMinBudgetBytes = size_t{ 8 } * 1024 * 1024;

} // namespace

size_t ByteBudgetOf(int64_t aMemoryMb)
{
  if (aMemoryMb <= 0) {
    return kUnlimitedBytes;
  }
  size_t memory = static_cast<size_t>(aMemoryMb) * 1024 * 1024;
  size_t reserve = std::max(kMinReserveBytes, memory / kReserveDivisor);
  return memory > reserve ? std::max(kMinBudgetBytes, memory - reserve) : kMinBudgetBytes;
}

ByteAccount::ByteAccount(size_t aBudget)
  : budget_(aBudget)
{
}

ByteAccount::HolderId ByteAccount::Open(TimePoint aNow)
{
  HolderId id = nextId_++;
  holders_[id].progressAt = aNow;
  return id;
}

void ByteAccount::SetBytes(HolderId aHolder, size_t aBytes, TimePoint aNow)
{
  auto found = holders_.find(aHolder);
  if (found == holders_.end()) {
    return;
  }
  if (aBytes > found->second.bytes) {
    found->second.progressAt = aNow;
  }
  heldBytes_ += aBytes - found->second.bytes;
  found->second.bytes = aBytes;
}

void ByteAccount::SetReclaimable(HolderId aHolder, bool aIsReclaimable, TimePoint aNow)
{
  auto found = holders_.find(aHolder);
  if (found != holders_.end() && found->second.isReclaimable != aIsReclaimable) {
    found->second.isReclaimable = aIsReclaimable;
    found->second.progressAt = aNow;
  }
}

void ByteAccount::RecordProgress(HolderId aHolder, TimePoint aNow)
{
  auto found = holders_.find(aHolder);
  if (found != holders_.end()) {
    found->second.progressAt = aNow;
  }
}

void ByteAccount::Close(HolderId aHolder)
{
  auto found = holders_.find(aHolder);
  if (found != holders_.end()) {
    heldBytes_ -= found->second.bytes;
    holders_.erase(found);
  }
}

MemoryLevel ByteAccount::Level() const
{
  if (heldBytes_ >= budget_) {
    return MemoryLevel::Full;
  }
  return heldBytes_ > TightBytes() ? MemoryLevel::Tight : MemoryLevel::Free;
}

bool ByteAccount::MayGrow(HolderId aHolder) const
{
  if (Level() == MemoryLevel::Free) {
    return true;
  }
  auto found = holders_.find(aHolder);
  return found != holders_.end() && found->second.bytes < kSmallHolderBytes;
}

} // namespace dandelion
