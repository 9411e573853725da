/// Sends calls to the node's upstream over HTTP.
#ifndef DANDELION_WIRE_HTTP_UPSTREAM_H
#define DANDELION_WIRE_HTTP_UPSTREAM_H

#include "wire/CallHeaders.h"
#include "wire/Http.h"
#include "wire/Upstream.h"

#include <deque>

namespace dandelion {

class HttpUpstream
  : public Service
  , public Upstream
{
public:
  HttpUpstream(Loop& aLoop,
               Endpoint aUpstream,
               CallHeaderNames aHeaderNames = CallHeaderNames(),
               MemoryGuard* aMemory = nullptr);

  RequestId Send(const OpenCall& aCall, OnResult aOnResult) override;
  void Cancel(RequestId aId) override { client_.Cancel(aId); }
  void WithdrawUnsent() override { client_.FailUnsent(); }

private:
  void RememberRefusal(const std::string& aRequestId);

  HttpClient client_;
  Endpoint upstream_;
  CallHeaderNames headerNames_;
  /// Ids of the calls that the upstream has refused lately, the oldest first.
  std::deque<std::string> refusedIds_;
};

} // namespace dandelion

#endif
