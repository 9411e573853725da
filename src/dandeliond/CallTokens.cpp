#include "dandeliond/CallTokens.h"

#include "dandeliond/CallMessages.h"

namespace dandelion {

std::string AccountOf(const CallInProgress& aCall)
{
  return aCall.account == nullptr ? std::string() : aCall.account->name;
}

CallerAnswer OverCapRefusal(const std::string& aAccount, Duration aWait, uint64_t aRandomBits)
{
  CallerAnswer refusal =
    MakeRefusal(ErrorKind::OverCap, fmt::format("account \"{}\" is at its quota", aAccount));
  refusal.retryAfter = RetryAfter(aWait, aRandomBits);
  return refusal;
}

bool HasUnusedToken(const CallInProgress& aCall)
{
  return aCall.hasToken && !aCall.mayHaveReachedUpstream && aCall.openAttempts.empty();
}

void NoteAttemptEnd(CallInProgress& aCall, const CallReply& aReply)
{
  bool isCertainlyUnused = aReply.outcome == CallOutcome::NotRun && !aReply.hasReachedUpstream;
  aCall.mayHaveReachedUpstream = aCall.mayHaveReachedUpstream || !isCertainlyUnused;
}

} // namespace dandelion
