/// Seeds for first contact, stored as one key for each of a few members of every zone.
#ifndef DANDELION_DANDELIOND_SEEDS_SERVICE_H
#define DANDELION_DANDELIOND_SEEDS_SERVICE_H

#include "dandeliond/MembershipServices.h"

#include <map>
#include <random>

namespace dandelion {

/// Only the first relay of each zone, nodes that are joining and nodes that know no other member
/// read the seeds, so the number of store calls does not grow with the number of nodes.
class SeedsService : public Service
{
public:
  SeedsService(const NodeContext& aContext, uint64_t aSeed);

  absl::Status Start() override;
  void Stop() override;

private:
  void Read();
  void OnRead(const absl::StatusOr<ReadResult>& aResult, TimePoint aSentAt);
  /// Publishes this node as a seed if its zone has too few live seeds. The zone's first relay also
  /// deletes seeds of unknown nodes. `aListed` holds the zone's stored seeds by key.
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
