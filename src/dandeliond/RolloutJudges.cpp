#include "dandeliond/RolloutJudges.h"

#include "absl/strings/match.h"

#include <algorithm>

namespace dandelion {

namespace {

/// Each report is sent to all judges, so there are few.
constexpr size_t kMaxJudges = 3;
constexpr Duration kOrdersRetryDelay = milliseconds(500);
/// A decided order is announced for this long, then told only to nodes that ask.
constexpr Duration kAnnounceDecidedTime = seconds(5);
constexpr size_t kMaxRecordBytes = 64 * 1024;

RolloutBounds BoundsOf(const RolloutSettings& aSettings)
{
  constexpr double kMicrosecondsPerMillisecond = 1e3;
  RolloutBounds bounds;
  bounds.exposeShare = aSettings.exposeShare;
  bounds.exposeSlack = static_cast<int64_t>(aSettings.exposeSlack);
  bounds.rollback =
    Duration(static_cast<int64_t>(aSettings.rollbackMs * kMicrosecondsPerMillisecond));
  return bounds;
}

} // namespace

std::vector<const Member*> JudgesOf(const MemberTable& aTable, const std::string& aStoreRegion)
{
  std::vector<const Member*> judges;
  for (const auto& [id, member] : aTable.All()) {
    bool mayJudge = IsActive(member) && judges.size() < kMaxJudges;
    if (mayJudge && WatchesStore(aTable, member, aStoreRegion)) {
      judges.push_back(&member);
    }
  }
  return judges;
}

std::optional<RolloutRecord> ParseRolloutRecord(const std::string& aText)
{
  auto json = ParseJson(aText, kMaxRecordBytes);
  if (!json.ok()) {
    return std::nullopt;
  }
  auto record = FromJson<RolloutRecord>(*json, ErrorKind::BrokenMessage, UnknownKeys::Ignored);
  return record.ok() ? std::optional(*record) : std::nullopt;
}

RolloutJudges::RolloutJudges(const NodeContext& aContext,
                             const RolloutProtocol& aProtocol,
                             OnPermit aSend)
  : context_(aContext)
  , protocol_(aProtocol)
  , send_(std::move(aSend))
{
}

void RolloutJudges::Start()
{
  store_ = &context_.registry.Find<Store>(ServiceName::Store);
  membership_ = &context_.registry.Find<Membership>(ServiceName::Membership);
}

void RolloutJudges::OnWatch()
{
  if (isActive_) {
    ReadOrders();
  }
}

void RolloutJudges::OnEvents(const WatchEvents& aEvents)
{
  if (!isActive_) {
    return;
  }
  for (const KeyValue& item : aEvents.items) {
    AddOrder(item);
  }
  if (aEvents.asOf.has_value() && hasOrders_) {
    confirmedAt_ = std::max(confirmedAt_, *aEvents.asOf);
  }
}

void RolloutJudges::ReadOrders()
{
  hasOrders_ = false;
  if (isReading_) {
    mustReadAgain_ = true;
    return;
  }
  isReading_ = true;
  mustReadAgain_ = false;
  TimePoint sentAt = context_.loop.Now();
  nextRead_ = sentAt + kOrdersRetryDelay;
  ReadRequest request;
  request.key = protocol_.orderPrefix;
  request.end = PrefixRangeEnd(protocol_.orderPrefix);
  store_->Read(request, [this, sentAt](const absl::StatusOr<ReadResult>& aResult) {
    isReading_ = false;
    if (!aResult.ok() || !isActive_) {
      return;
    }
    for (const KeyValue& item : aResult->items) {
      AddOrder(item);
    }
    if (mustReadAgain_) {
      ReadOrders();
      return;
    }
    hasOrders_ = true;
    confirmedAt_ = std::max(confirmedAt_, sentAt);
  });
}

void RolloutJudges::AddOrder(const KeyValue& aItem)
{
  if (!absl::StartsWith(aItem.key, protocol_.orderPrefix)) {
    return;
  }
  auto order = protocol_.readOrder(aItem);
  if (!order.ok() || order->revision == 0) {
    Log(LogPart::Releases,
        LogLevel::Error,
        "The rollout order under key {} was rejected: {}.",
        aItem.key,
        order.ok() ? "the store tells no revision of it" : MessageOf(order.status()));
    return;
  }
  auto known = judged_.find(order->service);
  if (known != judged_.end() && known->second.judge.Order().revision >= order->revision) {
    return;
  }
  Log(LogPart::Releases,
      LogLevel::Info,
      "Order {}: roll out version {} of {} within {} ms.",
      order->revision,
      order->targetVersion,
      order->service,
      ToMilliseconds(order->duration));
  RolloutJudge judge(*order, BoundsOf(*context_.settings.rollouts), context_.loop.Now());
  judged_.insert_or_assign(order->service, Judged(std::move(judge)));
}

void RolloutJudges::OnReport(const RolloutReport& aReport)
{
  if (!isActive_) {
    return;
  }
  TimePoint now = context_.loop.Now();
  auto found = judged_.find(aReport.service);
  if (found != judged_.end()) {
    RolloutJudge& judge = found->second.judge;
    Execute(judge.Order(), judge.OnReport(aReport, now));
    return;
  }
  if (hasOrders_) {
    RolloutPermit permit;
    permit.service = aReport.service;
    permit.isOpen = true;
    permit.maxCalls = -1;
    permit.ageMs = std::max<int64_t>(0, ToMilliseconds(now - confirmedAt_));
    send_(aReport.sender, permit);
  }
}

void RolloutJudges::Tick(std::optional<size_t> aRank)
{
  TimePoint now = context_.loop.Now();
  if (aRank.has_value() != isActive_) {
    isActive_ = aRank.has_value();
    hasOrders_ = false;
    judged_.clear();
    nextRead_ = now;
  }
  if (!isActive_) {
    return;
  }
  if (!hasOrders_ && !isReading_ && now >= nextRead_) {
    ReadOrders();
  }
  for (auto& [service, judged] : judged_) {
    judged.judge.OnConfirmed(confirmedAt_);
    LogStage(judged);
    if (judged.decidedAt.has_value() && now - *judged.decidedAt > kAnnounceDecidedTime) {
      continue;
    }
    std::vector<std::string> members;
    for (const auto& [id, member] : membership_->Table().All()) {
      if (IsActive(member) && member.service == service) {
        members.push_back(id);
      }
    }
    Execute(judged.judge.Order(), judged.judge.Tick(members, *aRank, now));
  }
}

void RolloutJudges::LogStage(Judged& aJudged)
{
  const RolloutJudge& judge = aJudged.judge;
  TimePoint now = context_.loop.Now();
  if (judge.IsDecided() && !aJudged.decidedAt.has_value()) {
    aJudged.decidedAt = now;
  }
  if (aJudged.loggedStage == judge.Stage()) {
    return;
  }
  aJudged.loggedStage = judge.Stage();
  Log(
    LogPart::Releases,
    LogLevel::Info,
    "Order {} of {} version {} is {}: verdict {}, {}; {} of {} calls reach the version; the store "
    "was read {} ms ago.",
    judge.Order().revision,
    judge.Order().service,
    judge.Order().targetVersion,
    NameOf(judge.Stage()),
    NameOf(judge.Judgement().verdict),
    judge.Judgement().reason,
    judge.ExposedCalls(),
    judge.ServiceCalls(),
    ToMilliseconds(now - confirmedAt_));
}

RolloutJudge* RolloutJudges::Find(const RolloutOrder& aOrder)
{
  auto found = judged_.find(aOrder.service);
  bool isCurrent =
    found != judged_.end() && found->second.judge.Order().revision == aOrder.revision;
  return isCurrent ? &found->second.judge : nullptr;
}

void RolloutJudges::Execute(const RolloutOrder& aOrder, const RolloutEffects& aEffects)
{
  for (const RolloutEffect& effect : aEffects) {
    std::visit(Overloaded{
                 [&](const SendPermit& aSend) { send_(aSend.to, aSend.permit); },
                 [&](const ReadRolloutState&) { ReadRecord(aOrder); },
                 [&](const WriteRolloutState& aWrite) { WriteRecord(aOrder, aWrite); },
               },
               effect);
  }
}

void RolloutJudges::ReadRecord(const RolloutOrder& aOrder)
{
  ReadRequest request;
  request.key = protocol_.recordKey(aOrder.service);
  TimePoint sentAt = context_.loop.Now();
  store_->Read(request, [this, aOrder, sentAt](const absl::StatusOr<ReadResult>& aResult) {
    RolloutJudge* judge = Find(aOrder);
    if (judge == nullptr) {
      return;
    }
    if (!aResult.ok()) {
      judge->OnStoreFailed(context_.loop.Now());
    } else if (aResult->items.empty()) {
      judge->OnRecord(std::nullopt, 0, sentAt);
    } else {
      const KeyValue& item = aResult->items.front();
      judge->OnRecord(ParseRolloutRecord(item.value), item.revision, sentAt);
    }
  });
}

void RolloutJudges::WriteRecord(const RolloutOrder& aOrder, const WriteRolloutState& aWrite)
{
  SwapRequest request;
  request.key = protocol_.recordKey(aOrder.service);
  request.expectedRevision = aWrite.expectedRevision;
  request.puts.push_back(KeyValue{ request.key, ToJson(aWrite.record).dump() });
  // Both are written together, so that operators never read a state that the record does not hold.
  request.puts.push_back(protocol_.makeStatus(aOrder.service, aWrite.record));
  auto onDone = [this, aOrder, record = aWrite.record](const absl::StatusOr<SwapResult>& aResult) {
    RolloutJudge* judge = Find(aOrder);
    if (judge == nullptr) {
      return;
    }
    if (aResult.ok() && aResult->isWritten) {
      judge->OnWritten(record, aResult->revision, context_.loop.Now());
    } else {
      judge->OnStoreFailed(context_.loop.Now());
    }
  };
  store_->Swap(request, onDone);
}

} // namespace dandelion
