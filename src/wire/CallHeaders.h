/// HTTP headers with the limits and the outcome of a call, for callers, nodes and upstreams.
#ifndef DANDELION_WIRE_CALL_HEADERS_H
#define DANDELION_WIRE_CALL_HEADERS_H

#include "wire/Http.h"
#include "wire/Messages.h"

namespace dandelion {

/// Response header: whether the call was executed. An upstream sets it to `not-run` when it refuses
/// a call before it starts any work.
constexpr char kOutcomeHeader[] = "dandelion-outcome";
/// Response header on answers that do not come from an upstream: name of the error kind.
constexpr char kErrorHeader[] = "dandelion-error";
/// Response header on refusals: the call was already retried without success. An upstream that
/// forwards a refusal also forwards this header, so that its callers do not retry the call again.
constexpr char kRetriedHeader[] = "dandelion-retried";

/// Request headers: time left until the caller's deadline in milliseconds, traffic class, and
/// number of retries left. Upstreams copy them to the calls that they make.
constexpr char kDeadlineHeader[] = "dandelion-deadline-ms";
constexpr char kClassHeader[] = "dandelion-class";
constexpr char kRetriesLeftHeader[] = "dandelion-repeats-left";
/// Request header to an upstream: name of the client account that sent the call.
constexpr char kAccountHeader[] = "dandelion-account";

/// Header names that callers and upstreams of a platform use in place of the default ones. A header
/// whose name is empty is neither read nor sent, except for `deadline`, which is always sent and
/// needs a name.
struct CallHeaderNames
{
  /// Request header: time left until the caller's deadline, in milliseconds.
  std::string deadline = kDeadlineHeader;
  /// Request and response header: the caller's ID of the call.
  std::string requestId = {};
  /// Request header to an upstream: the upstream incarnation that the call is addressed to.
  std::string targetUpstream = {};
  /// Request header to an upstream: service of the node that accepted the call from its caller.
  std::string callerService = {};
  /// Request header to an upstream: name of the client account that sent the call.
  std::string account = kAccountHeader;
  /// Response header of an upstream that refused the call before it started any work, and the value
  /// that marks the refusal. If `refusalValue` is empty, any non-empty value marks it.
  std::string refusal = kOutcomeHeader;
  std::string refusalValue = std::string(NameOf(CallOutcome::NotRun));
  /// Response header that shows that the upstream itself produced the answer. A 2xx answer without
  /// it is rejected.
  std::string answerSignature = {};
  /// Response header: the incarnation that answers.
  std::string upstreamId = {};
  /// Response header: calls a second that the upstream takes from all nodes together, a decimal
  /// number.
  std::string rateLimit = {};
  /// Response header: whether the upstream is leaving; any value but 0 says so.
  std::string leaving = {};
  /// Whether the traffic class and the retries left are read from requests and sent to upstreams.
  bool propagatesLimits = true;
  /// Whether an invalid deadline is ignored. Otherwise the request is refused.
  bool ignoresInvalidLimits = false;

  /// Whether the mesh sets this header itself, so that the caller's value is not forwarded.
  bool IsReserved(std::string_view aName) const;
};

/// Reads the limits from the headers of a request. Errors: `Usage` for an invalid value.
absl::StatusOr<InheritedLimits> ReadLimits(const HttpHeaders& aHeaders,
                                           const CallHeaderNames& aHeaderNames = CallHeaderNames());

/// Returns the headers with the limits of a call that are sent to its upstream.
HttpHeaders MakeLimitHeaders(const OpenCall& aCall,
                             const CallHeaderNames& aHeaderNames = CallHeaderNames());

/// Whether a header applies to a single connection and must not be forwarded. `aConnection` is the
/// value of the message's Connection header, which may name further hop-by-hop headers.
bool IsHopByHopHeader(std::string_view aName, std::string_view aConnection);

/// Whether a header is one of the `dandelion-` call headers, which each node sets itself.
bool IsCallHeader(std::string_view aName);

} // namespace dandelion

#endif
