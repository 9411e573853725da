#include "wire/HttpUpstream.h"

#include "wire/CallHeaders.h"

#include <algorithm>
#include <array>

#include <strings.h>

namespace dandelion {

namespace {

/// Headers that belong to one connection and are not passed on.
constexpr std::array<const char*, 6> kHopHeaders = {
  "connection", "keep-alive", "transfer-encoding", "content-length", "upgrade", "te",
};

bool IsPassedOn(const std::string& aName)
{
  auto isSame = [&](const char* aHop) { return strcasecmp(aHop, aName.c_str()) == 0; };
  bool isHopHeader = std::any_of(kHopHeaders.begin(), kHopHeaders.end(), isSame);
  return !isHopHeader && !IsCallHeader(aName);
}

UpstreamResult ToUpstreamResult(const HttpResult& aResult)
{
  UpstreamResult result;
  switch (aResult.outcome) {
    case HttpOutcome::NotSent:
      result.outcome = CallOutcome::NotRun;
      return result;
    case HttpOutcome::Lost:
      result.outcome = CallOutcome::Unknown;
      return result;
    case HttpOutcome::Answered:
      break;
  }
  bool isRefusal =
    FindHeader(aResult.response.headers, kOutcomeHeader) == NameOf(CallOutcome::NotRun);
  result.outcome = isRefusal ? CallOutcome::NotRun : CallOutcome::Ran;
  result.isRetried = !FindHeader(aResult.response.headers, kRetriedHeader).empty();
  result.status = aResult.response.status;
  for (const auto& [name, value] : aResult.response.headers) {
    if (IsPassedOn(name)) {
      result.headers.push_back({ name, value });
    }
  }
  result.body = aResult.response.body;
  return result;
}

} // namespace

HttpUpstream::HttpUpstream(Loop& aLoop, Endpoint aUpstream)
  : client_(aLoop)
  , upstream_(std::move(aUpstream))
{
}

Upstream::RequestId HttpUpstream::Send(const OpenCall& aCall, OnResult aOnResult)
{
  HttpRequest request;
  request.method = aCall.method;
  request.target = aCall.target;
  request.body = aCall.body.data;
  for (const HeaderField& header : aCall.headers) {
    if (IsPassedOn(header.name)) {
      request.headers.emplace_back(header.name, header.value);
    }
  }
  for (auto& header : MakeLimitHeaders(aCall)) {
    request.headers.push_back(std::move(header));
  }
  auto onResult = [done = std::move(aOnResult)](const HttpResult& aResult) {
    done(ToUpstreamResult(aResult));
  };
  return client_.Send(upstream_, request, milliseconds(aCall.deadlineMs), onResult);
}

} // namespace dandelion
