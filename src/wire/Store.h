/// Interface to the platform's key-value store.
#ifndef DANDELION_WIRE_STORE_H
#define DANDELION_WIRE_STORE_H

#include "release/Release.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace dandelion {

struct KeyValue
{
  std::string key;
  std::string value;
  /// Revision of the store that last changed the key (StoreRevision.h); 0 if the store does not
  /// tell.
  int64_t revision = 0;
};

struct ReadRequest
{
  /// First key of the range, and the key after the last one. Without `end` only `key` is read.
  std::string key;
  std::optional<std::string> end;
  /// Maximum number of keys that are read; 0 for no limit.
  int64_t limit = 0;
  /// Returns the highest keys first.
  bool isDescending = false;
  /// Leaves the values of the result empty.
  bool isKeysOnly = false;
};

struct ReadResult
{
  std::vector<KeyValue> items;
  /// Revision of the store at the time of the read. A watch may start after it.
  int64_t revision = 0;
  /// Whether the range holds further keys beyond `limit`.
  bool hasMore = false;
};

struct WatchEvents
{
  /// The keys that were written, oldest first. Empty if there was no change.
  std::vector<KeyValue> items;
  /// The store had no later changes at this time. Not set if the store does not tell.
  std::optional<TimePoint> asOf = {};
  /// Revision of the store at that time. A watch may start after it.
  int64_t revision = 0;
};

struct CreateRequest
{
  std::string key;
  std::string value;
  /// A key that must exist; empty for no such condition.
  std::string parentKey;
};

struct SwapRequest
{
  /// The key that must have this revision; 0 if it must not exist.
  std::string key;
  int64_t expectedRevision = 0;
  /// Keys that are written together.
  std::vector<KeyValue> puts;
};

/// Result of a swap that was written or refused: the revision of the store.
struct SwapResult
{
  bool isWritten = false;
  int64_t revision = 0;
};

/// Each call counts against the store's rate limits; a watch counts as one call.
/// Each callback of a call is called once, from the loop, within a timeout.
class Store
{
public:
  using WatchId = uint64_t;
  using OnRead = std::function<void(const absl::StatusOr<ReadResult>&)>;
  using OnCreated = std::function<void(AppendOutcome)>;
  using OnSwapped = std::function<void(const absl::StatusOr<SwapResult>&)>;
  using OnDone = std::function<void(const absl::Status&)>;
  using OnEvents = std::function<void(const WatchEvents&)>;

  virtual ~Store() = default;

  virtual void Read(const ReadRequest& aRequest, OnRead aDone) = 0;
  /// Atomically creates a key if it does not exist and its parent key does.
  virtual void Create(const CreateRequest& aRequest, OnCreated aDone) = 0;
  /// Writes keys atomically if one of them has the expected revision. After an error it is unknown
  /// whether they were written.
  virtual void Swap(const SwapRequest& aRequest, OnSwapped aDone) = 0;
  /// Writes a key unconditionally. With a time to live the store deletes the key when it expires.
  virtual void Put(const std::string& aKey,
                   const std::string& aValue,
                   std::optional<Duration> aTimeToLive,
                   OnDone aDone) = 0;
  virtual void DeleteRange(const std::string& aFirst, const std::string& aEnd, OnDone aDone) = 0;
  /// Reports keys with `aPrefix` that are written after the revision, until the watch is cancelled
  /// or ends. May also report that there was no change. `aOnEnd` is called when the watch ends
  /// without being cancelled.
  virtual WatchId Watch(const std::string& aPrefix,
                        int64_t aAfterRevision,
                        OnEvents aOnEvents,
                        std::function<void()> aOnEnd) = 0;
  virtual void CancelWatch(WatchId aId) = 0;

  /// Number of calls made since construction.
  virtual uint64_t CallCount() const = 0;
};

/// Returns the exclusive end of the range of all keys that start with `aPrefix`. The prefix must
/// not be empty or end with the byte 0xff.
std::string PrefixRangeEnd(std::string aPrefix);

} // namespace dandelion

#endif
