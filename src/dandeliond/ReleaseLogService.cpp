#include "dandeliond/ReleaseLogService.h"

#include "absl/strings/numbers.h"

namespace dandelion {

namespace {

constexpr char kNotesPrefix[] = "dandelion/notes/";
constexpr char kSnapshotIndexPrefix[] = "dandelion/snapshot/index/";
constexpr char kSnapshotPartPrefix[] = "dandelion/snapshot/part/";
constexpr int64_t kEntriesPerRead = 64;
/// Stays below the store's size limit for one value.
constexpr size_t kSnapshotPartBytes = 512 * 1024;
/// Number of notes before a snapshot's version that compaction keeps in the log.
constexpr Version kRetainedNotes = 64;
constexpr Duration kWatchRetryDelay = seconds(1);

/// Index entry of a snapshot: locates its parts and gives the hash of the whole.
struct SnapshotIndex
{
  Version version = 0;
  std::string hash;
  int64_t parts = 0;
};

template<class Visitor>
void VisitFields(Visitor& aVisitor, SnapshotIndex& aIndex)
{
  aVisitor.Field("version", aIndex.version);
  aVisitor.Field("hash", aIndex.hash);
  aVisitor.Field("parts", aIndex.parts);
}

std::string IndexKey(Version aVersion)
{
  return fmt::format("{}{:020}", kSnapshotIndexPrefix, aVersion);
}

std::string PartKey(Version aVersion, int64_t aPart)
{
  return fmt::format("{}{:020}/{:04}", kSnapshotPartPrefix, aVersion, aPart);
}

Version VersionOfKey(const std::string& aKey)
{
  Version version = 0;
  (void)absl::SimpleAtoi(aKey.substr(sizeof(kNotesPrefix) - 1), &version);
  return version;
}

} // namespace

std::string NoteKey(Version aVersion)
{
  return fmt::format("{}{:020}", kNotesPrefix, aVersion);
}

ReleaseLogService::ReleaseLogService(const NodeContext& aContext)
  : context_(aContext)
{
}

absl::Status ReleaseLogService::Start()
{
  store_ = &context_.registry.Find<Store>(ServiceName::Store);
  releases_ = &context_.registry.Find<Releases>(ServiceName::Releases);
  return absl::OkStatus();
}

void ReleaseLogService::Stop()
{
  Unfollow();
}

void ReleaseLogService::Synchronize(OnDone aDone)
{
  // A read in progress may have begun before the write that this caller must see, so the caller
  // waits for the next read.
  if (!currentWaiters_.empty()) {
    nextWaiters_.push_back(std::move(aDone));
    return;
  }
  currentWaiters_.push_back(std::move(aDone));
  ReadNextEntries();
}

void ReleaseLogService::ReadNextEntries()
{
  // The read starts at the replica's own version, to detect a log that lacks this version or holds
  // a different note for it.
  ReadRequest request;
  request.key = NoteKey(std::max<Version>(1, releases_->Current()->version));
  request.end = PrefixRangeEnd(kNotesPrefix);
  request.limit = kEntriesPerRead;
  store_->Read(request, [this](const absl::StatusOr<ReadResult>& aResult) { OnRead(aResult); });
}

void ReleaseLogService::OnRead(const absl::StatusOr<ReadResult>& aResult)
{
  if (!aResult.ok()) {
    FinishSynchronize(aResult.status());
    return;
  }
  revision_ = std::max(revision_, aResult->revision);
  if (aResult->items.empty()) {
    bool hasVersion = releases_->Current()->version > 0;
    FinishSynchronize(hasVersion
                        ? MakeError(ErrorKind::StoreBehind,
                                    "the store's log lacks the version in force; the first "
                                    "relay of the store's region restores it")
                        : absl::OkStatus());
    return;
  }
  bool needsSnapshot = false;
  absl::Status status = ApplyItems(aResult->items, needsSnapshot);
  if (needsSnapshot) {
    ReadSnapshot();
  } else if (!status.ok()) {
    FinishSynchronize(status);
  } else if (aResult->hasMore) {
    ReadNextEntries();
  } else {
    FinishSynchronize(absl::OkStatus());
  }
}

absl::Status ReleaseLogService::ApplyItems(const std::vector<KeyValue>& aItems,
                                           bool& aNeedsSnapshot)
{
  std::vector<Entry> entries;
  for (const KeyValue& item : aItems) {
    auto entry = Decode<Entry>(item.value);
    if (!entry.ok()) {
      return MakeError(ErrorKind::WrongHash,
                       fmt::format("key {} of the store does not hold a valid note", item.key));
    }
    entries.push_back(*std::move(entry));
  }
  Version current = releases_->Current()->version;
  if (entries.front().version == current &&
      entries.front().resultHash != releases_->CurrentHash()) {
    return MakeError(
      ErrorKind::WrongHash,
      fmt::format("the store's log has forked at version {}; its notes are not applied", current));
  }
  aNeedsSnapshot = entries.front().version > current + 1;
  return aNeedsSnapshot ? absl::OkStatus() : releases_->ApplyEntries(entries);
}

void ReleaseLogService::ReadSnapshot()
{
  // Each snapshot has its own index key, so a slow writer cannot replace the index of a newer
  // snapshot by that of an older one.
  ReadRequest request;
  request.key = kSnapshotIndexPrefix;
  request.end = PrefixRangeEnd(kSnapshotIndexPrefix);
  request.limit = 1;
  request.isDescending = true;
  store_->Read(request, [this](const absl::StatusOr<ReadResult>& aResult) {
    if (!aResult.ok()) {
      FinishSynchronize(aResult.status());
    } else if (aResult->items.empty()) {
      FinishSynchronize(MakeError(ErrorKind::StoreBehind,
                                  "the store's log has a gap and the store holds no snapshot"));
    } else {
      ReadSnapshotParts(aResult->items.front().value);
    }
  });
}

void ReleaseLogService::ReadSnapshotParts(const std::string& aIndexBytes)
{
  auto index = Decode<SnapshotIndex>(aIndexBytes);
  if (!index.ok()) {
    FinishSynchronize(index.status());
    return;
  }
  ReadRequest request;
  request.key = PartKey(index->version, 0);
  request.end = PartKey(index->version, index->parts);
  store_->Read(request, [this, index](const absl::StatusOr<ReadResult>& aResult) {
    if (!aResult.ok()) {
      FinishSynchronize(aResult.status());
      return;
    }
    std::string bytes;
    for (const KeyValue& part : aResult->items) {
      bytes += part.value;
    }
    auto configuration = Decode<Configuration>(bytes);
    if (!configuration.ok()) {
      FinishSynchronize(configuration.status());
      return;
    }
    absl::Status status = releases_->ApplySnapshot(*configuration, index->hash);
    if (!status.ok()) {
      FinishSynchronize(status);
    } else {
      ReadNextEntries();
    }
  });
}

void ReleaseLogService::FinishSynchronize(const absl::Status& aStatus)
{
  std::vector<OnDone> finished = std::move(currentWaiters_);
  currentWaiters_ = std::move(nextWaiters_);
  nextWaiters_.clear();
  if (!currentWaiters_.empty()) {
    ReadNextEntries();
  }
  for (const OnDone& done : finished) {
    done(aStatus);
  }
}

void ReleaseLogService::ReadHead(std::function<void(const absl::StatusOr<Version>&)> aDone)
{
  ReadRequest request;
  request.key = kNotesPrefix;
  request.end = PrefixRangeEnd(kNotesPrefix);
  request.limit = 1;
  request.isDescending = true;
  request.isKeysOnly = true;
  store_->Read(request, [done = std::move(aDone)](const absl::StatusOr<ReadResult>& aResult) {
    if (!aResult.ok()) {
      done(aResult.status());
    } else {
      done(aResult->items.empty() ? Version{ 0 } : VersionOfKey(aResult->items.front().key));
    }
  });
}

void ReleaseLogService::Append(const Entry& aEntry, std::function<void(AppendOutcome)> aDone)
{
  CreateRequest request;
  request.key = NoteKey(aEntry.version);
  request.value = Encode(aEntry);
  // The parent must exist in the log. This rejects a delayed write of a version that has since been
  // compacted away, and a write that follows notes that the store has lost.
  if (aEntry.version > 1) {
    request.parentKey = NoteKey(aEntry.version - 1);
  }
  store_->Create(request, std::move(aDone));
}

void ReleaseLogService::Repair(OnDone aDone)
{
  ReadHead([this, done = std::move(aDone)](const absl::StatusOr<Version>& aHead) {
    if (!aHead.ok()) {
      done(aHead.status());
      return;
    }
    Version current = releases_->Current()->version;
    if (*aHead >= current) {
      done(absl::OkStatus());
      return;
    }
    Log(LogPart::Store,
        LogLevel::Error,
        "The store is behind: its log ends at version {}, version {} is in force. Repairing "
        "the log.",
        *aHead,
        current);
    auto missing = releases_->EntriesAfter(*aHead);
    if (missing.has_value()) {
      RestoreEntries(*std::move(missing), done);
      return;
    }
    auto onSnapshot = [this, done](const absl::Status& aStatus) {
      auto newest = releases_->EntriesAfter(releases_->Current()->version - 1);
      if (!aStatus.ok() || !newest.has_value()) {
        done(aStatus.ok()
               ? MakeError(ErrorKind::StoreBehind, "the replica holds no entry to write back")
               : aStatus);
        return;
      }
      RestoreEntries(*std::move(newest), done);
    };
    WriteSnapshot(onSnapshot);
  });
}

void ReleaseLogService::RestoreEntries(std::vector<Entry> aEntries, OnDone aDone)
{
  if (aEntries.empty()) {
    aDone(absl::OkStatus());
    return;
  }
  Entry first = aEntries.front();
  aEntries.erase(aEntries.begin());
  CreateRequest request;
  request.key = NoteKey(first.version);
  request.value = Encode(first);
  auto onCreated =
    [this, rest = std::move(aEntries), done = std::move(aDone)](AppendOutcome aOutcome) mutable {
      if (aOutcome == AppendOutcome::Unknown) {
        done(MakeError(ErrorKind::StoreUnavailable,
                       "the store became unavailable during the repair of its log"));
        return;
      }
      RestoreEntries(std::move(rest), std::move(done));
    };
  store_->Create(request, onCreated);
}

void ReleaseLogService::Follow(int64_t /* aAfterRevision */)
{
  if (isFollowing_) {
    return;
  }
  isFollowing_ = true;
  StartWatch();
}

void ReleaseLogService::Unfollow()
{
  isFollowing_ = false;
  retryTimer_.Cancel();
  if (watch_.has_value()) {
    store_->CancelWatch(*watch_);
    watch_.reset();
  }
}

void ReleaseLogService::StartWatch()
{
  Synchronize([this](const absl::Status& aStatus) {
    if (!isFollowing_ || watch_.has_value()) {
      return;
    }
    if (!aStatus.ok() && KindOf(aStatus) == ErrorKind::StoreUnavailable) {
      retryTimer_ = context_.loop.After(kWatchRetryDelay, [this] { StartWatch(); });
      return;
    }
    auto onEvents = [this](const WatchEvents& aEvents) { OnWatchEvents(aEvents.items); };
    auto onEnd = [this] {
      watch_.reset();
      retryTimer_ = context_.loop.After(kWatchRetryDelay, [this] { StartWatch(); });
    };
    watch_ = store_->Watch(kNotesPrefix, revision_, onEvents, onEnd);
  });
}

void ReleaseLogService::OnWatchEvents(const std::vector<KeyValue>& aItems)
{
  std::vector<Entry> entries;
  for (const KeyValue& item : aItems) {
    auto entry = Decode<Entry>(item.value);
    if (entry.ok()) {
      entries.push_back(*std::move(entry));
    }
  }
  absl::Status status = releases_->ApplyEntries(entries);
  if (!status.ok()) {
    Synchronize([](const absl::Status&) {});
  }
}

void ReleaseLogService::Compact(OnDone aDone)
{
  Version version = releases_->Current()->version;
  WriteSnapshot([this, version, done = std::move(aDone)](const absl::Status& aStatus) {
    if (!aStatus.ok() || version <= kRetainedNotes) {
      done(aStatus);
      return;
    }
    // Only what the snapshot covers is deleted, and only after the snapshot has been written
    // completely.
    DeleteBefore(version, done);
  });
}

void ReleaseLogService::DeleteBefore(Version aVersion, OnDone aDone)
{
  auto onIndicesDeleted = [this, aVersion, aDone](const absl::Status& aStatus) {
    if (!aStatus.ok()) {
      aDone(aStatus);
      return;
    }
    store_->DeleteRange(kSnapshotPartPrefix, PartKey(aVersion, 0), aDone);
  };
  auto onNotesDeleted = [this, aVersion, aDone, onIndicesDeleted](const absl::Status& aStatus) {
    if (!aStatus.ok()) {
      aDone(aStatus);
      return;
    }
    store_->DeleteRange(kSnapshotIndexPrefix, IndexKey(aVersion), onIndicesDeleted);
  };
  store_->DeleteRange(NoteKey(1), NoteKey(aVersion - kRetainedNotes), onNotesDeleted);
}

void ReleaseLogService::WriteSnapshot(OnDone aDone)
{
  const Configuration& configuration = *releases_->Current();
  std::string bytes = Encode(configuration);
  auto items = std::make_shared<std::vector<KeyValue>>();
  SnapshotIndex index{ configuration.version, releases_->CurrentHash(), 0 };
  for (size_t at = 0; at < bytes.size(); at += kSnapshotPartBytes) {
    items->push_back({ PartKey(index.version, index.parts), bytes.substr(at, kSnapshotPartBytes) });
    ++index.parts;
  }
  // The index is written last, so that readers never find an index whose parts are missing.
  items->push_back({ IndexKey(index.version), Encode(index) });
  WriteSnapshotParts(items, std::move(aDone));
}

void ReleaseLogService::WriteSnapshotParts(std::shared_ptr<std::vector<KeyValue>> aItems,
                                           OnDone aDone)
{
  if (aItems->empty()) {
    aDone(absl::OkStatus());
    return;
  }
  KeyValue next = std::move(aItems->front());
  aItems->erase(aItems->begin());
  auto onPut = [this, aItems, done = std::move(aDone)](const absl::Status& aStatus) {
    if (!aStatus.ok()) {
      done(aStatus);
      return;
    }
    WriteSnapshotParts(aItems, done);
  };
  store_->Put(next.key, next.value, std::nullopt, onPut);
}

} // namespace dandelion
