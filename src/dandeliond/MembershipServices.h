/// Interfaces of the services that know the members of the mesh and distribute versions to them.
#ifndef DANDELION_DANDELIOND_MEMBERSHIP_SERVICES_H
#define DANDELION_DANDELIOND_MEMBERSHIP_SERVICES_H

#include "dandeliond/NodeContext.h"

#include <functional>
#include <string>
#include <vector>

namespace dandelion {

/// `ServiceName::Membership`: the members of the mesh and the state of this node among them.
class Membership
{
public:
  virtual ~Membership() = default;
  virtual const MemberTable& Table() const = 0;
  virtual const Member& Self() const = 0;
  /// Whether the node has joined and holds every version that its slot may have had in force.
  virtual bool IsReady() const = 0;
  /// Whether the node must take no new calls. It has been without contact for so long that other
  /// nodes may count it as gone, and may report a version as in force that it does not hold.
  virtual bool IsFenced(TimePoint aNow) const = 0;
  /// Members of this node's zone that must hold a version before it counts as in force there. A
  /// member that is gone is still counted until its own fence must have taken effect.
  virtual std::vector<const Member*> CountedMembersInZone(TimePoint aNow) const = 0;
  /// Records the version that a member has reported.
  virtual void OnVersionReported(const std::string& aMember, Version aVersion) = 0;
  virtual void AddListener(std::function<void()> aOnChange) = 0;
  /// Sets the callback for each version that a peer announces.
  virtual void OnVersionSeen(std::function<void(const Endpoint&, Version)> aCallback) = 0;
  /// Announces that this node is leaving or, at the end of its stop, that it is gone.
  virtual void AnnounceDeparture(MemberState aState) = 0;
  /// Contacts the seeds among `aSeeds` that are not known yet.
  virtual void ContactSeeds(const std::vector<Endpoint>& aSeeds) = 0;
  /// The store has answered a request sent at `aAskedAt`, which shows that the node is connected.
  virtual void OnStoreAnswered(TimePoint aAskedAt) = 0;
  /// The store does not answer this node.
  virtual void OnStoreLost() = 0;
};

/// `ServiceName::Spreading`: distributes versions to nodes and tracks their rollout.
class Spreading
{
public:
  using OnProgress = std::function<void(const absl::StatusOr<std::vector<ZoneProgress>>&)>;

  virtual ~Spreading() = default;
  /// Queries the progress of a version in all zones from this node's relay.
  virtual void QueryProgress(Version aVersion, OnProgress aDone) = 0;
  /// Requires this node to catch up to a version that is known to be in force elsewhere.
  virtual void RequireVersion(Version aVersion) = 0;
  /// Sends the relays an entry that this node has appended to the log.
  virtual void ForwardEntry(const Entry& aEntry) = 0;
  /// Records that a member has reported `aVersion` as its own.
  virtual void OnVersionSeen(const Endpoint& aPeer, Version aVersion) = 0;
  /// Whether this node knows of a version newer than its own.
  virtual bool IsBehind() const = 0;
};

} // namespace dandelion

#endif
