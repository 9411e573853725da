/// Events and effects of the admission queue of an upstream, and the queue estimate it reports.
#ifndef DANDELION_ADMISSION_ADMISSION_EVENTS_H
#define DANDELION_ADMISSION_ADMISSION_EVENTS_H

#include "release/Release.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace dandelion {

using CallKey = uint64_t;

/// Name of the call's policy. Calls with the same policy have similar service times.
using CostClass = std::string;

struct CallArrived
{
  CallKey call;
  TrafficClass trafficClass;
  TimePoint deadline;
  /// Time by which the call should be answered (its latency target); the deadline if it has none.
  TimePoint target = {};
  /// 0 is the highest priority.
  int64_t priority = 1;
  CostClass costClass = {};
  /// `TargetQueue` refuses the call on arrival if its expected queue delay exceeds this.
  Duration maxQueueDelay = Duration::max();
  /// Client account that sent the call; empty if there is none.
  std::string account = {};
  /// Service of the node that accepted the call.
  std::string callerService = {};
  /// The call comes from another zone. While it waits, `TargetQueue` refuses it if a call of the
  /// own zone needs its room.
  bool isFromOtherZone = false;
};
struct CallFinished
{
  CallKey call;
  /// Whether `TargetQueue` counts the time in the slot as a service time. False for refusals and
  /// failures: they are quick, and would make a failing upstream look like the fastest one.
  /// `SlotQueue` counts every call.
  bool isServiceTimeSample = true;
};
/// The caller has cancelled the call. A running call keeps its slot until it has finished.
struct CallCancelled
{
  CallKey call;
};
/// The upstream has answered a call.
struct UpstreamAnswered
{
  /// Calls a second that it says it takes; nothing if it names no limit.
  std::optional<double> maxCallsPerSecond;
  /// When the call was sent.
  TimePoint sentAt;
};
using AdmissionEvent = std::variant<CallArrived, CallFinished, CallCancelled, UpstreamAnswered>;

/// Send the call to the upstream.
struct RunCall
{
  CallKey call;
};
/// Refuse the call; it has not run and will not run.
struct RefuseCall
{
  CallKey call;
  ErrorKind reason;
};
using AdmissionEffect = std::variant<RunCall, RefuseCall>;
using AdmissionEffects = std::vector<AdmissionEffect>;

/// Expected delays of a call that arrives now. It is returned with every reply, and the caller's
/// node uses it to choose upstreams.
struct QueueEstimate
{
  /// Waiting and running calls.
  int64_t queueLength = 0;
  /// Slots that may be in use, counting those that the upstream's limit leaves.
  int64_t slots = 0;
  /// Slots left after one slot is counted for each running or waiting call, and that calls may
  /// start in now.
  int64_t freeSlots = 0;
  /// Expected time until a slot is free for the call.
  Duration queueDelay = Duration::zero();
  /// Expected time in the slot.
  Duration serviceTime = Duration::zero();
  /// Time until the answers that are queued on the instance's network link have been sent.
  Duration linkDelay = Duration::zero();
};

} // namespace dandelion

#endif
