/// The interfaces by which the daemon's services see each other. Each is found in the registry by
/// its `ServiceName`, so a test can put a mock in its place.
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

/// What every service is given. The names of headers depend on where the node runs.
struct NodeContext
{
  Loop& loop;
  Registry& registry;
  const NodeSettings& settings;
  CallHeaderNames headerNames = {};
};

/// `ServiceName::Metrics`: what the node counts and times.
class MetricsService
  : public Service
  , public Metrics
{};

/// The label of a traffic class.
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
  /// Routes of the current configuration. A caller that keeps it goes on with one snapshot.
  virtual std::shared_ptr<const RouteTable> Routes() const = 0;
  /// Applies what follows the current version; entries already held are passed over.
  virtual absl::Status ApplyEntries(const std::vector<Entry>& aEntries) = 0;
  virtual absl::Status ApplySnapshot(const Configuration& aConfiguration,
                                     const std::string& aHash) = 0;
  /// Applies what follows the current version; those before it are passed over.
  virtual absl::Status ApplyDeltas(const std::vector<ConfigurationDelta>& aDeltas) = 0;
  virtual std::optional<std::vector<Entry>> EntriesAfter(Version aVersion) const = 0;
  virtual std::optional<std::vector<ConfigurationDelta>> DeltasAfter(Version aVersion) const = 0;
  /// Told after each rise of the version, in the order in which the listeners were added.
  virtual void AddListener(std::function<void()> aOnVersion) = 0;
};

/// `ServiceName::ReleaseLog`: the log of accepted notes in the store.
class ReleaseLog
{
public:
  using OnDone = std::function<void(const absl::Status&)>;

  virtual ~ReleaseLog() = default;
  /// Brings the replica to the log's head by a read that begins after this call. Errors:
  /// `StoreUnavailable`; `StoreBehind` where the log lacks what the replica holds; `WrongHash`
  /// where the two have forked.
  virtual void Synchronize(OnDone aDone) = 0;
  /// Highest version in the log, 0 for an empty one.
  virtual void ReadHead(std::function<void(const absl::StatusOr<Version>&)> aDone) = 0;
  virtual void Append(const Entry& aEntry, std::function<void(AppendOutcome)> aDone) = 0;
  /// Puts back what a store has lost, from this node's replica.
  virtual void Repair(OnDone aDone) = 0;
  /// Follows the log until `Unfollow`. New entries are offered to the replica.
  virtual void Follow() = 0;
  virtual void Unfollow() = 0;
  /// Writes a snapshot of the current configuration and drops old notes behind it.
  virtual void Compact(OnDone aDone) = 0;
};

/// `ServiceName::Membership`: who is there.
class Membership
{
public:
  virtual ~Membership() = default;
  virtual const MemberTable& Table() const = 0;
  virtual const Member& Self() const = 0;
  /// The node has joined and holds every version that its slot may have had in force.
  virtual bool IsReady() const = 0;
  virtual bool IsFenced(TimePoint aNow) const = 0;
  virtual std::vector<const Member*> CountedInZone(TimePoint aNow) const = 0;
  /// A member has reported its version.
  virtual void OnVersionReported(const std::string& aMember, Version aVersion) = 0;
  virtual void AddListener(std::function<void()> aOnChange) = 0;
  /// Told of each version that a peer shows.
  virtual void OnVersionSeen(std::function<void(const Endpoint&, Version)> aCallback) = 0;
  /// Announces that this node leaves, or at the end that it has gone.
  virtual void AnnounceDeparture(MemberState aState) = 0;
  /// Makes contact with the strangers among some first contacts.
  virtual void ContactSeeds(const std::vector<Endpoint>& aSeeds) = 0;
  /// The store has answered what it was asked at this time, so the node is not cut off.
  virtual void OnStoreAnswered(TimePoint aAskedAt) = 0;
  /// The store does not answer this node.
  virtual void OnStoreLost() = 0;
  /// No member has answered for a while.
  virtual bool IsIsolated(TimePoint aNow) const = 0;
};

/// `ServiceName::Spreading`: how far versions have come.
class Spreading
{
public:
  using OnProgress = std::function<void(const absl::StatusOr<std::vector<ZoneProgress>>&)>;

