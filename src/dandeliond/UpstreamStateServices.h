/// What a node knows of the upstream beside it: from the configuration, or from the upstream
/// itself.
#ifndef DANDELION_DANDELIOND_UPSTREAM_STATE_SERVICES_H
#define DANDELION_DANDELIOND_UPSTREAM_STATE_SERVICES_H

#include "dandeliond/Services.h"

namespace dandelion {

/// An upstream that is taken to serve as long as its node does, with its service's slots.
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

/// How reports reach the node. The platform's part reads them; the decisions stay with the tracker.
struct ReportProtocol
{
  std::function<absl::StatusOr<UpstreamReport>(const HttpRequest&)> read;
  std::function<HttpResponse()> acknowledge;
};

/// An upstream that reports itself to its node.
class ReportedUpstreamService
  : public Service
  , public UpstreamState
{
public:
  ReportedUpstreamService(const NodeContext& aContext, ReportProtocol aProtocol);

  absl::Status Start() override;
  void Stop() override { server_.StopListening(); }
  int64_t Slots() const override { return tracker_.Slots(); }
  const std::string& Id() const override { return tracker_.Id(); }
  void AddListener(std::function<void()> aOnChange) override
  {
    listeners_.push_back(std::move(aOnChange));
  }

private:
  void OnRequest(const std::shared_ptr<HttpExchange>& aExchange);
  void QueryHealth();
  void NotifyListeners();

  const NodeContext& context_;
  ReportProtocol protocol_;
  Releases* releases_ = nullptr;
  UpstreamTracker tracker_;
  HttpServer server_;
  HttpClient client_;
  bool isHealthQueried_ = false;
  std::vector<std::function<void()>> listeners_;
};

} // namespace dandelion

#endif
