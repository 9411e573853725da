#include "dandeliond/CallMessages.h"

#include "dandeliond/CallIdentity.h"

#include <algorithm>

namespace dandelion {

namespace {

/// Retry-After of a refusal: this minimum plus a random share of the shortest expected wait.
constexpr Duration kMinRetryAfter = milliseconds(100);
constexpr double kMinWaitShare = 0.5;
constexpr double kMaxWaitShare = 1.5;

/// Maps random bits to a number in [0, 1). Uses 53 bits, as many as a double represents exactly.
double ToUnitInterval(uint64_t aBits)
{
  constexpr double kScale = 1.0 / 9007199254740992.0;
  constexpr int kUnusedBits = 11;
  return static_cast<double>(aBits >> kUnusedBits) * kScale;
}

} // namespace

CallerAnswer MakeRefusal(ErrorKind aKind, const std::string& aReason)
{
  CallerAnswer answer;
  answer.outcome = CallOutcome::NotRun;
  answer.error = aKind;
  answer.reason = aReason;
  return answer;
}

bool IsIdempotent(const CallerRequest& aRequest, const PolicySpec& aPolicy)
{
  return !aPolicy.atMostOnce && (aPolicy.idempotent || IsIdempotentMethod(aRequest.method));
}

OpenCall MakeOpenCall(const CallInProgress& aCall,
                      AttemptId aAttempt,
                      const std::string& aCallerService,
                      TimePoint aNow)
{
  OpenCall openCall;
  openCall.id = aAttempt;
  openCall.version = aCall.routes->SourceConfiguration().version;
  openCall.route = aCall.route.route->name;
  openCall.service = aCall.service;
  openCall.trafficClass = aCall.limits.trafficClass;
  openCall.deadlineMs = std::max<int64_t>(1, ToMilliseconds(aCall.limits.deadline - aNow));
  openCall.retriesLeft = aCall.attempts.RetriesLeft();
  openCall.method = aCall.request.method;
  openCall.target = aCall.request.target;
  openCall.headers = aCall.request.headers;
  openCall.body.data = aCall.request.body;
  const PolicySpec& policy = *aCall.route.policy;
  openCall.policy = policy.name;
  if (policy.targetMs > 0) {
    Duration left = aCall.clientBeganAt + milliseconds(policy.targetMs) - aNow;
    openCall.targetMs = std::max<int64_t>(1, ToMilliseconds(left));
    std::optional<Duration> maxQueueDelay = aCall.tried.MaxQueueDelay(left);
    if (maxQueueDelay.has_value()) {
      openCall.maxQueueDelayMs = ToMilliseconds(*maxQueueDelay);
    }
  }
  openCall.priority = policy.priority;
  AddSender(openCall, aCall);
  openCall.isIdempotent = IsIdempotent(aCall.request, policy);
  openCall.callerService = aCallerService;
  openCall.requestId = aCall.request.id;
  return openCall;
}

AttemptResult ToAttemptResult(const CallReply& aReply,
                              const CostClass& aCostClass,
                              Duration aLatency)
{
  AttemptResult result;
  result.latency = aLatency;
  bool isRefusedByUpstream = aReply.outcome == CallOutcome::NotRun && aReply.hasReachedUpstream;
  result.hasFailed = aReply.outcome == CallOutcome::Unknown || isRefusedByUpstream ||
                     aReply.error == ErrorKind::Unreachable ||
                     aReply.error == ErrorKind::NotReady || aReply.error == ErrorKind::Leaving;
  result.queueLength = aReply.queueLength;
  result.costClass = aCostClass;
  result.answerBytes = aReply.body.data.size();
  if (aReply.elapsedUs > 0) {
    result.networkRoundTrip = std::max(Duration::zero(), aLatency - Duration(aReply.elapsedUs));
  }
  if (aReply.slots > 0) {
    result.queueEstimate = QueueEstimate{ aReply.queueLength,
                                          aReply.slots,
                                          aReply.freeSlots,
                                          Duration(aReply.queueDelayUs),
                                          Duration(aReply.serviceTimeUs),
                                          Duration(aReply.linkDelayUs) };
  }
  return result;
}

CallerAnswer AnswerFromReply(const CallInProgress& aCall, const CallReply& aReply)
{
  CallerAnswer answer;
  answer.outcome = aCall.attempts.Combined();
  answer.isRetried = aCall.attempts.IsRetried();
  answer.status = aReply.status;
  answer.headers = aReply.headers;
  answer.body = aReply.body.data;
  if (answer.outcome == CallOutcome::Ran) {
    return answer;
  }
  answer.error = answer.outcome == CallOutcome::Unknown
                   ? ErrorKind::OutcomeUnknown
                   : aReply.error.value_or(ErrorKind::NoUpstream);
  answer.reason = fmt::format("service \"{}\": {}", aCall.service, NameOf(*answer.error));
  return answer;
}

CallerAnswer DeadlineAnswer(const CallInProgress& aCall)
{
  bool mayRun = !aCall.openAttempts.empty() || aCall.attempts.Combined() != CallOutcome::NotRun;
  CallerAnswer answer;
  answer.outcome = mayRun ? CallOutcome::Unknown : CallOutcome::NotRun;
  answer.error = ErrorKind::DeadlineExceeded;
  answer.reason = "the policy's time limit has passed";
  return answer;
}

Duration RetryAfter(Duration aWait, uint64_t aRandomBits)
{
  // The range is as wide as the wait, so that callers refused together do not retry together.
  double share = kMinWaitShare + (kMaxWaitShare - kMinWaitShare) * ToUnitInterval(aRandomBits);
  return kMinRetryAfter +
         Duration(static_cast<int64_t>(share * static_cast<double>(aWait.count())));
}

void LogAnswer(const CallInProgress& aCall,
               const CallerAnswer& aAnswer,
               Version aVersion,
               TimePoint aNow)
{
  bool hasRunWithoutRetry = aAnswer.outcome == CallOutcome::Ran && !aAnswer.isRetried;
  if (hasRunWithoutRetry) {
    return;
  }
  bool isRouted = aCall.route.route != nullptr;
  // An account far above its cap would otherwise displace the lines about other calls.
  bool isOverCap = aAnswer.error == ErrorKind::OverCap;
  LogRequest(LogPart::Calls,
             isOverCap ? LogLevel::Debug : LogLevel::Info,
             aCall.request.id,
             "Answered {} after {} ms and {} asks: {}. Route {} of version {}, service {}.",
             NameOf(aAnswer.outcome),
             ToMilliseconds(aNow - aCall.beganAt),
             aCall.tried.Sends(),
             aAnswer.error.has_value() ? NameOf(*aAnswer.error) : "repeated",
             isRouted ? aCall.route.route->name : "-",
             isRouted ? aCall.routes->SourceConfiguration().version : aVersion,
             aCall.service.empty() ? "-" : aCall.service);
}

} // namespace dandelion
