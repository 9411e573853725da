#include "dandeliond/UpstreamStateServices.h"

namespace dandelion {

namespace {

/// Long enough for a health check that has to wait for a slot, as calls do.
constexpr Duration kHealthCheckTimeout = seconds(1);
constexpr int kHealthyStatus = 200;
/// Delay after a health check without an answer. It doubles until the next report.
constexpr Duration kMinHealthRetryDelay = milliseconds(250);
constexpr Duration kMaxHealthRetryDelay = seconds(2);

} // namespace

absl::Status ConfiguredUpstreamService::Start()
{
  releases_ = &context_.registry.Find<Releases>(ServiceName::Releases);
  releases_->AddListener([this] { UpdateSlots(); });
  return absl::OkStatus();
}

void ConfiguredUpstreamService::UpdateSlots()
{
  const auto& services = releases_->Current()->services;
  auto found = services.find(context_.settings.service);
  if (found == services.end() || found->second.spec.slots == slots_) {
    return;
  }
  slots_ = found->second.spec.slots;
  for (const auto& listener : listeners_) {
    listener();
  }
}

ReportedUpstreamService::ReportedUpstreamService(const NodeContext& aContext,
                                                 ReportProtocol aProtocol)
  : context_(aContext)
  , protocol_(std::move(aProtocol))
  , tracker_(aContext.settings.service)
  , server_(
      aContext.loop,
      [this](const std::shared_ptr<HttpExchange>& aExchange) { OnRequest(aExchange); },
      aContext.OtherCapacity())
  , client_(aContext.loop)
  , healthRetryDelay_(kMinHealthRetryDelay)
{
}

absl::Status ReportedUpstreamService::Start()
{
  releases_ = &context_.registry.Find<Releases>(ServiceName::Releases);
  releases_->AddListener([this] { QueryHealth(); });
  return server_.Listen(*context_.settings.reports, HttpLimits());
}

void ReportedUpstreamService::OnRequest(const std::shared_ptr<HttpExchange>& aExchange)
{
  auto report = protocol_.read(aExchange->Request());
  if (!report.ok()) {
    Log(LogPart::Upstream,
        LogLevel::Warning,
        "A report was rejected and ignored: {}.",
        MessageOf(report.status()));
    HttpResponse refusal;
    refusal.status = TraitsOf(KindOf(report.status())).httpStatus;
    refusal.body = MessageOf(report.status());
    aExchange->Reply(refusal);
    return;
  }
  ReportVerdict verdict = tracker_.HandleReport(*report, context_.loop.Now());
  if (verdict != ReportVerdict::Unchanged) {
    Log(LogPart::Upstream,
        LogLevel::Info,
        "Report {} of {} (born {}) says {}: {}; {} slots are open.",
        report->sequence.value_or(-1),
        report->id,
        report->startTimeMs.value_or(-1),
        NameOf(report->condition),
        NameOf(verdict),
        tracker_.Slots());
  }
  // The acknowledgement promises that no new call reaches an upstream that is leaving, so admission
  // must be closed before it is sent.
  if (verdict == ReportVerdict::Applied) {
    NotifyListeners();
  }
  aExchange->Reply(protocol_.acknowledge());
  healthRetryDelay_ = kMinHealthRetryDelay;
  QueryHealth();
}

void ReportedUpstreamService::OnLeavingNoticed(const std::string& aId)
{
  if (!tracker_.HandleLeaving(aId)) {
    return;
  }
  Log(LogPart::Upstream,
      LogLevel::Info,
      "An answer of {} says that it is leaving; {} slots are open.",
      aId,
      tracker_.Slots());
  NotifyListeners();
}

void ReportedUpstreamService::NotifyListeners()
{
  for (const auto& listener : listeners_) {
    listener();
  }
}

void ReportedUpstreamService::QueryHealth()
{
  const auto& services = releases_->Current()->services;
  auto service = services.find(context_.settings.service);
  if (service == services.end()) {
    return;
  }
  if (service->second.spec.healthPath.empty()) {
    bool acceptedWork = tracker_.AcceptsWork();
    tracker_.HandleNoHealthCheck();
    if (tracker_.AcceptsWork() != acceptedWork) {
      NotifyListeners();
    }
    return;
  }
  // Without the first query, a node that starts beside a running upstream would serve nothing until
  // the upstream's next report.
  bool isFirst = !wasHealthQueried_ && tracker_.Id().empty();
  if (isHealthQueryInProgress_ || (!isFirst && !tracker_.AwaitsHealthCheck())) {
    return;
  }
  wasHealthQueried_ = true;
  isHealthQueryInProgress_ = true;
  HttpRequest request;
  request.target = service->second.spec.healthPath;
  client_.Send(context_.settings.upstream,
               request,
               kHealthCheckTimeout,
               [this](const HttpResult& aResult) { OnHealthAnswer(aResult); });
}

HealthCheckResult ReportedUpstreamService::ReadHealth(const HttpResult& aResult) const
{
  HealthCheckResult health;
  const HttpResponse& response = aResult.response;
  // An upstream without room refuses the check like any other request.
  bool isRefused = !FindHeader(response.headers, context_.headerNames.refusal).empty();
  if (aResult.outcome != HttpOutcome::Answered || isRefused) {
    return health;
  }
  health.id = FindHeader(response.headers, context_.headerNames.upstreamId);
  bool isLeaving = ReadNotices(response.headers, context_.headerNames).isLeaving;
  if (response.status != kHealthyStatus || isLeaving) {
    health.status = HealthStatus::Unhealthy;
  } else if (!health.id.empty()) {
    health.status = HealthStatus::Healthy;
  }
  return health;
}

void ReportedUpstreamService::OnHealthAnswer(const HttpResult& aResult)
{
  isHealthQueryInProgress_ = false;
  HealthCheckResult health = ReadHealth(aResult);
  tracker_.HandleHealthCheck(health);
  Log(LogPart::Upstream,
      LogLevel::Info,
      "The health check says {} for \"{}\" (status {}); {} slots are open.",
      NameOf(health.status),
      health.id,
      aResult.response.status,
      tracker_.Slots());
  NotifyListeners();
  if (health.status == HealthStatus::Unknown && tracker_.AwaitsHealthCheck()) {
    healthTimer_ = context_.loop.After(healthRetryDelay_, [this] { QueryHealth(); });
    healthRetryDelay_ = std::min(kMaxHealthRetryDelay, 2 * healthRetryDelay_);
  }
}

} // namespace dandelion
