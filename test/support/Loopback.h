/// Addresses and time for tests that run several parts of a mesh on one loop.
#ifndef DANDELION_TEST_SUPPORT_LOOPBACK_H
#define DANDELION_TEST_SUPPORT_LOOPBACK_H

#include "wire/Wire.h"

#include <functional>

namespace dandelion::testing {

/// An endpoint of this test process, so that tests that run side by side do not meet.
Endpoint LoopbackOf(int aHostNumber);

/// Runs the loop for some time.
void RunFor(Loop& aLoop, Duration aTime);

/// Runs the loop until the condition holds; false where it does not within 20 s.
bool RunUntil(Loop& aLoop, const std::function<bool()>& aCondition);

} // namespace dandelion::testing

#endif
