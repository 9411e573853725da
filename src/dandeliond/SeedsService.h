/// First contacts in the store: one key for each of a few members of every zone.
#ifndef DANDELION_DANDELIOND_SEEDS_SERVICE_H
#define DANDELION_DANDELIOND_SEEDS_SERVICE_H

#include "dandeliond/Services.h"

#include <map>
#include <random>

namespace dandelion {

/// Only the first relays and nodes that know nobody read the seeds, so the calls do not grow with
/// the fleet.
class SeedsService : public Service
{
public:
  SeedsService(const NodeContext& aContext, uint64_t aSeed);

  absl::Status Start() override;
  void Stop() override;

private:
  void Read();
  void OnRead(const absl::StatusOr<ReadResult>& aResult, TimePoint aSentAt);
  /// Lists this node where its zone has too few contacts that live. `aListed` are the stored
  /// contacts of the zone, by key.
  void PublishSelf(const std::map<std::string, Endpoint>& aListed);
  bool IsFirstRelayOrAlone() const;
  static void OnWritten(const absl::Status& aStatus);
  std::string OwnKey() const;

  const NodeContext& context_;
  std::mt19937_64 random_;
  Store* store_ = nullptr;
  Membership* membership_ = nullptr;
  Timer timer_;
};

} // namespace dandelion

#endif
