#include "dandeliond/FrontService.h"

namespace dandelion {

namespace {

CallerRequest ToCallerRequest(const HttpRequest& aRequest)
{
  CallerRequest request;
  request.method = aRequest.method;
  request.target = aRequest.target;
  request.body = aRequest.body;
  for (const auto& [name, value] : aRequest.headers) {
    request.headers.push_back({ name, value });
  }
  return request;
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
  response.status = AnswerFor(kind).httpStatus;
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
  , server_(aContext.loop,
            [this](std::shared_ptr<HttpExchange> aExchange) { OnRequest(std::move(aExchange)); })
{
}

absl::Status FrontService::Start()
{
  calls_ = &context_.registry.Find<Calls>(ServiceName::Calls);
  return server_.Listen(context_.settings.front, HttpLimits());
}

void FrontService::OnRequest(std::shared_ptr<HttpExchange> aExchange)
{
  CallerRequest request = ToCallerRequest(aExchange->Request());
  auto limits = ReadLimits(aExchange->Request().headers);
  if (!limits.ok()) {
    CallerAnswer refusal;
    refusal.error = KindOf(limits.status());
    refusal.reason = Reason(limits.status());
    aExchange->Reply(ToHttpResponse(refusal));
    return;
  }
  request.limits = *limits;
  auto onAnswer = [aExchange](const CallerAnswer& aAnswer) {
    aExchange->Reply(ToHttpResponse(aAnswer));
  };
  Calls::CallId id = calls_->Begin(std::move(request), onAnswer);
  aExchange->OnGone([this, id] { calls_->Cancel(id); });
}

} // namespace dandelion
