#include "wire/UpstreamAnswer.h"

#include <algorithm>
#include <array>

namespace dandelion {

namespace {

constexpr int kMisdirected = 421;

bool IsSuccess(int aStatus)
{
  constexpr int kFirstSuccess = 200;
  constexpr int kFirstRedirect = 300;
  return aStatus >= kFirstSuccess && aStatus < kFirstRedirect;
}

/// Callers take these statuses as a promise that the call has not run.
bool PromisesNotRun(int aStatus)
{
  constexpr std::array<int, 4> kPromises = { 408, kMisdirected, 429, 503 };
  return std::find(kPromises.begin(), kPromises.end(), aStatus) != kPromises.end();
}

bool IsRefusal(const HttpResponse& aResponse, const CallVocabulary& aVocabulary)
{
  std::string value = FindHeader(aResponse.headers, aVocabulary.refusal);
  if (aVocabulary.refusalValue.empty()) {
    // An upstream that was not meant does not run the call either.
    bool isMisdirected = aResponse.status == kMisdirected && !aVocabulary.targetUpstream.empty();
    return !value.empty() || isMisdirected;
  }
  return value == aVocabulary.refusalValue;
}

/// Why an answer that ran may not be passed on; empty where it may.
std::string FindFault(const HttpResponse& aResponse, const CallVocabulary& aVocabulary)
{
  if (aVocabulary.receipt.empty()) {
    return "";
  }
  if (PromisesNotRun(aResponse.status)) {
    return fmt::format("status {} without the mark of a refusal", aResponse.status);
  }
  if (!IsSuccess(aResponse.status)) {
    return "";
  }
  if (FindHeader(aResponse.headers, aVocabulary.receipt).empty()) {
    return "success without a receipt";
  }
  if (!FindHeader(aResponse.headers, "Content-Encoding").empty()) {
    return "body in an encoding that nobody asked for";
  }
  return "";
}

} // namespace

bool IsAnswerTo(const OpenCall& aCall,
                const HttpHeaders& aHeaders,
                const CallVocabulary& aVocabulary)
{
  if (aVocabulary.requestId.empty() || aCall.requestId.empty()) {
    return true;
  }
  std::string id = FindHeader(aHeaders, aVocabulary.requestId);
  return id.empty() || id == aCall.requestId;
}

UpstreamResult ReadAnswer(const OpenCall& aCall,
                          const HttpResult& aResult,
                          const CallVocabulary& aVocabulary)
{
  UpstreamResult result;
  if (aResult.outcome != HttpOutcome::Answered) {
    result.hasReached = aResult.outcome == HttpOutcome::Lost;
    result.outcome = result.hasReached ? CallOutcome::Unknown : CallOutcome::NotRun;
    return result;
  }
  const HttpResponse& response = aResult.response;
  result.status = response.status;
  result.isRetried = !FindHeader(response.headers, kRetriedHeader).empty();
  if (IsRefusal(response, aVocabulary)) {
    result.outcome = CallOutcome::NotRun;
    return result;
  }
  result.fault = FindFault(response, aVocabulary);
  bool namesCall = aVocabulary.requestId.empty() || aCall.requestId.empty() ||
                   !FindHeader(response.headers, aVocabulary.requestId).empty();
  if (result.fault.empty() && IsSuccess(response.status) && !namesCall) {
    result.fault = "success that does not name its call";
  }
  if (!result.fault.empty()) {
    result.outcome = CallOutcome::Unknown;
    return result;
  }
  result.outcome = CallOutcome::Ran;
  std::string connection = FindHeader(response.headers, "Connection");
  for (const auto& [name, value] : response.headers) {
    if (!IsHopHeader(name, connection) && !IsCallHeader(name)) {
      result.headers.push_back({ name, value });
    }
  }
  result.body = response.body;
  return result;
}

} // namespace dandelion