  virtual ~Spreading() = default;
  /// Progress of a version in all zones, from this node's relay.
  virtual void QueryProgress(Version aVersion, OnProgress aDone) = 0;
  /// A version is known to be in force elsewhere and must be reached.
  virtual void RequireVersion(Version aVersion) = 0;
  /// Hands an entry that this node has written to the relays.
  virtual void ForwardEntry(const Entry& aEntry) = 0;
  virtual bool IsBehind() const = 0;
};

/// `ServiceName::Submissions`: notes on their way into the log.
class Submissions
{
public:
  using OnStatus = std::function<void(const NoteStatus&)>;

  virtual ~Submissions() = default;
  /// Submits a note; the answer comes when it is accepted or refused, or at the time limit.
  virtual void Submit(const Note& aNote, Duration aTimeLimit, OnStatus aDone) = 0;
  virtual void StatusOf(const std::string& aId, OnStatus aDone) = 0;
};

/// `ServiceName::UpstreamState`: the upstream beside this node, as far as the node knows.
class UpstreamState
{
public:
  virtual ~UpstreamState() = default;
  /// Calls that it runs at a time; 0 while it must get none.
  virtual int64_t Slots() const = 0;
  /// Its incarnation's name; empty where it has none.
  virtual const std::string& Id() const = 0;
  virtual void AddListener(std::function<void()> aOnChange) = 0;
};

/// `ServiceName::Readiness`: what the platform is told about this node.
class Readiness
{
public:
  virtual ~Readiness() = default;
  /// Says from now on that the node takes no work.
  virtual void BeginStop() = 0;
};

/// `ServiceName::Front`: where callers come in.
class Front
{
public:
  virtual ~Front() = default;
  /// Answers tell callers that their connection closes.
  virtual void BeginClosing() = 0;
  /// Takes no new connections; requests in progress are answered.
  virtual void StopListening() = 0;
  /// Connections with a request in progress.
  virtual size_t BusyConnections() const = 0;
};

/// `ServiceName::Admission`: calls to the upstream beside this node.
class Admission
{
public:
  using OnReply = std::function<void(const CallReply&)>;
  using Ticket = uint64_t;

  virtual ~Admission() = default;
  virtual Ticket Serve(const OpenCall& aCall, OnReply aReply) = 0;
  virtual void Cancel(Ticket aTicket) = 0;
  /// Refuses all new calls; `aDone` comes when those that run have finished.
  virtual void Drain(std::function<void()> aDone) = 0;
};

/// A call as a caller made it.
struct CallerRequest
{
  std::string method;
  std::string target;
  std::vector<HeaderField> headers;
  std::string body;
  InheritedLimits limits;
  std::string host = {};
  /// The caller's own name of the call, for logs and for the upstream's answer.
  std::string id = {};
};

struct CallerAnswer
{
  CallOutcome outcome = CallOutcome::NotRun;
  /// The call, or one deeper in its chain, was repeated.
  bool isRetried = false;
  std::optional<ErrorKind> error;
  std::string reason;
  int64_t status = 0;
  std::vector<HeaderField> headers;
  std::string body;
  /// On refusals: when the call is likely to be taken.
  std::optional<Duration> retryAfter = {};
};

/// `ServiceName::Calls`: calls from callers to upstreams.
class Calls
{
public:
  using OnAnswer = std::function<void(const CallerAnswer&)>;
  using CallId = uint64_t;

  virtual ~Calls() = default;
  /// Carries a call. The answer comes once, unless the call is cancelled.
  virtual CallId Begin(CallerRequest aRequest, OnAnswer aDone) = 0;
  virtual void Cancel(CallId aId) = 0;
  /// Sends those calls to a second upstream as well that may run twice and still wait for the
  /// first one's answer. For a node that cannot wait much longer.
  virtual void HedgeOutstanding() = 0;
  /// Answers all calls in progress now, with what is known of each.
  virtual void AnswerOutstanding() = 0;
  virtual size_t InProgress() const = 0;
};

} // namespace dandelion

#endif
