/// Store client for the JSON over HTTP form of the etcd v3 API.
#ifndef DANDELION_WIRE_ETCD_STORE_H
#define DANDELION_WIRE_ETCD_STORE_H

#include "wire/Http.h"
#include "wire/Store.h"

#include "codec/Codec.h"

namespace dandelion {

class EtcdStore
  : public Service
  , public Store
{
public:
  /// If a call gets no answer or an error status, the next call goes to the next server of
  /// `aServers`. After a watch, this is so only if it ended without a complete answer. `aTimeout`
  /// applies to each call except watches.
  EtcdStore(Loop& aLoop, std::vector<Endpoint> aServers, Duration aTimeout);

  void Read(const ReadRequest& aRequest, OnRead aDone) override;
  void Create(const CreateRequest& aRequest, OnCreated aDone) override;
  void Swap(const SwapRequest& aRequest, OnSwapped aDone) override;
  void Put(const std::string& aKey,
           const std::string& aValue,
           std::optional<Duration> aTimeToLive,
           OnDone aDone) override;
  void DeleteRange(const std::string& aFirst, const std::string& aEnd, OnDone aDone) override;
  WatchId Watch(const std::string& aPrefix,
                int64_t aAfterRevision,
                OnEvents aOnEvents,
                std::function<void()> aOnEnd) override;
  void CancelWatch(WatchId aId) override;
  uint64_t CallCount() const override { return callCount_; }

private:
  using OnJson = std::function<void(const absl::StatusOr<Json>&)>;
  void Call(const std::string& aPath, const Json& aBody, OnJson aDone);
  void PutWithLease(const std::string& aKey,
                    const std::string& aValue,
                    const std::string& aLease,
                    OnDone aDone);

  HttpClient client_;
  std::vector<Endpoint> servers_;
  size_t serverIndex_ = 0;
  Duration timeout_;
  uint64_t callCount_ = 0;
};

} // namespace dandelion

#endif
