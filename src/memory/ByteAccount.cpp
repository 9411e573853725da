#include "memory/ByteAccount.h"

namespace dandelion {

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

void ByteAccount::Close(HolderId aHolder)
{
  auto found = holders_.find(aHolder);
  if (found != holders_.end()) {
    heldBytes_ -= found->second.bytes;
    holders_.erase(found);
  }
}

} // namespace dandelion
