/// Paces the calls to an upstream that names how many it takes in a second. Internal to the
/// library.
///
/// While a limit is named, calls start at its rate, with a short burst after a pause. A process
/// that has just started does not know what earlier answers named, so until the first answer only a
/// few calls start. Their number doubles in steps, since an upstream may leave calls unanswered.
#ifndef DANDELION_ADMISSION_CALL_PACER_H
#define DANDELION_ADMISSION_CALL_PACER_H

#include "admission/AdmissionEvents.h"

#include <optional>

namespace dandelion {

class CallPacer
{
public:
  /// Starts only a few calls until the first answer.
  void AwaitFirstAnswer() { isAnswered_ = false; }
  void OnStarted(TimePoint aNow);
  void OnAnswered(const UpstreamAnswered& aAnswer, TimePoint aNow);

  /// Whether a call may start now, and when it may at the latest.
  bool MayStart(TimePoint aNow) const { return NextStart(aNow) <= aNow; }
  TimePoint NextStart(TimePoint aNow) const;

  /// Expected time until a call may start behind `aAhead` calls that wait.
  Duration DelayBehind(int64_t aAhead, TimePoint aNow) const;
  /// How many calls may start now; at most `aMax`.
  int64_t FreeStarts(int64_t aMax, TimePoint aNow) const;
  /// How many of the slots the limit lets calls use that take this long.
  int64_t UsableSlots(int64_t aSlots, Duration aServiceTime) const;

private:
  bool IsLimited() const { return interval_ > Duration::zero(); }

  /// Time between two calls at the named limit; zero while none is named.
  Duration interval_ = Duration::zero();
  /// When the next call would start if calls started evenly.
  TimePoint nextEvenStart_;
  /// When an answer last named the limit.
  TimePoint namedAt_;
  bool isAnswered_ = true;
  /// Calls started before the first answer, and when the first of them started.
  int64_t unansweredStarts_ = 0;
  TimePoint firstStart_;
};

} // namespace dandelion

#endif
