/// Guards against an accepted note that is missing from the log or in it twice, and a refused note
/// that is written after all. Both can come about when several operators submit at once, a note is
/// submitted again through another node, and the store's answers are lost or late.
#include "support/Check.h"
#include "support/Notes.h"

#include <map>

using namespace dandelion;
using namespace dandelion::testing;

namespace {

/// Stands in for the store's log: creates a key only if it is absent and its parent is present.
class FakeLog
{
public:
  AppendOutcome Create(const Entry& aEntry, int aWriter)
  {
    if (present_.count(aEntry.version) > 0) {
      return AppendOutcome::Occupied;
    }
    if (aEntry.version > 1 && present_.count(aEntry.version - 1) == 0) {
      return AppendOutcome::ParentMissing;
    }
    present_[aEntry.version] = aEntry;
    entries_.push_back(aEntry);
    writers_.push_back(aWriter);
    return AppendOutcome::Written;
  }

  void CompactAllButNewest()
  {
    while (present_.size() > 1) {
      present_.erase(present_.begin());
    }
  }

  /// The configuration of a node after reading the log, or the snapshot and the entries after it.
  Configuration Read() const
  {
    Replica replica;
    for (const Entry& entry : entries_) {
      absl::Status status = replica.ApplyEntry(entry);
      RC_ASSERT(status.ok());
    }
    return *replica.Current();
  }

  const std::vector<Entry>& Entries() const { return entries_; }
  /// Number of the submitter that wrote each entry.
  const std::vector<int>& Writers() const { return writers_; }

private:
  std::map<Version, Entry> present_;
  std::vector<Entry> entries_;
  std::vector<int> writers_;
};

/// One submission through one node, with the effect to execute next.
struct Submitter
{
  int number;
  Submission submission;
  SubmissionEffect effect;
  bool isDone = false;
};

class ConcurrentSubmissions
{
public:
  explicit ConcurrentSubmissions(const std::vector<Note>& aNotes)
  {
    for (const Note& note : aNotes) {
      Submission submission(note, TimePoint(seconds(1000)));
      SubmissionEffect effect = submission.Begin();
      int number = static_cast<int>(submitters_.size());
      submitters_.push_back(Submitter{ number, std::move(submission), std::move(effect) });
    }
  }

  FakeLog& Log() { return log_; }
  std::vector<Submitter>& Submitters() { return submitters_; }

  /// Executes the pending effect of one submitter. `aFault` selects a fault from 1 to 3; other
  /// values select none, and reads of the log fail only with 1.
  void Step(Submitter& aSubmitter, int aFault)
  {
    if (aSubmitter.isDone) {
      return;
    }
    std::visit(Overloaded{
                 [&](const ReadLog&) { OnReadLog(aSubmitter, aFault); },
                 [&](const AppendEntry& aAppend) { OnAppend(aSubmitter, aAppend.entry, aFault); },
                 [&](const RetryAfter&) { HandleEvent(aSubmitter, RetryDue{}); },
                 [&](const auto&) { aSubmitter.isDone = true; },
               },
               SubmissionEffect(aSubmitter.effect));
  }

  void ApplyDelayedWrite()
  {
    if (!delayedWrites_.empty()) {
      auto [entry, writer] = delayedWrites_.front();
      delayedWrites_.erase(delayedWrites_.begin());
      (void)log_.Create(entry, writer);
    }
  }

  void Finish()
  {
    while (!delayedWrites_.empty()) {
      ApplyDelayedWrite();
    }
    for (Submitter& submitter : submitters_) {
      for (int i = 0; i < 20; ++i) {
        Step(submitter, 0);
      }
      RC_ASSERT(submitter.isDone);
    }
  }

private:
  void HandleEvent(Submitter& aSubmitter, const SubmissionEvent& aEvent)
  {
    aSubmitter.effect = aSubmitter.submission.Handle(aEvent, TimePoint());
  }

  void OnReadLog(Submitter& aSubmitter, int aFault)
  {
    if (aFault == 1) {
      HandleEvent(aSubmitter, LogReadFailed{});
      return;
    }
    Configuration configuration = log_.Read();
    HandleEvent(aSubmitter, LogReadSucceeded{ configuration });
  }

