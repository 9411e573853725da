/// The interfaces through which the services of the daemon use each other. Each service is found in
/// the registry by its `ServiceName`, so a test can replace it by a mock.
#ifndef DANDELION_DANDELIOND_SERVICES_H
#define DANDELION_DANDELIOND_SERVICES_H

#include "admission/Admission.h"
#include "dandeliond/NodeSettings.h"
#include "wire/Wire.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace dandelion {

/// Dependencies common to all services. The header names depend on the environment of the node.
struct NodeContext
{
  Loop& loop;
  Registry& registry;
  const NodeSettings& settings;
  CallHeaderNames headerNames = {};

  /// Whether the nodes of this environment track where a version is in force. The platform shows
  /// its operators no progress.
  bool TracksProgress() const { return settings.environment == EnvironmentName::Standalone; }
};

/// `ServiceName::Metrics`: counters and histograms of the node.
class MetricsService
  : public Service
  , public Metrics
{};

/// The metric label of a traffic class.
inline MetricLabel ClassLabel(TrafficClass aClass)
{
  return fmt::format("class=\"{}\"", NameOf(aClass));
}

/// `ServiceName::Releases`: the configuration in force on this node.
class Releases
{
public:
  virtual ~Releases() = default;
  virtual const ConfigurationPtr& Current() const = 0;
  virtual const std::string& CurrentHash() const = 0;
  /// Routes of the current configuration. The table does not change, so a call that keeps it is
  /// routed by one version.
  virtual std::shared_ptr<const RouteTable> Routes() const = 0;
  /// Applies the entries that follow the current version; older ones are ignored. Returns the error
  /// of the first entry that cannot be applied.
  virtual absl::Status ApplyEntries(const std::vector<Entry>& aEntries) = 0;
  /// Applies a whole configuration; one that is not newer is ignored. Returns the error of a
  /// configuration that cannot be applied.
  virtual absl::Status ApplySnapshot(const Configuration& aConfiguration,
                                     const std::string& aHash) = 0;
  /// Applies the deltas that follow the current version; older ones are ignored. Returns the error
  /// of the first delta that cannot be applied.
  virtual absl::Status ApplyDeltas(const std::vector<ConfigurationDelta>& aDeltas) = 0;
  /// Entries, or deltas, that lead from a version to the current one; nothing if they are not all
  /// kept here.
  virtual std::optional<std::vector<Entry>> EntriesAfter(Version aVersion) const = 0;
  virtual std::optional<std::vector<ConfigurationDelta>> DeltasAfter(Version aVersion) const = 0;
  /// Adds a listener that is called after each increase of the version. Listeners are called in the
  /// order in which they were added.
  virtual void AddListener(std::function<void()> aOnVersion) = 0;
};

/// `ServiceName::ReleaseLog`: the log of accepted notes in the store.
class ReleaseLog
{
public:
  using OnDone = std::function<void(const absl::Status&)>;
  using OnConfirmation = std::function<void(TimePoint aAsOf, int64_t aRevision)>;

  virtual ~ReleaseLog() = default;
  /// Brings the replica to the head of the log by a read that begins after this call. Errors:
  /// `StoreUnavailable`; `StoreBehind` if the log lacks entries that the replica has; `WrongHash`
  /// if the histories of the two have diverged.
  virtual void Synchronize(OnDone aDone) = 0;
  /// Reads the highest version in the log, 0 for an empty log.
  virtual void ReadHead(std::function<void(const absl::StatusOr<Version>&)> aDone) = 0;
  virtual void Append(const Entry& aEntry, std::function<void(AppendOutcome)> aDone) = 0;
  /// Writes the entries that the store has lost to the log again, from this node's replica.
  virtual void Repair(OnDone aDone) = 0;
  /// Watches the log until `Unfollow` and applies new entries to the replica. All that the store
  /// held at `aAfterRevision` is in force already; 0 if no such revision is known.
  virtual void Follow(int64_t aAfterRevision) = 0;
  virtual void Unfollow() = 0;
  /// Adds a listener that is called when the store has shown that this node's version was the
  /// newest one at a time and a revision. Only logs of which progress is not tracked call it.
  virtual void OnConfirmed(OnConfirmation aListener) = 0;
  /// Writes a snapshot of the current configuration and deletes old notes that it covers.
  virtual void Compact(OnDone aDone) = 0;
};

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
  virtual std::vector<const Member*> RolloutMembersInZone(TimePoint aNow) const = 0;
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

