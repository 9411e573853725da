/// SWIM-style failure detection and dissemination of member records.
///
/// Members of one zone probe each other, directly and then through other members, and attach
/// records to the probes. The zone's two relays also probe relays of the other zones. No member
/// marks members of another zone suspect, so a lost link between regions does not change their
/// state.
#ifndef DANDELION_MEMBERSHIP_FAILURE_DETECTOR_H
#define DANDELION_MEMBERSHIP_FAILURE_DETECTOR_H

#include "membership/MemberTable.h"
#include "membership/PendingUpdates.h"
#include "membership/ProbeMessages.h"
#include "membership/StateTimes.h"

#include <map>
#include <optional>
#include <random>
#include <variant>
#include <vector>

namespace dandelion {

constexpr Duration kProbePeriod = seconds(1);
constexpr Duration kProbeTimeout = milliseconds(300);
/// A node without an answer from a member or the store for this long accepts no new work.
constexpr Duration kFenceTimeout = seconds(4);
/// A member that was marked gone counts in rollouts for this long. It may still run and accept work
/// while it reaches no other member, but fences itself within this time.
constexpr Duration kGoneGracePeriod = kFenceTimeout;

struct SendProbe
{
  Endpoint to;
  ProbeMessage message;
};
/// Compare member tables with this member over a link.
struct CompareTables
{
  Endpoint with;
};
/// At least one record changed.
struct MembersChanged
{};
/// A peer has reported its configuration version.
struct VersionSeen
{
  Endpoint peer;
  uint64_t version;
};
using FailureDetectorEffect = std::variant<SendProbe, CompareTables, MembersChanged, VersionSeen>;
using FailureDetectorEffects = std::vector<FailureDetectorEffect>;

class FailureDetector
{
public:
  /// `aSelf` is this node's own record; its incarnation must be that of this process start.
  FailureDetector(Member aSelf, uint64_t aSeed, TimePoint aNow);

  /// Must be called several times per probe period.
  FailureDetectorEffects Tick(TimePoint aNow);
  FailureDetectorEffects OnMessage(const Endpoint& aFrom,
                                   const ProbeMessage& aMessage,
                                   TimePoint aNow);
  /// Merges records that were received over a link.
  FailureDetectorEffects OnRecords(const std::vector<Member>& aRecords, TimePoint aNow);
  /// Contacts a member of which only the endpoint is known.
  FailureDetectorEffects ContactSeed(const Endpoint& aSeed, TimePoint aNow);
  /// Announces to several members immediately that this node is leaving or, when the process exits,
  /// gone.
  FailureDetectorEffects AnnounceDeparture(MemberState aState, TimePoint aNow);
  /// Sets how many calls the upstream of this node runs concurrently, 0 while it accepts none, and
  /// the software version that it reports.
  FailureDetectorEffects SetUpstream(int64_t aSlots, const std::string& aVersion, TimePoint aNow);
  /// Sets the latency of the store's answers; 0 while the store does not answer this node.
  FailureDetectorEffects SetStoreLatency(int64_t aMilliseconds, TimePoint aNow);
  /// On a relay, sends the node's new version immediately to several members of its zone and to the
  /// relay of each other zone. Does nothing on other nodes.
  FailureDetectorEffects AnnounceVersion(TimePoint aNow);
  /// Records that the store answered a request sent at `aAskedAt`, so the node is not cut off.
  void RecordLivenessWitness(TimePoint aAskedAt);
  /// Whether nothing has been answered for half of the fence timeout, so that the store should be
  /// queried to show that the node is not cut off. Never true while no other member is known.
  bool NeedsLivenessWitness(TimePoint aNow) const;
  /// Records the version that another member reported.
  void OnVersionReported(const std::string& aId, uint64_t aVersion)
  {
    table_.RaiseVersion(aId, aVersion);
  }
  /// Raises the configuration version in this node's own record.
  void SetVersion(uint64_t aVersion);

