#include "wire/UpstreamAnswer.h"

#include "absl/strings/numbers.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace dandelion {

namespace {

constexpr int kMisdirectedRequest = 421;

bool IsSuccess(int aStatus)
{
  constexpr int kFirstSuccess = 200;
  constexpr int kFirstRedirect = 300;
  return aStatus >= kFirstSuccess && aStatus < kFirstRedirect;
}

/// Whether callers take this status as a guarantee that the call was not executed.
bool ImpliesNotRun(int aStatus)
{
  constexpr std::array<int, 4> kNotRunStatuses = { 408, kMisdirectedRequest, 429, 503 };
  return std::find(kNotRunStatuses.begin(), kNotRunStatuses.end(), aStatus) !=
         kNotRunStatuses.end();
}

/// Whether another upstream than the addressed one answers. It does not execute the call.
bool IsMisdirected(const HttpResponse& aResponse, const CallHeaderNames& aHeaderNames)
{
  return aResponse.status == kMisdirectedRequest && !aHeaderNames.targetUpstream.empty();
}

bool IsRefusal(const HttpResponse& aResponse, const CallHeaderNames& aHeaderNames)
{
  std::string value = FindHeader(aResponse.headers, aHeaderNames.refusal);
  if (aHeaderNames.refusalValue.empty()) {
    return !value.empty() || IsMisdirected(aResponse, aHeaderNames);
  }
  return value == aHeaderNames.refusalValue;
}

/// A limit that is no decimal number of 0 or more is taken as none.
std::optional<double> ReadRateLimit(const HttpHeaders& aHeaders, const std::string& aName)
{
  if (aName.empty()) {
    return std::nullopt;
  }
  double limit = 0;
  bool isNumber = absl::SimpleAtod(FindHeader(aHeaders, aName), &limit);
  return isNumber && std::isfinite(limit) && limit >= 0 ? std::optional(limit) : std::nullopt;
}

bool ReadLeaving(const HttpHeaders& aHeaders, const std::string& aName)
{
  std::string value = aName.empty() ? "" : FindHeader(aHeaders, aName);
  return !value.empty() && value != "0";
}

/// Returns why an answer to an executed call must not be forwarded; empty where it may be
/// forwarded.
std::string FindRejectReason(const HttpResponse& aResponse, const CallHeaderNames& aHeaderNames)
{
  if (aHeaderNames.answerSignature.empty()) {
    return "";
  }
  if (ImpliesNotRun(aResponse.status)) {
    return fmt::format("status {} without the refusal header", aResponse.status);
  }
  if (!IsSuccess(aResponse.status)) {
    return "";
  }
  if (FindHeader(aResponse.headers, aHeaderNames.answerSignature).empty()) {
    return "success without the answer signature header";
  }
  if (!FindHeader(aResponse.headers, "Content-Encoding").empty()) {
    return "body with a Content-Encoding that was not requested";
  }
  return "";
}

} // namespace

UpstreamNotices ReadNotices(const HttpHeaders& aHeaders, const CallHeaderNames& aHeaderNames)
{
  return UpstreamNotices{ ReadRateLimit(aHeaders, aHeaderNames.rateLimit),
                          ReadLeaving(aHeaders, aHeaderNames.leaving) };
}

bool IsAnswerTo(const OpenCall& aCall,
                const HttpHeaders& aHeaders,
                const CallHeaderNames& aHeaderNames)
{
  if (aHeaderNames.requestId.empty() || aCall.requestId.empty()) {
    return true;
  }
  std::string id = FindHeader(aHeaders, aHeaderNames.requestId);
  return id.empty() || id == aCall.requestId;
}

UpstreamResult ClassifyAnswer(const OpenCall& aCall,
                              const HttpResult& aResult,
                              const CallHeaderNames& aHeaderNames)
{
  UpstreamResult result;
  if (aResult.outcome != HttpOutcome::Answered) {
    result.hasReachedUpstream = aResult.outcome == HttpOutcome::Lost;
    result.outcome = result.hasReachedUpstream ? CallOutcome::Unknown : CallOutcome::NotRun;
    if (!aResult.parseFault.empty()) {
      result.rejectReason = "malformed answer: " + aResult.parseFault;
    }
    return result;
  }
  const HttpResponse& response = aResult.response;
  result.status = response.status;
  result.isRetried = !FindHeader(response.headers, kRetriedHeader).empty();
  bool identifiesCall = aHeaderNames.requestId.empty() || aCall.requestId.empty() ||
                        !FindHeader(response.headers, aHeaderNames.requestId).empty();
  if ((identifiesCall || aResult.isFirstOnConnection) && !IsMisdirected(response, aHeaderNames)) {
    result.notices = ReadNotices(response.headers, aHeaderNames);
  }
  // On a kept connection, an answer without the call's id may be a copy of an earlier one.
  if (!identifiesCall && !aResult.isFirstOnConnection) {
    result.rejectReason = "answer without the request ID header";
  } else if (IsRefusal(response, aHeaderNames)) {
    result.outcome = CallOutcome::NotRun;
    return result;
  } else {
    result.rejectReason = FindRejectReason(response, aHeaderNames);
  }
  if (result.rejectReason.empty() && IsSuccess(response.status) && !identifiesCall) {
    result.rejectReason = "success without the request ID header";
  }
  if (!result.rejectReason.empty()) {
    result.outcome = CallOutcome::Unknown;
    return result;
  }
  result.outcome = CallOutcome::Ran;
  std::string connection = FindHeader(response.headers, "Connection");
  for (const auto& [name, value] : response.headers) {
    if (!IsHopByHopHeader(name, connection) && !IsCallHeader(name)) {
      result.headers.push_back({ name, value });
    }
  }
  result.body = response.body;
  return result;
}

} // namespace dandelion
