/// Keeps what connections hold within the byte account: tells them when to stop reading, and drops
/// the holders that the reclaim choice names. Shared by all servers, clients and links of a node.
#ifndef DANDELION_WIRE_MEMORY_GUARD_H
#define DANDELION_WIRE_MEMORY_GUARD_H

#include "memory/Memory.h"

#include <functional>
#include <map>
#include <utility>

namespace dandelion {

class MemoryGuard
{
public:
  using HolderId = ByteAccount::HolderId;

  MemoryGuard(Loop& aLoop, size_t aBudget);

  /// Opens a holder. `aOnDrop` is called when it must release its bytes: it then refuses its
  /// request or closes its connection.
  HolderId Open(std::function<void()> aOnDrop = {});
  /// Sets the bytes of a holder and whether it may be dropped. May drop any holder, this one as
  /// well.
  void Update(HolderId aHolder, size_t aBytes, bool aIsReclaimable);
  /// Records that a client takes its response.
  void RecordProgress(HolderId aHolder);
  void Close(HolderId aHolder);

  /// Whether the holder may read more. If not, `aOnRoom` is called once when it should ask again.
  bool MayGrow(HolderId aHolder, std::function<void()> aOnRoom);
  MemoryLevel Level() const { return account_.Level(); }
  size_t HeldBytes() const { return account_.HeldBytes(); }
  size_t Budget() const { return account_.Budget(); }
  uint64_t Dropped() const { return dropped_; }

private:
  /// Drops holders while the choice names one.
  void Reclaim();
  /// Drops what has stalled and lets waiting holders ask again.
  void Check();
  void LetWaitingGrow();
  void LogLevelChange();

  Loop& loop_;
  ByteAccount account_;
  std::map<HolderId, std::function<void()>> onDrop_;
  /// Holders that wait for room, the oldest first.
  std::map<HolderId, std::function<void()>> waiting_;
  bool isReclaiming_ = false;
  uint64_t dropped_ = 0;
  uint64_t droppedBeforeTight_ = 0;
  bool wasTight_ = false;
  TimePoint freeSince_;
  Timer checkTimer_;
};

/// Charges a number of bytes for as long as it exists.
class HeldBytes
{
public:
  HeldBytes() = default;
  HeldBytes(MemoryGuard* aGuard, size_t aBytes);
  ~HeldBytes() { Release(); }
  HeldBytes(const HeldBytes&) = delete;
  HeldBytes& operator=(const HeldBytes&) = delete;
  HeldBytes(HeldBytes&& aOther) noexcept
    : guard_(std::exchange(aOther.guard_, nullptr))
    , holder_(aOther.holder_)
  {
  }
  HeldBytes& operator=(HeldBytes&& aOther) noexcept
  {
    Release();
    guard_ = std::exchange(aOther.guard_, nullptr);
    holder_ = aOther.holder_;
    return *this;
  }

private:
  void Release();

  MemoryGuard* guard_ = nullptr;
  MemoryGuard::HolderId holder_ = 0;
};

} // namespace dandelion

#endif
