/// An upstream that is called over HTTP.
#ifndef DANDELION_WIRE_HTTP_UPSTREAM_H
#define DANDELION_WIRE_HTTP_UPSTREAM_H

#include "wire/Http.h"
#include "wire/Upstream.h"

namespace dandelion {

/// Set by an upstream to `not-run` on a refusal: it has not begun the work.
constexpr char kOutcomeHeader[] = "dandelion-outcome";
/// What is left of the caller's time, in milliseconds; set on calls to upstreams.
constexpr char kDeadlineHeader[] = "dandelion-deadline-ms";

class HttpUpstream
  : public Service
  , public Upstream
{
public:
  HttpUpstream(Loop& aLoop, Endpoint aUpstream);

  RequestId Send(const OpenCall& aCall, OnResult aOnResult) override;
  void Cancel(RequestId aId) override { client_.Cancel(aId); }

private:
  HttpClient client_;
  Endpoint upstream_;
};

} // namespace dandelion

#endif
