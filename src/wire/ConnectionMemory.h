/// What one HTTP connection holds of the node's memory. Internal to the library.
#ifndef DANDELION_WIRE_CONNECTION_MEMORY_H
#define DANDELION_WIRE_CONNECTION_MEMORY_H

#include "wire/MemoryGuard.h"

struct bufferevent;
struct evbuffer;
struct evbuffer_cb_entry;
struct evbuffer_cb_info;

namespace dandelion {

class ConnectionMemory
{
public:
  /// `aOnDrop` is called when the connection must release what it holds, `aOnRoom` when it may read
  /// again. Without a guard nothing is limited.
  ConnectionMemory(MemoryGuard* aGuard,
                   bufferevent* aSocket,
                   std::function<void()> aOnDrop,
                   std::function<void()> aOnRoom);
  ~ConnectionMemory();
  ConnectionMemory(const ConnectionMemory&) = delete;
  ConnectionMemory& operator=(const ConnectionMemory&) = delete;

  /// Charges what is held now besides the socket's buffers: parsed bytes, requests in progress and
  /// their responses. While there are any, the connection is not dropped. May call `aOnDrop`.
  void Charge(size_t aHeldBytes, bool aIsInProgress);
  /// Stops reading while memory is tight, unless the connection holds little. Returns whether it
  /// reads on.
  bool ContinueReading();
  bool IsPaused() const { return isPaused_; }
  bool IsFull() const { return guard_ != nullptr && guard_->Level() == MemoryLevel::Full; }
  /// Bytes of the output since it was last empty. A large body is kept until its last byte is sent.
  size_t UnsentBytes() const { return unsentBytes_; }
  /// Releases everything. The connection is closed.
  void Release();
  /// Does not charge the output: its bytes are charged to their owner.
  void ExcludeOutput() { chargesOutput_ = false; }

private:
  static void OnOutput(evbuffer* aBuffer, const evbuffer_cb_info* aInfo, void* aContext);

  MemoryGuard* guard_;
  bufferevent* socket_;
  std::function<void()> onRoom_;
  MemoryGuard::HolderId holder_ = 0;
  bool isPaused_ = false;
  bool chargesOutput_ = true;
  size_t unsentBytes_ = 0;
  evbuffer_cb_entry* outputCallback_;
};

} // namespace dandelion

#endif
