/// What a node knows about whether a call has run.
#ifndef DANDELION_ROUTING_CALL_OUTCOME_H
#define DANDELION_ROUTING_CALL_OUTCOME_H

#include "kernel/Kernel.h"

namespace dandelion {

enum class CallOutcome
{
  /// No upstream has run or will run the call.
  NotRun,
  /// An upstream has answered.
  Ran,
  /// The call may have run or may still run.
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
