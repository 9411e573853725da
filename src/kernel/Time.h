/// Types of time: steady clock, in microseconds. Decision code receives the time as an argument.
#ifndef DANDELION_KERNEL_TIME_H
#define DANDELION_KERNEL_TIME_H

#include <chrono>
#include <cstdint>

namespace dandelion {

using Duration = std::chrono::microseconds;
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Whole milliseconds in a duration, rounded toward zero.
inline int64_t ToMilliseconds(Duration aDuration)
{
  return std::chrono::duration_cast<milliseconds>(aDuration).count();
}

} // namespace dandelion

#endif
