/// HTTP endpoint that tells the platform whether this node accepts callers' requests.
#ifndef DANDELION_DANDELIOND_READINESS_SERVICE_H
#define DANDELION_DANDELIOND_READINESS_SERVICE_H

#include "dandeliond/FrontServices.h"
#include "dandeliond/MembershipServices.h"
#include "dandeliond/ReleaseServices.h"

namespace dandelion {

class ReadinessService
  : public Service
  , public Readiness
{
public:
  ReadinessService(const NodeContext& aContext, std::string aPath);

  absl::Status Start() override;
  void Stop() override { server_.StopListening(); }
  void BeginStop() override { isStopping_ = true; }

private:
  void OnRequest(const std::shared_ptr<HttpExchange>& aExchange);

  const NodeContext& context_;
  std::string path_;
  Membership* membership_ = nullptr;
  Releases* releases_ = nullptr;
  HttpServer server_;
  bool isStopping_ = false;
};

} // namespace dandelion

#endif
