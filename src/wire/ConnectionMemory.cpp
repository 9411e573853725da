#include "wire/ConnectionMemory.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>

namespace dandelion {

namespace {

/// A connection's own objects: its parser, the socket's buffers and their events.
constexpr size_t kConnectionBytes = 4 * 1024;

} // namespace

ConnectionMemory::ConnectionMemory(MemoryGuard* aGuard,
                                   bufferevent* aSocket,
                                   std::function<void()> aOnDrop,
                                   std::function<void()> aOnRoom)
  : guard_(aGuard)
  , socket_(aSocket)
  , onRoom_(std::move(aOnRoom))
  , outputCallback_(
      evbuffer_add_cb(bufferevent_get_output(aSocket), &ConnectionMemory::OnOutput, this))
{
  if (guard_ != nullptr) {
    holder_ = guard_->Open(std::move(aOnDrop));
  }
}

ConnectionMemory::~ConnectionMemory()
{
  Release();
}

void ConnectionMemory::Charge(size_t aHeldBytes, bool aIsInProgress)
{
  if (guard_ != nullptr) {
    size_t bytes = kConnectionBytes + evbuffer_get_length(bufferevent_get_input(socket_)) +
                   aHeldBytes + (chargesOutput_ ? unsentBytes_ : 0);
    guard_->Update(holder_, bytes, !aIsInProgress);
  }
}

bool ConnectionMemory::ContinueReading()
{
  if (guard_ == nullptr || isPaused_) {
    return !isPaused_;
  }
  isPaused_ = !guard_->MayGrow(holder_, [this] {
    isPaused_ = false;
    bufferevent_enable(socket_, EV_READ);
    onRoom_();
  });
  if (isPaused_) {
    bufferevent_disable(socket_, EV_READ);
  }
  return !isPaused_;
}

void ConnectionMemory::Release()
{
  if (outputCallback_ != nullptr) {
    evbuffer_remove_cb_entry(bufferevent_get_output(socket_), outputCallback_);
    outputCallback_ = nullptr;
  }
  if (guard_ != nullptr) {
    guard_->Close(holder_);
    guard_ = nullptr;
  }
}

void ConnectionMemory::OnOutput(evbuffer* aBuffer, const evbuffer_cb_info* aInfo, void* aContext)
{
  auto* self = static_cast<ConnectionMemory*>(aContext);
  self->unsentBytes_ += aInfo->n_added;
  if (evbuffer_get_length(aBuffer) == 0) {
    self->unsentBytes_ = 0;
  }
  if (aInfo->n_deleted > 0 && self->guard_ != nullptr) {
    self->guard_->RecordProgress(self->holder_);
  }
}

} // namespace dandelion
