#include "dandeliond/UpstreamStateServices.h"

namespace dandelion {

namespace {

/// Long enough for a health check that has to wait for a slot, as calls do.
constexpr Duration kHealthCheckTimeout = seconds(1);
constexpr int kHealthyStatus = 200;

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
}

void ReportedUpstreamService::NotifyListeners()
{
  for (const auto& listener : listeners_) {
    listener();
  }
}

/// Queries the health of the upstream once after the node starts. Without this, a node that starts
/// beside a running upstream would serve nothing until the upstream's next report.
void ReportedUpstreamService::QueryHealth()
{
  const auto& services = releases_->Current()->services;
  auto service = services.find(context_.settings.service);
  bool hasHealthPath = service != services.end() && !service->second.spec.healthPath.empty();
  if (isHealthQueried_ || !hasHealthPath || !tracker_.Id().empty()) {
    return;
  }
  isHealthQueried_ = true;
  HttpRequest request;
  request.target = service->second.spec.healthPath;
  client_.Send(
    context_.settings.upstream, request, kHealthCheckTimeout, [this](const HttpResult& aResult) {
      if (aResult.outcome != HttpOutcome::Answered) {
        return;
      }
      HealthCheckResult answer;
      answer.isHealthy = aResult.response.status == kHealthyStatus;
      answer.id = FindHeader(aResult.response.headers, context_.headerNames.upstreamId);
      tracker_.HandleHealthCheck(answer);
      Log(LogPart::Upstream,
          LogLevel::Info,
          "The health check returned {} for \"{}\"; {} slots are open.",
          aResult.response.status,
          answer.id,
          tracker_.Slots());
      NotifyListeners();
    });
}

} // namespace dandelion
