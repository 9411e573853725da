/// The decision of how one note gets into the store's log, whatever the store's answers are.
///
/// The only act of acceptance is creating the key of the next version, which succeeds at most
/// once. A note is called refused only against a log that holds every version the note may have
/// been written to: then none of its writes can still take effect.
#ifndef DANDELION_RELEASE_SUBMISSION_H
#define DANDELION_RELEASE_SUBMISSION_H

#include "release/Configuration.h"

#include <optional>
#include <variant>
#include <vector>

namespace dandelion {

/// What became of an attempt to create a key in the log.
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

/// The replica holds all that a read of the store's log returned, which began after it was asked.
struct LogIsCurrent
{
  const Configuration& configuration;
};
struct LogReadFailed
{};
struct AppendAnswered
{
  AppendOutcome outcome;
};
struct RetryIsDue
{};
using SubmissionEvent = std::variant<LogIsCurrent, LogReadFailed, AppendAnswered, RetryIsDue>;

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
  /// The entry, where this submission wrote it itself.
  std::optional<Entry> written;
};
struct NoteRefused
{
  absl::Status reason;
};
/// The deadline has passed. The note may be accepted yet; the same note may be submitted again.
struct NoteUndecided
{
  absl::Status reason;
};
using SubmissionEffect =
  std::variant<ReadLog, AppendEntry, RetryAfter, NoteAccepted, NoteRefused, NoteUndecided>;

class Submission
{
public:
  /// `aDeadline` bounds how long the submission goes on trying.
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
  /// The version the note is checked against; fixed at the first look at the log.
  std::optional<Version> base_;
  std::optional<Entry> lastAttempt_;
  int failures_ = 0;
};

} // namespace dandelion

#endif
