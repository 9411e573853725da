/// The platform's key-value store, in the words of the product.
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
};

struct ReadRequest
{
  /// First key, and the key after the last one; without `end` only the one key is read.
  std::string key;
  std::optional<std::string> end;
  int64_t limit = 0;
  /// Highest keys first.
  bool isDescending = false;
  bool isKeysOnly = false;
};

struct ReadResult
{
  std::vector<KeyValue> items;
  /// Revision of the store that was read; a watch may start behind it.
  int64_t revision = 0;
  bool hasMore = false;
};

struct CreateRequest
{
  std::string key;
  std::string value;
  /// A key that must exist, where there is one.
  std::string parentKey;
};

/// Each call counts against the store's limits, a waiting watch as one.
/// Each answer comes once, from the loop, within a time limit.
class Store
{
public:
  using WatchId = uint64_t;
  using OnRead = std::function<void(const absl::StatusOr<ReadResult>&)>;
  using OnCreated = std::function<void(AppendOutcome)>;
  using OnDone = std::function<void(const absl::Status&)>;
  using OnEvents = std::function<void(const std::vector<KeyValue>&)>;

  virtual ~Store() = default;

  virtual void Read(const ReadRequest& aRequest, OnRead aDone) = 0;
  /// Creates a key in one atomic step if it does not exist and its parent does.
  virtual void Create(const CreateRequest& aRequest, OnCreated aDone) = 0;
  /// Writes a key without a condition. With a time to live it goes away by itself.
  virtual void Put(const std::string& aKey,
                   const std::string& aValue,
                   std::optional<Duration> aTimeToLive,
                   OnDone aDone) = 0;
  virtual void DeleteRange(const std::string& aFirst, const std::string& aEnd, OnDone aDone) = 0;
  /// Tells of keys written with `aPrefix` after the revision, until it ends or is cancelled.
  virtual WatchId Watch(const std::string& aPrefix,
                        int64_t aAfterRevision,
                        OnEvents aOnEvents,
                        std::function<void()> aOnEnd) = 0;
  virtual void CancelWatch(WatchId aId) = 0;

  /// Calls made since the start.
  virtual uint64_t CallCount() const = 0;
};

/// The key after every key that starts with `aPrefix`.
std::string PrefixRangeEnd(std::string aPrefix);

} // namespace dandelion

#endif
