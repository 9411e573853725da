/// The upstream beside a node.
#ifndef DANDELION_WIRE_UPSTREAM_H
#define DANDELION_WIRE_UPSTREAM_H

#include "wire/Messages.h"

#include <functional>

namespace dandelion {

/// What the upstream made of a call.
struct UpstreamResult
{
  CallOutcome outcome = CallOutcome::Unknown;
  /// Calls that the upstream made for this one were repeated in vain.
  bool isRetried = false;
  int status = 0;
  std::vector<HeaderField> headers;
  std::string body;
  /// Bytes of the call may have reached the upstream.
  bool hasReachedUpstream = true;
  /// Why an answer that came is not passed on.
  std::string rejectReason = {};
};

class Upstream
{
public:
  using RequestId = uint64_t;
  using OnResult = std::function<void(const UpstreamResult&)>;

  virtual ~Upstream() = default;
  /// Hands a call over. The result comes once, within the call's deadline.
  virtual RequestId Send(const OpenCall& aCall, OnResult aOnResult) = 0;
  /// Cancels a call down to the upstream; no result comes.
  virtual void Cancel(RequestId aId) = 0;
};

} // namespace dandelion

#endif
