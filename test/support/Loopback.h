/// Loopback endpoints and loop helpers for tests that run several parts of a mesh on one loop.
#ifndef DANDELION_TEST_SUPPORT_LOOPBACK_H
#define DANDELION_TEST_SUPPORT_LOOPBACK_H

#include "wire/Wire.h"

#include <functional>

namespace dandelion::testing {

/// Returns an endpoint in the address range of this test process, so that parallel tests do not
/// conflict.
Endpoint LoopbackOf(int aHostNumber);

/// Runs the loop for the given time.
void RunFor(Loop& aLoop, Duration aTime);

/// Runs the loop until the condition holds. Returns false if it does not hold within 20 s.
bool RunUntil(Loop& aLoop, const std::function<bool()>& aCondition);

} // namespace dandelion::testing

#endif
