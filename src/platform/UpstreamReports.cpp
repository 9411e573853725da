#include "platform/UpstreamReports.h"

#include "platform/ProtocolNames.h"
#include "platform/RolloutOrders.h"

#include "absl/strings/match.h"

#include <algorithm>

namespace dandelion::platform {

namespace {

/// Maximum size of a report's body; a complete one has a few hundred bytes.
constexpr size_t kMaxReportBytes = 16 * 1024;
constexpr int64_t kMaxUpstreamSlots = 100000;
constexpr double kMaxWarmupMs = 3600 * 1000;

struct ReportFields
{
  std::string service;
  UpstreamCondition state = UpstreamCondition::Ready;
  /// Number of calls that the upstream runs concurrently.
  int64_t capacity = 0;
  int64_t sequence = 0;
  std::optional<int64_t> born;
  std::string version;
  double warmupLeftMs = 0;
};

template<class Visitor>
void VisitFields(Visitor& aVisitor, ReportFields& aFields)
{
  aVisitor.Field("service", aFields.service, MaxTextBytes{ kMaxReportBytes });
  aVisitor.Field("state", aFields.state);
  aVisitor.Field("capacity", aFields.capacity, IntegerRange{ 1, kMaxUpstreamSlots });
  aVisitor.Field("sequence", aFields.sequence, IntegerRange{ 0, INT64_MAX });
  aVisitor.OptionalField("born", aFields.born);
  aVisitor.OptionalField("version", aFields.version);
  aVisitor.OptionalField("warmup-left", aFields.warmupLeftMs);
}

/// The body of an upstream's last report (DELETE), which may also be empty.
struct DepartureFields
{
  std::optional<int64_t> born;
};

template<class Visitor>
void VisitFields(Visitor& aVisitor, DepartureFields& aFields)
{
  aVisitor.OptionalField("born", aFields.born);
}

template<class Fields>
absl::StatusOr<Fields> ReadBody(const std::string& aBody)
{
  auto json = ParseJson(aBody, kMaxReportBytes);
  if (!json.ok()) {
    return MakeError(ErrorKind::BrokenMessage, MessageOf(json.status()));
  }
  NumberToText(*json, "version");
  return FromJson<Fields>(*json, ErrorKind::BrokenMessage, UnknownKeys::Ignored);
}

} // namespace

absl::StatusOr<UpstreamReport> ReadReport(const HttpRequest& aRequest)
{
  UpstreamReport report;
  std::string path = aRequest.target.substr(0, aRequest.target.find('?'));
  bool hasReportPrefix = absl::StartsWith(path, kReportPrefix);
  report.id = hasReportPrefix ? path.substr(sizeof(kReportPrefix) - 1) : "";
  bool hasValidId = !report.id.empty() && report.id.find('/') == std::string::npos;
  if (!hasValidId || (aRequest.method != "PUT" && aRequest.method != "DELETE")) {
    return MakeError(ErrorKind::UnknownObject,
                     fmt::format("{} {} does not accept reports", aRequest.method, path));
  }
  if (aRequest.method == "DELETE") {
    report.condition = UpstreamCondition::Gone;
    if (!aRequest.body.empty()) {
      auto fields = ReadBody<DepartureFields>(aRequest.body);
      if (!fields.ok()) {
        return fields.status();
      }
      report.startTimeMs = fields->born;
    }
    return report;
  }
  auto fields = ReadBody<ReportFields>(aRequest.body);
  if (!fields.ok()) {
    return fields.status();
  }
  if (fields->state == UpstreamCondition::Gone) {
    return MakeError(ErrorKind::BrokenMessage, "state must be one of: ready, draining");
  }
  report.service = fields->service;
  report.condition = fields->state;
  report.slots = fields->capacity;
  report.sequence = fields->sequence;
  report.startTimeMs = fields->born;
  // A report tells first of all whether the upstream accepts work, so odd values do not reject it.
  report.softwareVersion = fields->version.size() <= kMaxVersionBytes ? fields->version : "";
  double warmupMs = std::clamp(fields->warmupLeftMs, 0.0, kMaxWarmupMs);
  report.warmupLeft = milliseconds(static_cast<int64_t>(warmupMs));
  return report;
}

HttpResponse AcknowledgeReport()
{
  return HttpResponse{ 200, { { "Content-Type", "application/json" } }, "{}" };
}

} // namespace dandelion::platform