  const Member& Self() const { return *table_.Find(selfId_); }
  const MemberTable& Table() const { return table_; }
  /// Returns the records of the zones in which a peer's digests differ from the local ones.
  std::vector<Member> RecordsFor(const ZoneDigests& aTheirs) const
  {
    return table_.RecordsFor(aTheirs);
  }

  /// Whether the node has been cut off for so long that others may have marked it gone, so that it
  /// must not accept new work. Uses the send times of answered requests, so a process that was
  /// paused is fenced as soon as it resumes. A node that knows no other member is never fenced.
  bool IsFenced(TimePoint aNow) const;

  /// Returns the members of this node's zone that must have a version before it counts as in force
  /// everywhere: all except those gone for longer than `kGoneGracePeriod`.
  std::vector<const Member*> CountedMembersInZone(TimePoint aNow) const;

private:
  struct Probe
  {
    std::string target;
    Endpoint endpoint;
    TimePoint sentAt;
    bool hasIndirectProbes = false;
    /// The target is not marked suspect if the probe is not answered.
    bool isExemptFromSuspicion = false;
  };
  /// A probe that this node sends on behalf of another member.
  struct ForwardedProbe
  {
    Endpoint requester;
    uint64_t requesterSequence;
    TimePoint sentAt;
  };

  void MergeRecord(FailureDetectorEffects& aEffects, const Member& aRecord, TimePoint aNow);
  void Refute(const Member& aRecord);
  Gossip MakeGossip(const std::string& aFirstId = "");
  void OnGossip(FailureDetectorEffects& aEffects,
                const Endpoint& aFrom,
                const Gossip& aGossip,
                TimePoint aNow);
  void OnPing(FailureDetectorEffects& aEffects, const Endpoint& aFrom, const Ping& aPing);
  void OnAck(FailureDetectorEffects& aEffects, const Ack& aAck);
  void OnPingRequest(FailureDetectorEffects& aEffects,
                     const Endpoint& aFrom,
                     const PingRequest& aRequest,
                     TimePoint aNow);
  void SendPing(FailureDetectorEffects& aEffects,
                const Member& aTarget,
                bool aIsExemptFromSuspicion,
                TimePoint aNow);
  void StartProbes(FailureDetectorEffects& aEffects, TimePoint aNow);
  void ProbeOwnZone(FailureDetectorEffects& aEffects, TimePoint aNow);
  void ProbeOtherZone(FailureDetectorEffects& aEffects, TimePoint aNow);
  void CheckProbes(FailureDetectorEffects& aEffects, TimePoint aNow);
  void SendIndirectProbes(FailureDetectorEffects& aEffects,
                          uint64_t aSequence,
                          const Probe& aProbe);
  void MarkSuspect(FailureDetectorEffects& aEffects, const std::string& aTarget, TimePoint aNow);
  void ExpireMembers(FailureDetectorEffects& aEffects, TimePoint aNow);
  FailureDetectorEffects ReplaceSelf(Member aSelf, TimePoint aNow);
  void ProbeGone(FailureDetectorEffects& aEffects, TimePoint aNow);
  void NotifyZone(FailureDetectorEffects& aEffects, TimePoint aNow);
  void NotifyOtherZones(FailureDetectorEffects& aEffects, TimePoint aNow);
  bool IsZoneRelay() const;
  const Endpoint& EndpointOf(const Member& aMember) const
  {
    return EndpointFrom(Self().region, aMember);
  }

  std::string selfId_;
  MemberTable table_;
  std::mt19937_64 random_;
  uint64_t nextSequence_;
  std::map<uint64_t, Probe> probes_;
  std::map<uint64_t, ForwardedProbe> forwardedProbes_;
  PendingUpdates pendingUpdates_;
  StateTimes stateTimes_;
  std::vector<std::string> probeOrder_;
  size_t nextZone_ = 0;
  TimePoint lastTick_;
  TimePoint nextProbe_;
  /// Send time of the newest request that a member or the store answered.
  TimePoint lastAnsweredRequestAt_;
  int digestMismatches_ = 0;
  TimePoint nextCompare_;
  bool hasUpdatesForOtherZones_ = false;
};

} // namespace dandelion

#endif
