/// The operators' HTTP API: release notes, configuration, members, route explanation and metrics.
/// Requests must be signed with an operator key where keys are configured.
#ifndef DANDELION_DANDELIOND_OPERATOR_SERVICE_H
#define DANDELION_DANDELIOND_OPERATOR_SERVICE_H

#include "dandeliond/MembershipServices.h"
#include "dandeliond/ReleaseServices.h"

namespace dandelion {

class OperatorService : public Service
{
public:
  explicit OperatorService(const NodeContext& aContext);

  absl::Status Start() override;
  void Stop() override { server_.StopListening(); }

private:
  using Exchange = std::shared_ptr<HttpExchange>;
  void OnRequest(const Exchange& aExchange);
  void Submit(const Exchange& aExchange);
  /// Validates a note against the current configuration without submitting it.
  void Check(const Exchange& aExchange);
  void ShowNote(const Exchange& aExchange, const std::string& aId);
  void ShowConfiguration(const Exchange& aExchange);
  void ShowVersion(const Exchange& aExchange);
  void ShowNodes(const Exchange& aExchange);
  /// Answers with the route, service, policy and upstreams of a request target.
  void Explain(const Exchange& aExchange, const std::string& aTarget);
  void ShowMetrics(const Exchange& aExchange);

  const NodeContext& context_;
  SharedKeys keys_;
  Releases* releases_ = nullptr;
  Membership* membership_ = nullptr;
  Submissions* submissions_ = nullptr;
  Links* links_ = nullptr;
  Datagrams* datagrams_ = nullptr;
  Store* store_ = nullptr;
  Metrics* metrics_ = nullptr;
  HttpServer server_;
};

} // namespace dandelion

#endif
