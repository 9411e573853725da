/// Builds the messages and answers of a call from what is known of it, without side effects.
#ifndef DANDELION_DANDELIOND_CALL_MESSAGES_H
#define DANDELION_DANDELIOND_CALL_MESSAGES_H

#include "dandeliond/CallInProgress.h"

namespace dandelion {

bool IsIdempotent(const CallerRequest& aRequest, const PolicySpec& aPolicy);

/// The message that sends an attempt to the upstream's node.
OpenCall MakeOpenCall(const CallInProgress& aCall,
                      AttemptId aAttempt,
                      const std::string& aCallerService,
                      TimePoint aNow);
/// What the end of an attempt tells about its upstream.
AttemptResult ToAttemptResult(const CallReply& aReply,
                              const CostClass& aCostClass,
                              Duration aLatency);

CallerAnswer MakeRefusal(ErrorKind aKind, const std::string& aReason);
CallerAnswer AnswerFromReply(const CallInProgress& aCall, const CallReply& aReply);
/// The answer to a call whose time has passed.
CallerAnswer DeadlineAnswer(const CallInProgress& aCall);
/// When a refused caller may return, if the shortest expected wait is `aWait`.
Duration RetryAfter(Duration aWait, uint64_t aRandomBits);

/// Logs the answer, except that of a call that has run without a retry. `aVersion` is the version
/// in force, for calls without a route.
void LogAnswer(const CallInProgress& aCall,
               const CallerAnswer& aAnswer,
               Version aVersion,
               TimePoint aNow);

} // namespace dandelion

#endif
