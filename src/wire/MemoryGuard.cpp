#include "wire/MemoryGuard.h"

namespace dandelion {

namespace {

/// Period in which stalled holders are looked for and waiting ones ask again.
constexpr Duration kCheckPeriod = milliseconds(50);
/// The log line of the end is written after this time below the limit, so that a level that changes
/// often does not fill the log.
constexpr Duration kCalmTime = seconds(5);
constexpr size_t kBytesPerMb = 1024 * 1024;

} // namespace

MemoryGuard::MemoryGuard(Loop& aLoop, size_t aBudget)
  : loop_(aLoop)
  , account_(aBudget)
{
  if (aBudget != kUnlimitedBytes) {
    Check();
  }
}

MemoryGuard::HolderId MemoryGuard::Open(std::function<void()> aOnDrop)
{
  HolderId id = account_.Open(loop_.Now());
  if (aOnDrop) {
    onDrop_[id] = std::move(aOnDrop);
  }
  return id;
}

void MemoryGuard::Update(HolderId aHolder, size_t aBytes, bool aIsReclaimable)
{
  TimePoint now = loop_.Now();
  account_.SetReclaimable(aHolder, aIsReclaimable && onDrop_.count(aHolder) > 0, now);
  account_.SetBytes(aHolder, aBytes, now);
  if (account_.Level() == MemoryLevel::Full) {
    Reclaim();
  }
}

void MemoryGuard::RecordProgress(HolderId aHolder)
{
  account_.RecordProgress(aHolder, loop_.Now());
}

void MemoryGuard::Close(HolderId aHolder)
{
  account_.Close(aHolder);
  onDrop_.erase(aHolder);
  waiting_.erase(aHolder);
}

bool MemoryGuard::MayGrow(HolderId aHolder, std::function<void()> aOnRoom)
{
  if (account_.MayGrow(aHolder)) {
    return true;
  }
  waiting_[aHolder] = std::move(aOnRoom);
  return false;
}

void MemoryGuard::Reclaim()
{
  // Dropping a holder updates it, which leads here again.
  if (isReclaiming_) {
    return;
  }
  isReclaiming_ = true;
  while (auto victim = ChooseReclaim(account_, loop_.Now())) {
    ++dropped_;
    auto found = onDrop_.find(*victim);
    std::function<void()> drop = std::move(found->second);
    // A holder is dropped once; what it still holds after that is not asked for again.
    onDrop_.erase(found);
    account_.SetReclaimable(*victim, false, loop_.Now());
    drop();
  }
  isReclaiming_ = false;
}

void MemoryGuard::Check()
{
  Reclaim();
  LogLevelChange();
  LetWaitingGrow();
  checkTimer_ = loop_.After(kCheckPeriod, [this] { Check(); });
}

void MemoryGuard::LetWaitingGrow()
{
  if (account_.Level() != MemoryLevel::Free) {
    return;
  }
  // Each of them reads up to this much before the account is asked again.
  size_t room = account_.TightBytes() - account_.HeldBytes();
  for (size_t i = 0; i <= room / kSmallHolderBytes && !waiting_.empty(); ++i) {
    auto first = waiting_.begin();
    std::function<void()> onRoom = std::move(first->second);
    waiting_.erase(first);
    onRoom();
  }
}

void MemoryGuard::LogLevelChange()
{
  TimePoint now = loop_.Now();
  bool isTight = account_.Level() != MemoryLevel::Free;
  if (isTight) {
    freeSince_ = now;
  }
  if (isTight && !wasTight_) {
    wasTight_ = true;
    droppedBeforeTight_ = dropped_;
    Log(LogPart::Kernel,
        LogLevel::Warning,
        "Requests and responses hold {} of {} MiB: large ones wait, and what stalls is refused.",
        account_.HeldBytes() / kBytesPerMb,
        account_.Budget() / kBytesPerMb);
  } else if (wasTight_ && now - freeSince_ > kCalmTime) {
    wasTight_ = false;
    Log(LogPart::Kernel,
        LogLevel::Info,
        "Requests and responses hold {} of {} MiB again; {} were refused or closed meanwhile.",
        account_.HeldBytes() / kBytesPerMb,
        account_.Budget() / kBytesPerMb,
        dropped_ - droppedBeforeTight_);
  }
}

HeldBytes::HeldBytes(MemoryGuard* aGuard, size_t aBytes)
  : guard_(aGuard)
{
  if (guard_ != nullptr) {
    holder_ = guard_->Open();
    guard_->Update(holder_, aBytes, false);
  }
}

void HeldBytes::Release()
{
  if (guard_ != nullptr) {
    std::exchange(guard_, nullptr)->Close(holder_);
  }
}

} // namespace dandelion
