/// First contacts in the store: one key for each zone, kept by the zone's relays.
#ifndef DANDELION_DANDELIOND_SEEDS_SERVICE_H
#define DANDELION_DANDELIOND_SEEDS_SERVICE_H

#include "dandeliond/Services.h"

#include <random>

namespace dandelion {

/// Only relays and nodes that know nobody read the seeds, so the calls do not grow with the fleet.
class SeedsService : public Service
{
public:
  SeedsService(const NodeContext& aContext, uint64_t aSeed);

  absl::Status Start() override;
  void Stop() override;

private:
  void Read();
  void OnRead(const absl::StatusOr<ReadResult>& aResult, TimePoint aAskedAt);
  /// `aListed` is the stored value of our zone's key.
  void OfferSelf(const std::string& aListed);
  bool IsRelayOrAlone() const;

  const NodeContext& context_;
  std::mt19937_64 random_;
  Store* store_ = nullptr;
  Membership* membership_ = nullptr;
  Timer timer_;
};

} // namespace dandelion

#endif
