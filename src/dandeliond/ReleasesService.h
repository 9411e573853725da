/// Holds the replica and the route table built from its current configuration.
#ifndef DANDELION_DANDELIOND_RELEASES_SERVICE_H
#define DANDELION_DANDELIOND_RELEASES_SERVICE_H

#include "dandeliond/ReleaseServices.h"

namespace dandelion {

class ReleasesService
  : public Service
  , public Releases
{
public:
  ReleasesService();

  const ConfigurationPtr& Current() const override { return replica_.Current(); }
  const std::string& CurrentHash() const override { return replica_.CurrentHash(); }
  std::shared_ptr<const RouteTable> Routes() const override { return routes_; }
  std::shared_ptr<const AccountTable> Accounts() const override { return accounts_; }
  absl::Status ApplyEntries(const std::vector<Entry>& aEntries) override;
  absl::Status ApplySnapshot(const Configuration& aConfiguration,
                             const std::string& aHash) override;
  absl::Status ApplyDeltas(const std::vector<ConfigurationDelta>& aDeltas) override;
  std::optional<std::vector<ConfigurationDelta>> DeltasAfter(Version aVersion) const override
  {
    return replica_.DeltasAfter(aVersion);
  }
  std::optional<std::vector<Entry>> EntriesAfter(Version aVersion) const override
  {
    return replica_.EntriesAfter(aVersion);
  }
  void AddListener(std::function<void()> aOnVersion) override
  {
    listeners_.push_back(std::move(aOnVersion));
  }

private:
  template<class Update>
  absl::Status ApplyNewer(const std::vector<Update>& aUpdates);
  absl::Status Apply(const Entry& aEntry) { return replica_.ApplyEntry(aEntry); }
  absl::Status Apply(const ConfigurationDelta& aDelta) { return replica_.AdvanceByDelta(aDelta); }
  void Publish();

  Replica replica_;
  std::shared_ptr<const RouteTable> routes_;
  std::shared_ptr<const AccountTable> accounts_;
  std::vector<std::function<void()>> listeners_;
};

} // namespace dandelion

#endif
