/// SWIM-style failure detection and spreading of member records.
///
/// Members of one zone probe each other, directly and then through others, and spread records on
/// the probes. The zone's two relays also probe relays of the other zones; members of another
/// zone are never suspected from here, so a lost link between regions is no event about them.
#ifndef DANDELION_MEMBERSHIP_FAILURE_DETECTOR_H
#define DANDELION_MEMBERSHIP_FAILURE_DETECTOR_H

#include "membership/MemberTable.h"
#include "membership/ProbeMessages.h"

#include <map>
#include <optional>
#include <random>
#include <variant>
#include <vector>

namespace dandelion {

constexpr Duration kProbePeriod = seconds(1);
constexpr Duration kProbeTimeout = milliseconds(300);
constexpr Duration kSuspicionTimeout = seconds(4);
/// A node without an answered probe for this long takes no new work.
constexpr Duration kFenceTimeout = seconds(4);
/// How long after it was found gone a member that cannot reach anybody may still take work:
/// its own fence closes within this time.
constexpr Duration kGoneGracePeriod = kFenceTimeout;
constexpr Duration kGoneRetention = seconds(600);

struct SendProbe
{
  Endpoint to;
  ProbeMessage message;
};
/// Compare tables with this member over a link.
struct CompareTables
{
  Endpoint with;
};
/// Records changed.
struct MembersChanged
{};
/// A peer has shown its configuration version.
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
  /// `aSelf` is this node's own record; its incarnation must be that of this start.
  FailureDetector(Member aSelf, uint64_t aSeed, TimePoint aNow);

  /// Called several times in a probe period.
  FailureDetectorEffects Tick(TimePoint aNow);
  FailureDetectorEffects OnMessage(const Endpoint& aFrom,
                                   const ProbeMessage& aMessage,
                                   TimePoint aNow);
  /// Records that came over a link.
  FailureDetectorEffects OnRecords(const std::vector<Member>& aRecords, TimePoint aNow);
  /// A first contact, known by its endpoint alone.
  FailureDetectorEffects ContactSeed(const Endpoint& aSeed, TimePoint aNow);
  /// Announces to many members at once that this node is leaving, or in the end that it is gone.
  FailureDetectorEffects AnnounceDeparture(MemberState aState, TimePoint aNow);
  /// The upstream beside this node runs so many calls at a time from now on; 0 while it takes none.
  FailureDetectorEffects SetSlots(int64_t aSlots, TimePoint aNow);
  /// The store's answers take so long; 0 while it does not answer this node.
  FailureDetectorEffects SetStoreLatency(int64_t aMilliseconds, TimePoint aNow);
  /// Shows the node's new version at once to the zone and to the relays of the other zones.
  FailureDetectorEffects AnnounceVersion(TimePoint aNow);
  /// The store has answered a request that was sent at this time: the node is not cut off.
  void RecordLivenessWitness(TimePoint aAskedAt);
  /// No member has answered lately, so the store should be asked for a sign of life.
  bool NeedsLivenessWitness(TimePoint aNow) const;
  /// No member has answered for some probes.
  bool IsIsolated(TimePoint aNow) const;
  /// Another member has reported its version.
  void OnVersionReported(const std::string& aId, uint64_t aVersion)
  {
    table_.RaiseVersion(aId, aVersion);
  }
  /// The node's configuration version rose.
  void SetVersion(uint64_t aVersion);

  const Member& Self() const { return *table_.Find(selfId_); }
  const MemberTable& Table() const { return table_; }
  /// Records of the zones in which a peer's digests differ from ours.
  std::vector<Member> RecordsFor(const ZoneDigests& aTheirs) const;

  /// The node has been cut off for so long that others may count it as gone, so it takes no new
  /// work. Judged from when answered probes were sent: a paused process is fenced on waking.
  bool IsFenced(TimePoint aNow) const;

  /// Members of our zone that hold back "in force everywhere": all but those gone for long.
  std::vector<const Member*> CountedInZone(TimePoint aNow) const;

private:
  struct Probe
  {
    std::string target;
    Endpoint endpoint;
    TimePoint sentAt;
    bool hasIndirectProbes = false;
    bool isExemptFromSuspicion = false;
  };
  /// A probe that we carry out for another member.
  struct ForwardedProbe
  {
    Endpoint requester;
    uint64_t requesterSequence;
    TimePoint sentAt;
  };
  struct PendingUpdate
  {
    Member record;
    int sendsLeft;
  };

  void MergeRecord(FailureDetectorEffects& aEffects, const Member& aRecord, TimePoint aNow);
  void Refute(const Member& aRecord);
  void QueueUpdate(const Member& aRecord);
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
  void RecordStateTime(const Member& aRecord, TimePoint aNow);

  std::string selfId_;
  MemberTable table_;
  std::mt19937_64 random_;
  uint64_t nextSequence_;
  std::map<uint64_t, Probe> probes_;
  std::map<uint64_t, ForwardedProbe> forwardedProbes_;
  std::map<std::string, PendingUpdate> pendingUpdates_;
  /// When a member that is suspect or gone was first seen so.
  std::map<std::string, TimePoint> stateSince_;
  std::vector<std::string> probeOrder_;
  size_t nextZone_ = 0;
  TimePoint lastTick_;
  TimePoint nextProbe_;
  TimePoint lastAnsweredRequestAt_;
  int digestMismatches_ = 0;
  TimePoint nextCompare_;
  bool hasUpdatesForOtherZones_ = false;
};

} // namespace dandelion

#endif
