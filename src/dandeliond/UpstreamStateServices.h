/// State of the upstream beside the node, from the configuration or from the upstream's own
/// reports.
#ifndef DANDELION_DANDELIOND_UPSTREAM_STATE_SERVICES_H
#define DANDELION_DANDELIOND_UPSTREAM_STATE_SERVICES_H

#include "dandeliond/CallServices.h"
#include "dandeliond/ReleaseServices.h"

namespace dandelion {

/// An upstream that sends no reports. It is assumed to serve while its node runs, with the slots
/// that the configuration gives its service.
class ConfiguredUpstreamService
  : public Service
  , public UpstreamState
{
public:
  explicit ConfiguredUpstreamService(const NodeContext& aContext)
    : context_(aContext)
  {
  }

  absl::Status Start() override;
  int64_t Slots() const override { return slots_; }
  const std::string& Id() const override { return id_; }
  void AddListener(std::function<void()> aOnChange) override
  {
    listeners_.push_back(std::move(aOnChange));
  }

private:
  void UpdateSlots();

  const NodeContext& context_;
  Releases* releases_ = nullptr;
  int64_t slots_ = 1;
  std::string id_;
  std::vector<std::function<void()>> listeners_;
};

/// The protocol of the reports. The platform library parses and acknowledges them; decisions are
/// made by `UpstreamTracker`.
struct ReportProtocol
{
  std::function<absl::StatusOr<UpstreamReport>(const HttpRequest&)> read;
  std::function<HttpResponse()> acknowledge;
};

/// An upstream that reports its state to its node.
class ReportedUpstreamService
  : public Service
  , public UpstreamState
{
public:
  ReportedUpstreamService(const NodeContext& aContext, ReportProtocol aProtocol);

  absl::Status Start() override;
  void Stop() override
  {
    healthTimer_.Cancel();
    server_.StopListening();
  }
  int64_t Slots() const override
  {
    bool isOpen = gate_ == nullptr || gate_->IsOpen();
    return isOpen ? tracker_.Slots() : 0;
  }
  int64_t UngatedSlots() const override { return tracker_.Slots(); }
  const std::string& Id() const override { return tracker_.Id(); }
  std::optional<std::string> Version() const override { return tracker_.SoftwareVersion(); }
  bool IsWarmingUp() const override { return tracker_.IsWarmingUp(context_.loop.Now()); }
  void OnLeavingNoticed(const std::string& aId) override;
  UpstreamGate* Gate() const override { return gate_; }
  void SetGate(UpstreamGate* aGate) override { gate_ = aGate; }
  void OnGateChanged() override { NotifyListeners(); }
  void AddListener(std::function<void()> aOnChange) override
  {
    listeners_.push_back(std::move(aOnChange));
  }

private:
  void OnRequest(const std::shared_ptr<HttpExchange>& aExchange);
  /// Queries the health of the upstream where `tracker_` needs it.
  void QueryHealth();
  void OnHealthAnswer(const HttpResult& aResult);
  HealthCheckResult ReadHealth(const HttpResult& aResult) const;
  void NotifyListeners();

  const NodeContext& context_;
  ReportProtocol protocol_;
  Releases* releases_ = nullptr;
  UpstreamTracker tracker_;
  HttpServer server_;
  HttpClient client_;
  bool wasHealthQueried_ = false;
  bool isHealthQueryInProgress_ = false;
  Duration healthRetryDelay_;
  Timer healthTimer_;
  UpstreamGate* gate_ = nullptr;
  std::vector<std::function<void()>> listeners_;
};

} // namespace dandelion

#endif
