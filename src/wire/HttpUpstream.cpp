#include "wire/HttpUpstream.h"

#include "wire/UpstreamAnswer.h"

#include "absl/strings/match.h"

namespace dandelion {

namespace {

/// An upstream may be closing a connection that was idle for longer; a call that may run only once
/// is trusted to fresh ones alone, since nobody knows what became of it on a closing one.
constexpr Duration kMaxIdleTime = seconds(3);
constexpr Duration kMaxIdleTimeNonIdempotent = milliseconds(300);

/// The caller's node ends a call at its deadline and cancels it here. This much later it is taken
/// that the cancel was lost.
constexpr Duration kCancelGrace = milliseconds(300);

HttpRequest ToHttpRequest(const OpenCall& aCall, const CallHeaderNames& aHeaderNames)
{
  HttpRequest request;
  request.method = aCall.method;
  request.target = aCall.target;
  request.body = aCall.body.data;
  std::string connection;
  for (const HeaderField& header : aCall.headers) {
    if (absl::EqualsIgnoreCase(header.name, "Connection")) {
      connection = header.value;
    }
  }
  for (const HeaderField& header : aCall.headers) {
    if (!IsHopByHopHeader(header.name, connection) && !aHeaderNames.IsReserved(header.name)) {
      request.headers.emplace_back(header.name, header.value);
    }
  }
  for (auto& header : MakeLimitHeaders(aCall, aHeaderNames)) {
    request.headers.push_back(std::move(header));
  }
  if (!aHeaderNames.targetUpstream.empty() && !aCall.upstreamId.empty()) {
    request.headers.emplace_back(aHeaderNames.targetUpstream, aCall.upstreamId);
  }
  if (!aHeaderNames.callerService.empty() && !aCall.callerService.empty()) {
    request.headers.emplace_back(aHeaderNames.callerService, aCall.callerService);
  }
  return request;
}

} // namespace

HttpUpstream::HttpUpstream(Loop& aLoop, Endpoint aUpstream, CallHeaderNames aHeaderNames)
  : client_(aLoop)
  , upstream_(std::move(aUpstream))
  , headerNames_(std::move(aHeaderNames))
{
}

Upstream::RequestId HttpUpstream::Send(const OpenCall& aCall, OnResult aOnResult)
{
  // The body has gone into the request; what is left identifies the call.
  OpenCall call = aCall;
  call.body.data.clear();
  call.headers.clear();
  HttpSendOptions options;
  options.timeout = milliseconds(aCall.deadlineMs) + kCancelGrace;
  options.maxIdleTime = aCall.isIdempotent ? kMaxIdleTime : kMaxIdleTimeNonIdempotent;
  options.isResponseToRequest = [this, call](int /* aStatus */, const HttpHeaders& aHeaders) {
    return IsAnswerTo(call, aHeaders, headerNames_);
  };
  auto onResult = [this, call, done = std::move(aOnResult)](const HttpResult& aResult) {
    done(ClassifyAnswer(call, aResult, headerNames_));
  };
  return client_.Send(upstream_, ToHttpRequest(aCall, headerNames_), options, onResult);
}

} // namespace dandelion
