/// Decides how one note is added to the store's log, whatever the store answers.
///
/// A note is accepted only by creating the key of the next version, which succeeds at most once.
/// A note is reported as refused only against a log that contains every version that the note may
/// have been written to, so that none of its writes can still take effect.
#ifndef DANDELION_RELEASE_SUBMISSION_H
#define DANDELION_RELEASE_SUBMISSION_H

#include "release/Configuration.h"

#include <optional>
#include <variant>
#include <vector>

namespace dandelion {

/// Outcome of an attempt to create a key in the log.
enum class AppendOutcome
{
  Written,
  Occupied,
  ParentMissing,
  Unknown,
};

template<>
struct EnumNames<AppendOutcome>
{
  static constexpr EnumName<AppendOutcome> kTable[] = {
    { AppendOutcome::Written, "written" },
    { AppendOutcome::Occupied, "occupied" },
    { AppendOutcome::ParentMissing, "parent-missing" },
    { AppendOutcome::Unknown, "unknown" },
  };
};

/// The replica contains everything that a read of the store's log returned. The read began after
/// `ReadLog`.
struct LogReadSucceeded
{
  const Configuration& configuration;
};
struct LogReadFailed
{};
struct AppendCompleted
{
  AppendOutcome outcome;
};
struct RetryDue
{};
using SubmissionEvent = std::variant<LogReadSucceeded, LogReadFailed, AppendCompleted, RetryDue>;

struct ReadLog
{};
struct AppendEntry
{
  Entry entry;
};
struct RetryAfter
{
  Duration delay;
};
struct NoteAccepted
{
  Version version;
  /// The entry, if this submission wrote it.
  std::optional<Entry> written;
};
struct NoteRefused
{
  absl::Status reason;
};
/// The deadline has passed. The note may still be accepted; the same note may be submitted again.
struct NoteUndecided
{
  absl::Status reason;
};
using SubmissionEffect =
  std::variant<ReadLog, AppendEntry, RetryAfter, NoteAccepted, NoteRefused, NoteUndecided>;

class Submission
{
public:
  /// After `aDeadline` the submission ends as undecided instead of retrying.
  Submission(Note aNote, TimePoint aDeadline);

  SubmissionEffect Begin();
  SubmissionEffect Handle(const SubmissionEvent& aEvent, TimePoint aNow);

  const std::string& NoteId() const { return note_.id; }

private:
  SubmissionEffect OnLogRead(const Configuration& aConfiguration, TimePoint aNow);
  SubmissionEffect OnAppendCompleted(AppendOutcome aOutcome, TimePoint aNow);
  SubmissionEffect RetryOrGiveUp(TimePoint aNow, const char* aReason);

  Note note_;
  std::string contentHash_;
  TimePoint deadline_;
  /// Version that the note is checked against. If the note states no base, it is set by the first
  /// read of the log.
  std::optional<Version> base_;
  std::optional<Entry> lastAttempt_;
  int failures_ = 0;
};

} // namespace dandelion

#endif
