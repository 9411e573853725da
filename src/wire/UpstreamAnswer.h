/// Decides what an upstream's answer says about a call.
#ifndef DANDELION_WIRE_UPSTREAM_ANSWER_H
#define DANDELION_WIRE_UPSTREAM_ANSWER_H

#include "wire/CallHeaders.h"
#include "wire/Upstream.h"

namespace dandelion {

/// Whether an answer speaks of this call. One that names another call came late on a connection
/// that is used again.
bool IsAnswerTo(const OpenCall& aCall,
                const HttpHeaders& aHeaders,
                const CallHeaderNames& aHeaderNames);

/// What is certain after the exchange. An answer that cannot be passed on as the upstream's own
/// leaves the outcome unknown, unless it says that the call has not run.
UpstreamResult ClassifyAnswer(const OpenCall& aCall,
                              const HttpResult& aResult,
                              const CallHeaderNames& aHeaderNames);

} // namespace dandelion

#endif
