#include "dandeliond/ReadinessService.h"

namespace dandelion {

ReadinessService::ReadinessService(const NodeContext& aContext, std::string aPath)
  : context_(aContext)
  , path_(std::move(aPath))
  , server_(
      aContext.loop,
      [this](const std::shared_ptr<HttpExchange>& aExchange) { OnRequest(aExchange); },
      aContext.OtherCapacity())
{
}

absl::Status ReadinessService::Start()
{
  membership_ = &context_.registry.Find<Membership>(ServiceName::Membership);
  releases_ = &context_.registry.Find<Releases>(ServiceName::Releases);
  return server_.Listen(*context_.settings.readiness, HttpLimits());
}

void ReadinessService::OnRequest(const std::shared_ptr<HttpExchange>& aExchange)
{
  HttpResponse response;
  bool hasConfiguration = membership_->IsReady() && releases_->Current()->version > 0;
  if (aExchange->Request().target != path_) {
    response.status = TraitsOf(ErrorKind::UnknownObject).httpStatus;
  } else if (isStopping_ || !hasConfiguration) {
    response.status = TraitsOf(ErrorKind::NotReady).httpStatus;
  }
  aExchange->Reply(response);
}

} // namespace dandelion
