/// Classifies the answer of an upstream to a call.
#ifndef DANDELION_WIRE_UPSTREAM_ANSWER_H
#define DANDELION_WIRE_UPSTREAM_ANSWER_H

#include "wire/CallHeaders.h"
#include "wire/Upstream.h"

namespace dandelion {

/// Reads what an upstream says of itself in the headers of an answer.
UpstreamNotices ReadNotices(const HttpHeaders& aHeaders, const CallHeaderNames& aHeaderNames);

/// Whether an answer belongs to this call. An answer with another request ID is a late answer to an
/// earlier call on a reused connection.
bool IsAnswerTo(const OpenCall& aCall,
                const HttpHeaders& aHeaders,
                const CallHeaderNames& aHeaderNames);

/// Determines the outcome of a call from the result of its HTTP request. The outcome is `Unknown`
/// for an answer that must not be forwarded, except for a refusal, which is `NotRun`.
UpstreamResult ClassifyAnswer(const OpenCall& aCall,
                              const HttpResult& aResult,
                              const CallHeaderNames& aHeaderNames);

} // namespace dandelion

#endif
