#include "dandeliond/SubmissionsService.h"

namespace dandelion {

namespace {

constexpr char kRefusalPrefix[] = "dandelion/refused/";
constexpr Duration kRefusalTimeToLive = seconds(24 * 3600);

/// A refusal as stored, so that operators get it from every node.
struct Refusal
{
  ErrorKind error = ErrorKind::Internal;
  std::string reason;
};

template<class Visitor>
void VisitFields(Visitor& aVisitor, Refusal& aRefusal)
{
  aVisitor.Field("error", aRefusal.error);
  aVisitor.Field("reason", aRefusal.reason);
}

NoteStatus MakeStatus(const std::string& aId, NoteState aState, const absl::Status& aReason)
{
  NoteStatus status;
  status.id = aId;
  status.state = aState;
  status.error = KindOf(aReason);
  status.reason = MessageOf(aReason);
  return status;
}

} // namespace

SubmissionsService::SubmissionsService(const NodeContext& aContext)
  : context_(aContext)
{
}

absl::Status SubmissionsService::Start()
{
  Registry& registry = context_.registry;
  store_ = &registry.Find<Store>(ServiceName::Store);
  log_ = &registry.Find<ReleaseLog>(ServiceName::ReleaseLog);
  releases_ = &registry.Find<Releases>(ServiceName::Releases);
  spreading_ = &registry.Find<Spreading>(ServiceName::Spreading);
  membership_ = &registry.Find<Membership>(ServiceName::Membership);
  return absl::OkStatus();
}

void SubmissionsService::Stop()
{
  pending_.clear();
}

void SubmissionsService::Submit(const Note& aNote, Duration aTimeLimit, OnStatus aDone)
{
  absl::Status noteStatus = CheckNote(aNote);
  if (!noteStatus.ok()) {
    aDone(MakeStatus(aNote.id, NoteState::Refused, noteStatus));
    return;
  }
  if (!membership_->IsReady()) {
    aDone(
      MakeStatus(aNote.id,
                 NoteState::Undecided,
                 MakeError(ErrorKind::NotReady, "this node is still joining; use another node")));
    return;
  }
  Key key = nextKey_++;
  TimePoint deadline = context_.loop.Now() + aTimeLimit;
  auto pending = std::make_unique<Pending>(
    Pending{ Submission(aNote, deadline), std::move(aDone), Timer(), false });
  Submission& submission = pending->submission;
  pending_[key] = std::move(pending);
  Execute(key, submission.Begin());
}

void SubmissionsService::Execute(Key aKey, const SubmissionEffect& aEffect)
{
  const std::string id = pending_.at(aKey)->submission.NoteId();
  std::visit(Overloaded{
               [&](const ReadLog&) { ClearRefusal(aKey); },
               [&](const AppendEntry& aAppend) {
                 log_->Append(aAppend.entry, [this, aKey](AppendOutcome aOutcome) {
                   HandleEvent(aKey, AppendCompleted{ aOutcome });
                 });
               },
               [&](const RetryAfter& aRetry) {
                 pending_.at(aKey)->retryTimer = context_.loop.After(
                   aRetry.delay, [this, aKey] { HandleEvent(aKey, RetryDue{}); });
               },
               [&](const NoteAccepted& aAccepted) {
                 if (aAccepted.written.has_value()) {
                   spreading_->ForwardEntry(*aAccepted.written);
                   (void)releases_->ApplyEntries({ *aAccepted.written });
                 }
                 NoteStatus status;
                 status.id = id;
                 status.state = NoteState::Accepted;
                 status.version = aAccepted.version;
                 Finish(aKey, status);
               },
               [&](const NoteRefused& aRefused) {
                 RecordRefusal(aKey, MakeStatus(id, NoteState::Refused, aRefused.reason));
               },
               [&](const NoteUndecided& aUndecided) {
                 Finish(aKey, MakeStatus(id, NoteState::Undecided, aUndecided.reason));
               },
             },
             aEffect);
}

void SubmissionsService::HandleEvent(Key aKey, const SubmissionEvent& aEvent)
{
  auto found = pending_.find(aKey);
  if (found != pending_.end()) {
    Execute(aKey, found->second->submission.Handle(aEvent, context_.loop.Now()));
  }
}

void SubmissionsService::ClearRefusal(Key aKey)
{
  Pending& pending = *pending_.at(aKey);
  if (pending.isRefusalCleared) {
    ReadLogFor(aKey);
    return;
  }
  // An earlier refusal of this id must be deleted before the note can be written again. Otherwise
  // the note's status could be "refused" although the write succeeds.
  std::string key = kRefusalPrefix + pending.submission.NoteId();
  store_->DeleteRange(key, key + '\0', [this, aKey](const absl::Status& aStatus) {
    auto found = pending_.find(aKey);
    if (found == pending_.end()) {
      return;
    }
    if (!aStatus.ok()) {
      HandleEvent(aKey, LogReadFailed{});
      return;
    }
    found->second->isRefusalCleared = true;
    ReadLogFor(aKey);
  });
}

void SubmissionsService::ReadLogFor(Key aKey)
{
  log_->Synchronize([this, aKey](const absl::Status& aStatus) {
    if (aStatus.ok()) {
      HandleEvent(aKey, LogReadSucceeded{ *releases_->Current() });
    } else {
      HandleEvent(aKey, LogReadFailed{});
    }
  });
}

void SubmissionsService::Finish(Key aKey, NoteStatus aStatus)
{
  auto found = pending_.find(aKey);
  if (found == pending_.end()) {
    return;
  }
  OnStatus done = std::move(found->second->done);
  pending_.erase(found);
  Log(LogPart::Releases,
      LogLevel::Info,
      "Note {} is {}{}{}.",
      aStatus.id,
      NameOf(aStatus.state),
      aStatus.reason.empty() ? "" : ": ",
      aStatus.reason);
  done(aStatus);
}

void SubmissionsService::RecordRefusal(Key aKey, NoteStatus aStatus)
{
  Refusal refusal{ *aStatus.error, aStatus.reason };
  // The operator is answered only after the refusal is stored, so that every node can report it.
  // The note is refused even if the store does not keep the refusal.
  auto onPut = [this, aKey, aStatus](const absl::Status& aPutStatus) {
    if (!aPutStatus.ok()) {
      Log(LogPart::Releases,
          LogLevel::Warning,
          "The refusal of note {} was not stored: {}; other nodes may not report it.",
          aStatus.id,
          MessageOf(aPutStatus));
    }
    Finish(aKey, aStatus);
  };
  store_->Put(kRefusalPrefix + aStatus.id, Encode(refusal), kRefusalTimeToLive, onPut);
}

void SubmissionsService::StatusOf(const std::string& aId, OnStatus aDone)
{
  NoteStatus status;
  status.id = aId;
  const AcceptedNote* accepted = FindNote(*releases_->Current(), aId);
  if (accepted != nullptr) {
    status.state = NoteState::Accepted;
    status.version = accepted->version;
    AddProgress(std::move(status), std::move(aDone));
  } else if (IsPending(aId)) {
    status.state = NoteState::Undecided;
    status.reason = "this node is submitting the note";
    aDone(status);
  } else {
    ReadRefusal(std::move(status), std::move(aDone));
  }
}

void SubmissionsService::ReadRefusal(NoteStatus aStatus, OnStatus aDone)
{
  ReadRequest request;
  request.key = kRefusalPrefix + aStatus.id;
  auto onRead = [status = std::move(aStatus),
                 done = std::move(aDone)](const absl::StatusOr<ReadResult>& aResult) mutable {
    if (!aResult.ok()) {
      status.error = ErrorKind::StoreUnavailable;
      status.reason = "no version in force holds this note, and the store does not answer";
    } else if (aResult->items.empty()) {
      status.error = ErrorKind::UnknownObject;
      status.reason = "no version in force holds this note, and the store holds no refusal of it";
    } else {
      auto refusal = Decode<Refusal>(aResult->items.front().value);
      if (refusal.ok()) {
        status.state = NoteState::Refused;
        status.error = refusal->error;
        status.reason = refusal->reason;
      }
    }
    done(status);
  };
  store_->Read(request, onRead);
}

void SubmissionsService::AddProgress(NoteStatus aStatus, OnStatus aDone)
{
  Version version = *aStatus.version;
  auto onProgress = [status = std::move(aStatus), done = std::move(aDone)](
                      const absl::StatusOr<std::vector<ZoneProgress>>& aProgress) mutable {
    if (!aProgress.ok()) {
      status.reason = MessageOf(aProgress.status());
    } else {
      status.zones = *aProgress;
      status.state =
        IsInForceEverywhere(*aProgress) ? NoteState::InForceEverywhere : NoteState::Spreading;
    }
    done(status);
  };
  spreading_->QueryProgress(version, onProgress);
}

bool SubmissionsService::IsPending(const std::string& aId) const
{
  for (const auto& [key, pending] : pending_) {
    if (pending->submission.NoteId() == aId) {
      return true;
    }
  }
  return false;
}

} // namespace dandelion