  void OnAppend(Submitter& aSubmitter, const Entry& aEntry, int aFault)
  {
    switch (aFault) {
      case 1:
        // The request is lost.
        HandleEvent(aSubmitter, AppendCompleted{ AppendOutcome::Unknown });
        return;
      case 2:
        // The entry is written, but the answer is lost.
        (void)log_.Create(aEntry, aSubmitter.number);
        HandleEvent(aSubmitter, AppendCompleted{ AppendOutcome::Unknown });
        return;
      case 3:
        // The request is still in flight when the submitter stops waiting.
        delayedWrites_.emplace_back(aEntry, aSubmitter.number);
        HandleEvent(aSubmitter, AppendCompleted{ AppendOutcome::Unknown });
        return;
      default:
        HandleEvent(aSubmitter, AppendCompleted{ log_.Create(aEntry, aSubmitter.number) });
        return;
    }
  }

  FakeLog log_;
  std::vector<Submitter> submitters_;
  std::vector<std::pair<Entry, int>> delayedWrites_;
};

int CountInLog(const FakeLog& aLog, const std::string& aId)
{
  int count = 0;
  for (const Entry& entry : aLog.Entries()) {
    count += entry.note.id == aId ? 1 : 0;
  }
  return count;
}

std::vector<Note> ConflictingNotes()
{
  std::vector<Note> notes;
  Configuration base = MakeFirstConfiguration();
  for (int i = 0; i < 3; ++i) {
    Note note = *MostlyValidNote(base, NumberedName("crossing", i));
    note.base = 1;
    notes.push_back(note);
  }
  // Operators submit a note again through other nodes when they get no answer.
  notes.push_back(notes[0]);
  notes.push_back(notes[1]);
  return notes;
}

} // namespace

Test(submissions, match_the_log_under_store_faults)
{
  CHECK_PROPERTY("accepted notes are in the log once, refused submissions wrote nothing", [] {
    ConcurrentSubmissions run(ConflictingNotes());
    RC_ASSERT(run.Log().Create(*MakeEntry(Configuration(), MakeFirstNote(), 0), -1) ==
              AppendOutcome::Written);
    int steps = *rc::gen::inRange(10, 80);
    for (int i = 0; i < steps; ++i) {
      int action = *rc::gen::inRange(0, 12);
      if (action == 0) {
        run.ApplyDelayedWrite();
      } else if (action == 1) {
        run.Log().CompactAllButNewest();
      } else {
        size_t index = *rc::gen::inRange<size_t>(0, run.Submitters().size());
        run.Step(run.Submitters()[index], *rc::gen::inRange(0, 5));
      }
    }
    run.Finish();
    for (const Submitter& submitter : run.Submitters()) {
      int count = CountInLog(run.Log(), submitter.submission.NoteId());
      RC_ASSERT(count <= 1);
      if (const auto* accepted = std::get_if<NoteAccepted>(&submitter.effect)) {
        RC_ASSERT(count == 1);
        RC_ASSERT(run.Log().Entries()[accepted->version - 1].note.id ==
                  submitter.submission.NoteId());
      } else {
        // A later submission of the same note may be accepted once another note has made it valid,
        // but the log must not contain an entry that this submission wrote.
        RC_ASSERT(std::holds_alternative<NoteRefused>(submitter.effect));
        for (int writer : run.Log().Writers()) {
          RC_ASSERT(writer != submitter.number);
        }
      }
    }
  });
}

Test(submissions, are_undecided_while_a_write_may_still_succeed)
{
  Note first = MakeFirstNote();
  Submission submission(first, TimePoint(seconds(1)));
  submission.Begin();
  Configuration empty;
  auto append = submission.Handle(LogReadSucceeded{ empty }, TimePoint());
  cr_assert(std::holds_alternative<AppendEntry>(append));
  // The outcome stays unknown until the deadline, so the note is undecided, not refused.
  auto decision =
    submission.Handle(AppendCompleted{ AppendOutcome::Unknown }, TimePoint(seconds(2)));
  cr_assert(std::holds_alternative<NoteUndecided>(decision));
}

Test(submissions, are_retried_when_the_log_has_lost_entries)
{
  Note note;
  note.id = "later";
  note.change.services = { ServiceSpec{ "s0", 7 } };
  Submission submission(note, TimePoint(seconds(10)));
  submission.Begin();
  Configuration first = MakeFirstConfiguration();
  auto append = submission.Handle(LogReadSucceeded{ first }, TimePoint());
  cr_assert(std::holds_alternative<AppendEntry>(append));
  (void)submission.Handle(AppendCompleted{ AppendOutcome::Unknown }, TimePoint());
  (void)submission.Handle(RetryDue{}, TimePoint());
  // The store restarted without version 1. Checked against that log, the note would be refused,
  // because the service does not exist in it.
  Configuration empty;
  auto effect = submission.Handle(LogReadSucceeded{ empty }, TimePoint());
  cr_assert(std::holds_alternative<RetryAfter>(effect));
}