/// `ServiceName::Submissions`: submission of release notes to the log.
class Submissions
{
public:
  using OnStatus = std::function<void(const NoteStatus&)>;

  virtual ~Submissions() = default;
  /// Submits a note; `aDone` is called when it is accepted or refused, or at the time limit.
  virtual void Submit(const Note& aNote, Duration aTimeLimit, OnStatus aDone) = 0;
  virtual void StatusOf(const std::string& aId, OnStatus aDone) = 0;
};

/// `ServiceName::UpstreamState`: the known state of the upstream beside this node.
class UpstreamState
{
public:
  virtual ~UpstreamState() = default;
  /// Calls that it may run at a time; 0 while it must not be sent any.
  virtual int64_t Slots() const = 0;
  /// Name of its incarnation; empty if it has none.
  virtual const std::string& Id() const = 0;
  virtual void AddListener(std::function<void()> aOnChange) = 0;
};

/// `ServiceName::Readiness`: answers the platform's readiness checks of this node.
class Readiness
{
public:
  virtual ~Readiness() = default;
  /// Answers all further checks with "not ready".
  virtual void BeginStop() = 0;
};

/// `ServiceName::Front`: accepts requests of callers.
class Front
{
public:
  virtual ~Front() = default;
  /// From now on answers tell callers that their connection closes.
  virtual void BeginClosing() = 0;
  /// Accepts no new connections; requests in progress are answered.
  virtual void StopListening() = 0;
  /// Connections with a request in progress.
  virtual size_t BusyConnections() const = 0;
};

/// `ServiceName::Admission`: queues and runs calls to the upstream beside this node.
class Admission
{
public:
  using OnReply = std::function<void(const CallReply&)>;
  using Ticket = uint64_t;

  virtual ~Admission() = default;
  /// Runs or refuses a call. `aReply` is called once unless the call is cancelled, possibly before
  /// this returns.
  virtual Ticket Serve(const OpenCall& aCall, OnReply aReply) = 0;
  virtual void Cancel(Ticket aTicket) = 0;
  /// Refuses all queued and new calls; `aDone` is called when the running calls have finished.
  virtual void Drain(std::function<void()> aDone) = 0;
};

/// A call as received from a caller.
struct CallerRequest
{
  std::string method;
  std::string target;
  std::vector<HeaderField> headers;
  std::string body;
  InheritedLimits limits;
  std::string host = {};
  /// The caller's id of the request, for logs and for the check of the upstream's answer.
  std::string id = {};
};

struct CallerAnswer
{
  CallOutcome outcome = CallOutcome::NotRun;
  /// The call, or a call made on its behalf, was retried.
  bool isRetried = false;
  std::optional<ErrorKind> error;
  std::string reason;
  int64_t status = 0;
  std::vector<HeaderField> headers;
  std::string body;
  /// For refusals: after which time the call is likely to be accepted.
  std::optional<Duration> retryAfter = {};
};

/// `ServiceName::Calls`: sends calls of callers to upstreams.
class Calls
{
public:
  using OnAnswer = std::function<void(const CallerAnswer&)>;
  using CallId = uint64_t;

  virtual ~Calls() = default;
  /// Begins a call. `aDone` is called once unless the call is cancelled, possibly before this
  /// returns.
  virtual CallId Begin(CallerRequest aRequest, OnAnswer aDone) = 0;
  virtual void Cancel(CallId aId) = 0;
  /// Hedges the outstanding calls that may run twice and have one open attempt: sends each to a
  /// second upstream. A stopping node does so when it cannot wait much longer for the first answer.
  virtual void HedgeOutstanding() = 0;
  /// Refuses new calls whose deadline is later than this, as not run. A stopping node could not
  /// wait for their answers.
  virtual void RefuseCallsEndingAfter(TimePoint aLatestEnd) = 0;
  /// Answers all calls in progress now, with what is known of each.
  virtual void AnswerOutstanding() = 0;
  virtual size_t InProgress() const = 0;
};

} // namespace dandelion

#endif
