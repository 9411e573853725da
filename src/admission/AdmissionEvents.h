/// What happens at the gate beside an upstream, what the gate decides, and what it can tell.
#ifndef DANDELION_ADMISSION_ADMISSION_EVENTS_H
#define DANDELION_ADMISSION_ADMISSION_EVENTS_H

#include "release/Release.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace dandelion {

using CallKey = uint64_t;

/// Calls that take about the same work share a kind: the name of their policy.
using CostClass = std::string;

struct CallArrived
{
  CallKey call;
  TrafficClass trafficClass;
  TimePoint deadline;
  /// Until when an answer is worth most; the deadline where there is no target.
  TimePoint target = {};
  /// 0 is the highest.
  int64_t priority = 1;
  CostClass costClass = {};
  /// The call would rather be refused than wait longer than this.
  Duration maxQueueDelay = Duration::max();
};
struct CallFinished
{
  CallKey call;
  /// The time that it took is the time of its work. An upstream that refuses or fails is quick, and
  /// must not seem the best one for it.
  bool isServiceTimeSample = true;
};
/// The caller no longer wants the answer; a running call keeps its slot until it has finished.
struct CallCancelled
{
  CallKey call;
};
using AdmissionEvent = std::variant<CallArrived, CallFinished, CallCancelled>;

/// Hand the call to the upstream.
struct RunCall
{
  CallKey call;
};
/// The call has not run and will not.
struct RefuseCall
{
  CallKey call;
  ErrorKind reason;
};
using AdmissionEffect = std::variant<RunCall, RefuseCall>;
using AdmissionEffects = std::vector<AdmissionEffect>;

/// What a gate expects of a call that arrives now. It goes back with every reply, as evidence for
/// the choice of upstream.
struct QueueEstimate
{
  /// Calls that wait or run.
  int64_t queueLength = 0;
  int64_t slots = 0;
  /// Slots that no call holds or waits for.
  int64_t freeSlots = 0;
  /// Until a slot is free for it, and in the slot.
  Duration queueDelay = Duration::zero();
  Duration serviceTime = Duration::zero();
  /// Until the answers that wait on the machine's link have left it.
  Duration linkDelay = Duration::zero();
};

} // namespace dandelion

#endif
