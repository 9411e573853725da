/// Where callers come in, over HTTP.
#ifndef DANDELION_DANDELIOND_FRONT_SERVICE_H
#define DANDELION_DANDELIOND_FRONT_SERVICE_H

#include "dandeliond/Services.h"

namespace dandelion {

class FrontService : public Service
{
public:
  explicit FrontService(const NodeContext& aContext);

  absl::Status Start() override;
  void Stop() override { server_.StopListening(); }

private:
  void OnRequest(std::shared_ptr<HttpExchange> aExchange);

  const NodeContext& context_;
  Calls* calls_ = nullptr;
  HttpServer server_;
};

} // namespace dandelion

#endif
