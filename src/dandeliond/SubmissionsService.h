/// Submits operators' notes: executes the effects of `Submission` on the log and the store.
#ifndef DANDELION_DANDELIOND_SUBMISSIONS_SERVICE_H
#define DANDELION_DANDELIOND_SUBMISSIONS_SERVICE_H

#include "dandeliond/MembershipServices.h"
#include "dandeliond/ReleaseServices.h"

#include <map>

namespace dandelion {

class SubmissionsService
  : public Service
  , public Submissions
{
public:
  explicit SubmissionsService(const NodeContext& aContext);

  absl::Status Start() override;
  void Stop() override;

  void Submit(const Note& aNote, Duration aTimeLimit, OnStatus aDone) override;
  void StatusOf(const std::string& aId, OnStatus aDone) override;

private:
  using Key = uint64_t;
  struct Pending
  {
    Submission submission;
    OnStatus done;
    Timer retryTimer;
    bool isRefusalCleared = false;
  };

  void Execute(Key aKey, const SubmissionEffect& aEffect);
  void HandleEvent(Key aKey, const SubmissionEvent& aEvent);
  void ClearRefusal(Key aKey);
  void ReadLogFor(Key aKey);
  void Finish(Key aKey, NoteStatus aStatus);
  void RecordRefusal(Key aKey, NoteStatus aStatus);
  void ReadRefusal(NoteStatus aStatus, OnStatus aDone);
  void AddProgress(NoteStatus aStatus, OnStatus aDone);
  bool IsPending(const std::string& aId) const;

  const NodeContext& context_;
  Store* store_ = nullptr;
  ReleaseLog* log_ = nullptr;
  Releases* releases_ = nullptr;
  Spreading* spreading_ = nullptr;
  Membership* membership_ = nullptr;
  Key nextKey_ = 1;
  std::map<Key, std::unique_ptr<Pending>> pending_;
};

} // namespace dandelion

#endif
