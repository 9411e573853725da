/// The HTTP headers by which callers, nodes and upstreams tell each other about a call.
#ifndef DANDELION_WIRE_CALL_HEADERS_H
#define DANDELION_WIRE_CALL_HEADERS_H

#include "wire/Http.h"
#include "wire/Messages.h"

namespace dandelion {

/// On answers: what is certain about the call. Set by an upstream to `not-run` on a refusal: it
/// has not begun the work.
constexpr char kOutcomeHeader[] = "dandelion-outcome";
/// On answers that no upstream gave: name of the error kind.
constexpr char kErrorHeader[] = "dandelion-error";
/// On refusals: the call was repeated in vain. An upstream that passes a refusal on passes this
/// on too, so that the calls above do not repeat it once more.
constexpr char kRetriedHeader[] = "dandelion-retried";

/// On requests: what is left of the caller's time, in milliseconds; the class; and the repeats
/// that are left. Upstreams pass these on with the calls that they make.
constexpr char kDeadlineHeader[] = "dandelion-deadline-ms";
constexpr char kClassHeader[] = "dandelion-class";
constexpr char kRepeatsHeader[] = "dandelion-repeats-left";

/// Reads the limits on a request. Errors: `Usage` for a value that cannot be read.
absl::StatusOr<InheritedLimits> ReadLimits(const HttpHeaders& aHeaders);

/// The limits that a call carries to its upstream.
HttpHeaders MakeLimitHeaders(const OpenCall& aCall);

/// Whether a header speaks about one hop of a call, so that each hop sets its own.
bool IsCallHeader(std::string_view aName);

} // namespace dandelion

#endif
