/// Accepts HTTP requests of callers and passes them to the calls service.
#ifndef DANDELION_DANDELIOND_FRONT_SERVICE_H
#define DANDELION_DANDELIOND_FRONT_SERVICE_H

#include "dandeliond/CallServices.h"
#include "dandeliond/FrontServices.h"
#include "dandeliond/ReleaseServices.h"

namespace dandelion {

class FrontService
  : public Service
  , public Front
{
public:
  explicit FrontService(const NodeContext& aContext);

  absl::Status Start() override;
  void Stop() override { server_.StopListening(); }
  void BeginClosing() override { server_.BeginClosing(); }
  void StopListening() override { server_.StopListening(); }
  size_t BusyConnections() const override { return server_.BusyConnections(); }

private:
  void OnRequest(std::shared_ptr<HttpExchange> aExchange);
  /// Applies the limits of the current configuration to the server.
  void ApplyLimits();
  CallerRequest ToCallerRequest(const HttpRequest& aRequest) const;

  const NodeContext& context_;
  Releases* releases_ = nullptr;
  Calls* calls_ = nullptr;
  HttpServer server_;
};

} // namespace dandelion

#endif
