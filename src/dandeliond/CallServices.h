/// Interfaces of the services on the path of a call.
#ifndef DANDELION_DANDELIOND_CALL_SERVICES_H
#define DANDELION_DANDELIOND_CALL_SERVICES_H

#include "admission/Admission.h"
#include "dandeliond/NodeContext.h"

#include <functional>
#include <string>
#include <vector>

namespace dandelion {

/// Decides whether calls may be sent to an upstream of its version, and counts them.
class UpstreamGate
{
public:
  virtual ~UpstreamGate() = default;
  virtual bool IsOpen() const = 0;
  /// Counts a call that is sent to the upstream. Returns the version that it is sent to.
  virtual std::string OnCallStarted(const std::string& aPolicy) = 0;
  /// Counts the answer of a call to a version; `aHasFailed` also where its outcome is unknown.
  virtual void OnCallEnded(const std::string& aVersion,
                           const std::string& aPolicy,
                           TimePoint aStartedAt,
                           bool aHasFailed) = 0;
  /// A call that was sent is cancelled, so it has no answer.
  virtual void OnCallCancelled() = 0;
};

/// `ServiceName::UpstreamState`: the known state of the upstream beside this node.
class UpstreamState
{
public:
  virtual ~UpstreamState() = default;
  /// Calls that it may run at a time; 0 while it must not be sent any.
  virtual int64_t Slots() const = 0;
  /// The same if its gate were open.
  virtual int64_t UngatedSlots() const { return Slots(); }
  /// Name of its incarnation; empty if it has none.
  virtual const std::string& Id() const = 0;
  /// Software version that it reports; nothing before its first report.
  virtual std::optional<std::string> Version() const { return std::nullopt; }
  virtual bool IsWarmingUp() const { return false; }
  /// An answer of this incarnation says that it is leaving.
  virtual void OnLeavingNoticed(const std::string& /* aId */) {}
  /// The gate in front of the upstream; null where there is none.
  virtual UpstreamGate* Gate() const { return nullptr; }
  virtual void SetGate(UpstreamGate* /* aGate */) {}
  /// Tells the listeners that the gate was opened or closed.
  virtual void OnGateChanged() {}
  virtual void AddListener(std::function<void()> aOnChange) = 0;
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

/// `ServiceName::Carrier`: carries attempts of calls to the nodes of upstreams.
class Carrier
{
public:
  using OnReply = std::function<void(const CallReply&)>;

  virtual ~Carrier() = default;
  /// Sends an attempt to the member's node, or to the admission queue of this node if the member is
  /// this node. `aReply` is called once unless the attempt is cancelled, possibly before this
  /// returns. `OpenCall::id` must be unique among the attempts of this node.
  virtual void Send(const Member& aMember, const OpenCall& aCall, OnReply aReply) = 0;
  /// Cancels an attempt that was not answered. It may have run already.
  virtual void Cancel(uint64_t aAttempt) = 0;
};

/// A call as received from a caller.
struct CallerRequest
{
  std::string method;
  std::string target;
  std::vector<HeaderField> headers;
  SharedString body;
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
  SharedString body;
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
