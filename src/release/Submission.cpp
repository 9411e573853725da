#include "release/Submission.h"

#include "release/Apply.h"

#include <algorithm>

namespace dandelion {

namespace {

constexpr Duration kInitialRetryDelay = milliseconds(50);
constexpr Duration kMaxRetryDelay = seconds(2);
constexpr int kMaxDoublings = 6;

Duration RetryDelay(int aFailures)
{
  Duration delay = kInitialRetryDelay * (1 << std::min(aFailures, kMaxDoublings));
  return std::min(delay, kMaxRetryDelay);
}

} // namespace

Submission::Submission(Note aNote, TimePoint aDeadline)
  : note_(std::move(aNote))
  , contentHash_(ContentHash(note_))
  , deadline_(aDeadline)
  , base_(note_.base)
{
}

SubmissionEffect Submission::Begin()
{
  return ReadLog{};
}

SubmissionEffect Submission::Handle(const SubmissionEvent& aEvent, TimePoint aNow)
{
  return std::visit(
    Overloaded{
      [&](const LogReadSucceeded& aLog) { return OnLogRead(aLog.configuration, aNow); },
      [&](const LogReadFailed&) { return RetryOrGiveUp(aNow, "the store's log cannot be read"); },
      [&](const AppendCompleted& aAnswer) { return OnAppendCompleted(aAnswer.outcome, aNow); },
      [&](const RetryDue&) -> SubmissionEffect { return ReadLog{}; },
    },
    aEvent);
}

SubmissionEffect Submission::OnLogRead(const Configuration& aConfiguration, TimePoint aNow)
{
  const AcceptedNote* accepted = FindNote(aConfiguration, note_.id);
  if (accepted != nullptr && accepted->contentHash == contentHash_) {
    return NoteAccepted{ accepted->version, std::nullopt };
  }
  // A store that lost its newest entries returns an older log. The lost entries may include the
  // last attempt, so nothing is decided until the log reaches the parent of that attempt again.
  if (lastAttempt_.has_value() && aConfiguration.version + 1 < lastAttempt_->version) {
    return RetryOrGiveUp(aNow, "the store's log is behind");
  }
  if (!base_.has_value()) {
    base_ = aConfiguration.version;
  }
  auto entry = MakeEntry(aConfiguration, note_, *base_);
  if (!entry.ok()) {
    // No earlier write of this note can still succeed: the keys up to the current version hold
    // other notes, and a write of the next version is ruled out, because it would have needed this
    // check to pass on the same parent.
    return NoteRefused{ entry.status() };
  }
  lastAttempt_ = *entry;
  return AppendEntry{ *std::move(entry) };
}

SubmissionEffect Submission::OnAppendCompleted(AppendOutcome aOutcome, TimePoint aNow)
{
  switch (aOutcome) {
    case AppendOutcome::Written:
      return NoteAccepted{ lastAttempt_->version, lastAttempt_ };
    case AppendOutcome::Occupied:
      return ReadLog{};
    case AppendOutcome::ParentMissing:
      return RetryOrGiveUp(aNow, "the store's log is behind");
    case AppendOutcome::Unknown:
      return RetryOrGiveUp(aNow, "the store did not report whether it wrote the note");
  }
  return RetryOrGiveUp(aNow, "the store's answer was not recognised");
}

SubmissionEffect Submission::RetryOrGiveUp(TimePoint aNow, const char* aReason)
{
  if (aNow >= deadline_) {
    return NoteUndecided{ MakeError(
      ErrorKind::OutcomeUnknown,
      fmt::format("note \"{}\" is undecided: {}; submit the same note again", note_.id, aReason)) };
  }
  return RetryAfter{ RetryDelay(failures_++) };
}

} // namespace dandelion
