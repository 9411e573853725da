#include "wire/HttpUpstream.h"

#include "wire/UpstreamAnswer.h"

#include "absl/strings/match.h"

namespace dandelion {

namespace {

/// An upstream may be closing a connection that was idle for longer; a call that may run only once
/// is trusted to fresh ones alone, since nobody knows what became of it on a closing one.
constexpr Duration kMostIdle = seconds(3);
constexpr Duration kMostIdleForOnce = milliseconds(300);

/// The caller's node ends a call at its deadline and cancels it here. This much later it is taken
/// that the cancel was lost.
constexpr Duration kCancelSlack = milliseconds(300);

HttpRequest ToHttpRequest(const OpenCall& aCall, const CallVocabulary& aVocabulary)
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
    if (!IsHopHeader(header.name, connection) && !aVocabulary.IsOwn(header.name)) {
      request.headers.emplace_back(header.name, header.value);
    }
  }
  for (auto& header : MakeLimitHeaders(aCall, aVocabulary)) {
    request.headers.push_back(std::move(header));
  }
  if (!aVocabulary.targetUpstream.empty() && !aCall.upstreamId.empty()) {
    request.headers.emplace_back(aVocabulary.targetUpstream, aCall.upstreamId);
  }
  if (!aVocabulary.callerService.empty() && !aCall.callerService.empty()) {
    request.headers.emplace_back(aVocabulary.callerService, aCall.callerService);
  }
  return request;
}

} // namespace

HttpUpstream::HttpUpstream(Loop& aLoop, Endpoint aUpstream, CallVocabulary aVocabulary)
  : client_(aLoop)
  , upstream_(std::move(aUpstream))
  , vocabulary_(std::move(aVocabulary))
{
}

Upstream::RequestId HttpUpstream::Send(const OpenCall& aCall, OnResult aOnResult)
{
  // The body has gone into the request; what is left identifies the call.
  OpenCall call = aCall;
  call.body.data.clear();
  call.headers.clear();
  HttpSendOptions options;
  options.timeLimit = milliseconds(aCall.deadlineMs) + kCancelSlack;
  options.mostIdle = aCall.isIdempotent ? kMostIdle : kMostIdleForOnce;
  options.isOwn = [this, call](int /* aStatus */, const HttpHeaders& aHeaders) {
    return IsAnswerTo(call, aHeaders, vocabulary_);
  };
  auto onResult = [this, call, done = std::move(aOnResult)](const HttpResult& aResult) {
    done(ReadAnswer(call, aResult, vocabulary_));
  };
  return client_.Send(upstream_, ToHttpRequest(aCall, vocabulary_), options, onResult);
}

} // namespace dandelion
