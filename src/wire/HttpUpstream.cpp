#include "wire/HttpUpstream.h"

#include "wire/UpstreamAnswer.h"

#include "absl/strings/match.h"

#include <algorithm>

namespace dandelion {

namespace {

/// Idle connections are reused up to these limits, since an upstream may close one that was idle
/// for longer. The limit for calls that are not idempotent is shorter, because it is unknown
/// whether a call was executed that was sent while the connection was being closed.
constexpr Duration kMaxIdleTime = seconds(3);
constexpr Duration kMaxIdleTimeNonIdempotent = milliseconds(300);

/// The caller's node cancels a call at its deadline. If no cancel message arrives within this time
/// after the deadline, it is assumed lost and the request times out.
constexpr Duration kCancelGrace = milliseconds(300);

/// Number of refused calls that are remembered.
constexpr size_t kMaxRefusedIds = 256;

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
  if (!aHeaderNames.account.empty() && !aCall.account.empty()) {
    request.headers.emplace_back(aHeaderNames.account, aCall.account);
  }
  return request;
}

} // namespace

HttpUpstream::HttpUpstream(Loop& aLoop,
                           Endpoint aUpstream,
                           CallHeaderNames aHeaderNames,
                           MemoryGuard* aMemory)
  : client_(aLoop, aMemory)
  , upstream_(std::move(aUpstream))
  , headerNames_(std::move(aHeaderNames))
{
}

Upstream::RequestId HttpUpstream::Send(const OpenCall& aCall, OnResult aOnResult)
{
  // The callbacks only need the fields that identify the call, not its body and headers.
  OpenCall call = aCall;
  call.body.data.clear();
  call.headers.clear();
  HttpSendOptions options;
  options.timeout = milliseconds(aCall.deadlineMs) + kCancelGrace;
  options.maxIdleTime = aCall.isIdempotent ? kMaxIdleTime : kMaxIdleTimeNonIdempotent;
  bool wasRefused =
    std::find(refusedIds_.begin(), refusedIds_.end(), aCall.requestId) != refusedIds_.end();
  if (wasRefused) {
    // The upstream may write its earlier refusal once more on the connection that carried it. It
    // has the same id as the answer to this attempt.
    options.maxIdleTime = Duration::zero();
  }
  options.isResponseToRequest = [this, call](int /* aStatus */, const HttpHeaders& aHeaders) {
    return IsAnswerTo(call, aHeaders, headerNames_);
  };
  auto onResult = [this, call, done = std::move(aOnResult)](const HttpResult& aResult) {
    UpstreamResult result = ClassifyAnswer(call, aResult, headerNames_);
    if (aResult.outcome == HttpOutcome::Answered && result.outcome == CallOutcome::NotRun) {
      RememberRefusal(call.requestId);
    }
    done(result);
  };
  return client_.Send(upstream_, ToHttpRequest(aCall, headerNames_), options, onResult);
}

void HttpUpstream::RememberRefusal(const std::string& aRequestId)
{
  if (aRequestId.empty()) {
    return;
  }
  refusedIds_.push_back(aRequestId);
  if (refusedIds_.size() > kMaxRefusedIds) {
    refusedIds_.pop_front();
  }
}

} // namespace dandelion
