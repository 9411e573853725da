/// Decides about the tokens that calls of client accounts take, without side effects.
#ifndef DANDELION_DANDELIOND_CALL_TOKENS_H
#define DANDELION_DANDELIOND_CALL_TOKENS_H

#include "dandeliond/CallInProgress.h"

namespace dandelion {

/// Name of the client account that sent the call; empty for an anonymous one.
std::string AccountOf(const CallInProgress& aCall);

/// The refusal of a call whose account is at its cap and has its next token after `aWait`.
CallerAnswer OverCapRefusal(const std::string& aAccount, Duration aWait, uint64_t aRandomBits);

/// Whether the call holds a token that can be used for another call: no upstream has received the
/// call, and no attempt that may still reach one is open.
bool HasUnusedToken(const CallInProgress& aCall);

/// Records what the end of an attempt tells about the token of its call.
void NoteAttemptEnd(CallInProgress& aCall, const CallReply& aReply);

} // namespace dandelion

#endif
