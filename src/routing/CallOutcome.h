/// What is certain about a call.
#ifndef DANDELION_ROUTING_CALL_OUTCOME_H
#define DANDELION_ROUTING_CALL_OUTCOME_H

#include "kernel/Kernel.h"

namespace dandelion {

enum class CallOutcome
{
  /// No upstream has begun the work, and none will.
  NotRun,
  /// An upstream has answered.
  Ran,
  /// The work may have been done or may yet be done.
  Unknown,
};

template<>
struct EnumNames<CallOutcome>
{
  static constexpr EnumName<CallOutcome> kTable[] = {
    { CallOutcome::NotRun, "not-run" },
    { CallOutcome::Ran, "ran" },
    { CallOutcome::Unknown, "unknown" },
  };
};

} // namespace dandelion

#endif
