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
constexpr char kRetriesLeftHeader[] = "dandelion-repeats-left";

/// The names under which callers and upstreams speak of a call, where they have names of their own.
/// An empty name is not used.
struct CallHeaderNames
{
  /// On requests: what is left of the caller's time, in milliseconds.
  std::string deadline = kDeadlineHeader;
  /// On requests and answers: the caller's name of the call.
  std::string requestId = {};
  /// On requests to an upstream: the incarnation that is meant.
  std::string targetUpstream = {};
  /// On requests to an upstream: the service beside whose upstream the call began.
  std::string callerService = {};
  /// On answers of an upstream that has not begun the work, with this value; any value where empty.
  std::string refusal = kOutcomeHeader;
  std::string refusalValue = std::string(NameOf(CallOutcome::NotRun));
  /// On answers: proof that the upstream made them. A success without it is no success.
  std::string answerSignature = {};
  /// On answers: which incarnation speaks.
  std::string upstreamId = {};
  /// Class and repeats travel down a chain of calls.
  bool propagatesLimits = true;
  /// A limit that cannot be read is passed over; otherwise the request is refused.
  bool ignoresInvalidLimits = false;

  /// Whether this mesh sets a header itself, so that a caller's is not passed on.
  bool IsReserved(std::string_view aName) const;
};

/// Reads the limits on a request. Errors: `Usage` for a value that cannot be read.
absl::StatusOr<InheritedLimits> ReadLimits(const HttpHeaders& aHeaders,
                                           const CallHeaderNames& aHeaderNames = CallHeaderNames());

/// The limits that a call carries to its upstream.
HttpHeaders MakeLimitHeaders(const OpenCall& aCall,
                             const CallHeaderNames& aHeaderNames = CallHeaderNames());

/// Whether a header speaks of one connection and is not passed on. `aConnection` is the value of
/// the message's own Connection header, which may name more of them.
bool IsHopByHopHeader(std::string_view aName, std::string_view aConnection);

/// Whether a header speaks about one hop of a call, so that each hop sets its own.
bool IsCallHeader(std::string_view aName);

} // namespace dandelion

#endif
