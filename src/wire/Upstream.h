/// Interface to the upstream of a node.
#ifndef DANDELION_WIRE_UPSTREAM_H
#define DANDELION_WIRE_UPSTREAM_H

#include "admission/Admission.h"
#include "wire/Messages.h"

#include <functional>

namespace dandelion {

/// Result of a call to the upstream.
struct UpstreamResult
{
  CallOutcome outcome = CallOutcome::Unknown;
  /// Whether calls that the upstream made for this call were already retried without success.
  bool isRetried = false;
  int status = 0;
  std::vector<HeaderField> headers;
  SharedString body;
  /// Whether bytes of the call may have reached the upstream.
  bool hasReachedUpstream = true;
  /// Why a received answer is not forwarded; empty where it is.
  std::string rejectReason = {};
  /// What the upstream said of itself; nothing if no answer of it was received.
  std::optional<UpstreamNotices> notices = {};
};

class Upstream
{
public:
  using RequestId = uint64_t;
  using OnResult = std::function<void(const UpstreamResult&)>;

  virtual ~Upstream() = default;
  /// Sends a call. `aOnResult` is called once, at the latest shortly after the call's deadline.
  virtual RequestId Send(const OpenCall& aCall, OnResult aOnResult) = 0;
  /// Cancels a call and the request to the upstream. Its callback is not called.
  virtual void Cancel(RequestId aId) = 0;
  /// Ends the calls of which no byte has been written, as not run, before this returns. They could
  /// reach an upstream long after it has begun to leave.
  virtual void WithdrawUnsent() = 0;
};

} // namespace dandelion

#endif
