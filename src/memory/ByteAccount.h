/// Account of the bytes that a node holds for others: unread and parsed requests, bodies, answers,
/// and the queues of links.
#ifndef DANDELION_MEMORY_BYTE_ACCOUNT_H
#define DANDELION_MEMORY_BYTE_ACCOUNT_H

#include "kernel/Kernel.h"

#include <cstddef>
#include <cstdint>
#include <map>

namespace dandelion {

/// How close the held bytes are to the budget.
enum class MemoryLevel
{
  Free,
  /// Only small holders may grow.
  Tight,
  /// The budget is used up: whatever can be dropped is dropped.
  Full,
};

template<>
struct EnumNames<MemoryLevel>
{
  static constexpr EnumName<MemoryLevel> kTable[] = {
    { MemoryLevel::Free, "free" },
    { MemoryLevel::Tight, "tight" },
    { MemoryLevel::Full, "full" },
  };
};

/// The part of the budget up to which every holder may grow. Holders below `kSmallHolderBytes` use
/// the rest, so that ordinary requests find room while large ones wait.
constexpr double kTightShare = 0.7;
/// An ordinary request with its head, or what one read of a socket brings.
constexpr size_t kSmallHolderBytes = 64 * 1024;
/// Budget of a node without a memory setting: no limit.
constexpr size_t kUnlimitedBytes = SIZE_MAX;

/// The part of a machine's memory that a node may hold for others. The rest is for the program, its
/// configuration and control messages, and for copies that exist only for a moment.
size_t ByteBudgetOf(int64_t aMemoryMb);

class ByteAccount
{
public:
  using HolderId = uint64_t;

  struct Holder
  {
    size_t bytes = 0;
    TimePoint progressAt;
    /// Whether the holder may be dropped, since its request has not been forwarded, or its client
    /// does not read the response.
    bool isReclaimable = false;
  };

  explicit ByteAccount(size_t aBudget);

  /// Opens a holder without bytes. Each connection or message that holds bytes is one.
  HolderId Open(TimePoint aNow);
  /// Sets the bytes of a holder. An increase counts as progress.
  void SetBytes(HolderId aHolder, size_t aBytes, TimePoint aNow);
  /// Sets whether a holder may be dropped. A change counts as progress: a response begins.
  void SetReclaimable(HolderId aHolder, bool aIsReclaimable, TimePoint aNow);
  /// Records progress without an increase, such as a client that reads its response.
  void RecordProgress(HolderId aHolder, TimePoint aNow);
  /// Releases all bytes of a holder.
  void Close(HolderId aHolder);

  size_t Budget() const { return budget_; }
  size_t HeldBytes() const { return heldBytes_; }
  /// Held bytes beyond which only small holders may grow.
  size_t TightBytes() const
  {
    return static_cast<size_t>(kTightShare * static_cast<double>(budget_));
  }
  MemoryLevel Level() const;
  /// Whether a holder may read more from its client.
  bool MayGrow(HolderId aHolder) const;
  const std::map<HolderId, Holder>& Holders() const { return holders_; }

private:
  size_t budget_;
  size_t heldBytes_ = 0;
  HolderId nextId_ = 1;
  std::map<HolderId, Holder> holders_;
};

} // namespace dandelion

#endif
