#include "admission/CallPacer.h"

#include <algorithm>

namespace dandelion {

namespace {

/// Starts may run ahead of the limit by what it allows in this time.
constexpr Duration kBurstTime = milliseconds(250);
/// Calls that may start before the first answer, and the time in which their number doubles.
constexpr int64_t kStartsBeforeAnswer = 2;
constexpr Duration kDoublingTime = seconds(1);
constexpr int64_t kMaxDoublings = 30;
/// Slower limits count as this one: a call now and then shows whether the limit still stands.
constexpr double kMinCallsPerSecond = 0.25;
/// Faster limits are none in practice, and shorter intervals would not be counted.
constexpr double kMaxCallsPerSecond = 100000;

} // namespace

void CallPacer::OnStarted(TimePoint aNow)
{
  if (!isAnswered_) {
    firstStart_ = unansweredStarts_ == 0 ? aNow : firstStart_;
    ++unansweredStarts_;
  }
  nextEvenStart_ = std::max(nextEvenStart_, aNow) + interval_;
}

void CallPacer::OnAnswered(const UpstreamAnswered& aAnswer, TimePoint aNow)
{
  isAnswered_ = true;
  if (!aAnswer.maxCallsPerSecond.has_value()) {
    // The answer to a call that was sent earlier may be from before the limit.
    bool mayBeOlder = aAnswer.sentAt < namedAt_;
    interval_ = mayBeOlder ? interval_ : Duration::zero();
    return;
  }
  bool isFirst = !IsLimited();
  std::chrono::duration<double> interval(
    1 / std::clamp(*aAnswer.maxCallsPerSecond, kMinCallsPerSecond, kMaxCallsPerSecond));
  interval_ = std::chrono::duration_cast<Duration>(interval);
  namedAt_ = aNow;
  // The calls that run when a limit begins take up the burst.
  TimePoint afterBurst = aNow + kBurstTime + interval_;
  nextEvenStart_ = isFirst ? afterBurst : std::min(nextEvenStart_, afterBurst);
}

TimePoint CallPacer::NextStart(TimePoint aNow) const
{
  if (isAnswered_) {
    return aNow + DelayBehind(0, aNow);
  }
  if (unansweredStarts_ == 0) {
    return aNow;
  }
  int64_t doublings = 0;
  while (doublings < kMaxDoublings && (kStartsBeforeAnswer << doublings) <= unansweredStarts_) {
    ++doublings;
  }
  return firstStart_ + doublings * kDoublingTime;
}

Duration CallPacer::DelayBehind(int64_t aAhead, TimePoint aNow) const
{
  if (!IsLimited()) {
    return Duration::zero();
  }
  TimePoint start = std::max(nextEvenStart_, aNow) + aAhead * interval_ - kBurstTime;
  return std::max(Duration::zero(), start - aNow);
}

int64_t CallPacer::FreeStarts(int64_t aMax, TimePoint aNow) const
{
  if (!IsLimited()) {
    return aMax;
  }
  Duration ahead = aNow + kBurstTime - std::max(nextEvenStart_, aNow);
  return ahead < Duration::zero() ? 0 : std::min<int64_t>(aMax, 1 + ahead / interval_);
}

int64_t CallPacer::UsableSlots(int64_t aSlots, Duration aServiceTime) const
{
  if (!IsLimited()) {
    return aSlots;
  }
  // Little's law, rounded up.
  return std::min<int64_t>(aSlots, 1 + aServiceTime / interval_);
}

} // namespace dandelion
