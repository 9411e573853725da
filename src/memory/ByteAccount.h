/// Account of the bytes that a node holds for others: unread and parsed requests, bodies, answers,
/// and the queues of links.
#ifndef DANDELION_MEMORY_BYTE_ACCOUNT_H
#define DANDELION_MEMORY_BYTE_ACCOUNT_H

#include "kernel/Kernel.h"

#include <cstddef>
#include <cstdint>
#include <map>

namespace dandelion {

class ByteAccount
{
public:
  using HolderId = uint64_t;

  explicit ByteAccount(size_t aBudget);

  /// Opens a holder without bytes. Each connection or message that holds bytes is one.
  HolderId Open(TimePoint aNow);
  /// Sets the bytes of a holder. An increase counts as progress.
  void SetBytes(HolderId aHolder, size_t aBytes, TimePoint aNow);
  /// Releases all bytes of a holder.
  void Close(HolderId aHolder);

  size_t Budget() const { return budget_; }
  size_t HeldBytes() const { return heldBytes_; }

private:
  struct Holder
  {
    size_t bytes = 0;
    TimePoint progressAt;
  };

  size_t budget_;
  size_t heldBytes_ = 0;
  HolderId nextId_ = 1;
  std::map<HolderId, Holder> holders_;
};

} // namespace dandelion

#endif
