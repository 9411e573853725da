#include "platform/RolloutOrders.h"

#include "platform/ProtocolNames.h"

namespace dandelion::platform {

namespace {

constexpr size_t kMaxOrderBytes = 16 * 1024;
constexpr double kMaxDurationSeconds = 24 * 3600;
constexpr double kMicrosecondsPerSecond = 1e6;

struct OrderFields
{
  std::string service;
  std::string targetVersion;
  double durationSeconds = 0;
};

template<class Visitor>
void VisitFields(Visitor& aVisitor, OrderFields& aFields)
{
  aVisitor.Field("service", aFields.service, MaxTextBytes{ kMaxOrderBytes });
  aVisitor.Field("target-version", aFields.targetVersion, MaxTextBytes{ kMaxVersionBytes });
  aVisitor.Field("duration", aFields.durationSeconds);
}

/// The platform's name of a stage.
std::string_view StateOf(RolloutStage aStage)
{
  switch (aStage) {
    case RolloutStage::Completed:
      return "completed";
    case RolloutStage::RolledBack:
      return "rolled_back";
    case RolloutStage::Canary:
    case RolloutStage::Opening:
    case RolloutStage::Closing:
      return "running";
  }
  return "running";
}

} // namespace

void NumberToText(Json& aObject, const char* aName)
{
  bool isNumber =
    aObject.is_object() && aObject.contains(aName) && aObject[aName].is_number_integer();
  if (isNumber) {
    aObject[aName] = aObject[aName].dump();
  }
}

absl::StatusOr<RolloutOrder> ReadRolloutOrder(const KeyValue& aItem)
{
  auto json = ParseJson(aItem.value, kMaxOrderBytes);
  if (!json.ok()) {
    return json.status();
  }
  NumberToText(*json, "target-version");
  auto fields = FromJson<OrderFields>(*json, ErrorKind::InvalidNote, UnknownKeys::Ignored);
  if (!fields.ok()) {
    return fields.status();
  }
  bool hasValidDuration =
    fields->durationSeconds > 0 && fields->durationSeconds <= kMaxDurationSeconds;
  if (!hasValidDuration || fields->targetVersion.empty() ||
      aItem.key != RolloutOrderKey(fields->service)) {
    return MakeError(ErrorKind::InvalidNote,
                     fmt::format("the order under {} needs the service of its key, a version and a "
                                 "duration of up to {} s",
                                 aItem.key,
                                 kMaxDurationSeconds));
  }
  RolloutOrder order;
  order.service = fields->service;
  order.targetVersion = fields->targetVersion;
  order.duration = Duration(static_cast<int64_t>(fields->durationSeconds * kMicrosecondsPerSecond));
  order.revision = aItem.revision;
  return order;
}

KeyValue MakeRolloutStatus(const std::string& aService, const RolloutRecord& aRecord)
{
  Json status = { { "service", aService },
                  { "target-version", aRecord.targetVersion },
                  { "state", StateOf(aRecord.stage) } };
  return KeyValue{ kRolloutStatusPrefix + aService, status.dump() };
}

std::string RolloutOrderKey(const std::string& aService)
{
  return kRolloutOrderPrefix + aService;
}

std::string RolloutRecordKey(const std::string& aService)
{
  return kRolloutRecordPrefix + aService;
}

} // namespace dandelion::platform
