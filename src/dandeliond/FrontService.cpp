#include "dandeliond/FrontService.h"

namespace dandelion {

namespace {

/// Replaces the 5xx status of an error where the call has not run: callers take 503 to mean that
/// the request was not executed.
constexpr int kNotRunStatus = 503;
/// Idle connections are closed after this percentage of the configured idle time, so that a caller
/// that reuses a connection within the idle time does not find it closing.
constexpr int64_t kIdleTimeoutPercent = 150;

int StatusFor(const CallerAnswer& aAnswer, ErrorKind aKind)
{
  int status = TraitsOf(aKind).httpStatus;
  constexpr int kFirstServerError = 500;
  bool isNotRun = aAnswer.outcome == CallOutcome::NotRun;
  return isNotRun && status >= kFirstServerError ? kNotRunStatus : status;
}

HttpResponse ToHttpResponse(const CallerAnswer& aAnswer)
{
  HttpResponse response;
  for (const HeaderField& header : aAnswer.headers) {
    response.headers.emplace_back(header.name, header.value);
  }
  response.headers.emplace_back(kOutcomeHeader, std::string(NameOf(aAnswer.outcome)));
  if (aAnswer.outcome == CallOutcome::Ran) {
    response.status = static_cast<int>(aAnswer.status);
    response.body = aAnswer.body;
    return response;
  }
  ErrorKind kind = aAnswer.error.value_or(ErrorKind::Internal);
  response.status = StatusFor(aAnswer, kind);
  if (aAnswer.retryAfter.has_value()) {
    double wait = std::chrono::duration<double>(*aAnswer.retryAfter).count();
    response.headers.emplace_back("Retry-After", fmt::format("{:.3f}", wait));
  }
  response.headers.emplace_back(kErrorHeader, std::string(NameOf(kind)));
  if (aAnswer.isRetried) {
    response.headers.emplace_back(kRetriedHeader, "yes");
  }
  response.headers.emplace_back("Content-Type", "text/plain");
  response.body = aAnswer.reason + "\n";
  return response;
}

} // namespace

FrontService::FrontService(const NodeContext& aContext)
  : context_(aContext)
  , server_(
      aContext.loop,
      [this](std::shared_ptr<HttpExchange> aExchange) { OnRequest(std::move(aExchange)); },
      aContext.CallerCapacity())
{
}

absl::Status FrontService::Start()
{
  calls_ = &context_.registry.Find<Calls>(ServiceName::Calls);
  releases_ = &context_.registry.Find<Releases>(ServiceName::Releases);
  releases_->AddListener([this] { ApplyLimits(); });
  return server_.Listen(context_.settings.front, HttpLimits());
}

void FrontService::ApplyLimits()
{
  const CallerLimits& limits = releases_->Current()->limits;
  HttpLimits httpLimits;
  httpLimits.maxHeaderBytes = static_cast<size_t>(limits.maxHeaderBytes);
  httpLimits.maxBodyBytes = static_cast<size_t>(limits.maxBodyBytes);
  httpLimits.headerTimeout = milliseconds(limits.headerTimeoutMs);
  httpLimits.idleTimeout = milliseconds(limits.idleTimeoutMs * kIdleTimeoutPercent / 100);
  server_.SetLimits(httpLimits);
}

CallerRequest FrontService::ToCallerRequest(const HttpRequest& aRequest) const
{
  CallerRequest request;
  request.method = aRequest.method;
  request.target = aRequest.target;
  request.body = aRequest.body;
  request.host = FindHeader(aRequest.headers, "Host");
  if (!context_.headerNames.requestId.empty()) {
    request.id = FindHeader(aRequest.headers, context_.headerNames.requestId);
  }
  for (const auto& [name, value] : aRequest.headers) {
    request.headers.push_back({ name, value });
  }
  return request;
}

void FrontService::OnRequest(std::shared_ptr<HttpExchange> aExchange)
{
  CallerRequest request = ToCallerRequest(aExchange->Request());
  auto limits = ReadLimits(aExchange->Request().headers, context_.headerNames);
  if (!limits.ok()) {
    CallerAnswer refusal;
    refusal.error = KindOf(limits.status());
    refusal.reason = MessageOf(limits.status());
    aExchange->Reply(ToHttpResponse(refusal));
    return;
  }
  request.limits = *limits;
  auto onAnswer = [aExchange](const CallerAnswer& aAnswer) {
    aExchange->Reply(ToHttpResponse(aAnswer));
  };
  Calls::CallId id = calls_->Begin(std::move(request), onAnswer);
  aExchange->OnClientDisconnected([this, id] { calls_->Cancel(id); });
}

} // namespace dandelion
