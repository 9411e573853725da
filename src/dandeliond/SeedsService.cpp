#include "dandeliond/SeedsService.h"

#include "absl/strings/match.h"

#include <map>

namespace dandelion {

namespace {

constexpr char kSeedsPrefix[] = "dandelion/seeds/";
/// How often the first relay of a zone reads the seeds to find unknown nodes.
constexpr Duration kReadPeriod = seconds(20);
/// How often a node that is joining or knows no other member reads the seeds.
constexpr Duration kReadPeriodAlone = seconds(1);
/// Jitter, to spread the store calls of nodes that start at the same time.
constexpr int64_t kStartJitterMs = 200;
constexpr int64_t kFirstStartJitterMs = 1500;
constexpr int64_t kPeriodJitterMs = 500;
constexpr size_t kMaxSeedsPerZone = 4;

/// A seed for first contact as stored. Its key has the zone and the node's id, so that no two nodes
/// write the same key.
struct Seed
{
  std::string region;
  Endpoint endpoint;
  Endpoint crossRegionEndpoint;
};

template<class Visitor>
void VisitFields(Visitor& aVisitor, Seed& aSeed)
{
  aVisitor.Field("region", aSeed.region);
  aVisitor.Field("endpoint", aSeed.endpoint);
  aVisitor.Field("far_endpoint", aSeed.crossRegionEndpoint);
}

} // namespace

SeedsService::SeedsService(const NodeContext& aContext, uint64_t aSeed)
  : context_(aContext)
  , random_(aSeed)
{
}

absl::Status SeedsService::Start()
{
  store_ = &context_.registry.Find<Store>(ServiceName::Store);
  membership_ = &context_.registry.Find<Membership>(ServiceName::Membership);
  // On the first start all nodes read at about the same time. The longer jitter lets the first ones
  // publish themselves before the others read.
  int64_t maxJitterMs = context_.settings.isFirstStart ? kFirstStartJitterMs : kStartJitterMs;
  Duration jitter =
    milliseconds(static_cast<int64_t>(random_() % static_cast<uint64_t>(maxJitterMs)));
  timer_ = context_.loop.After(jitter, [this] { Read(); });
  return absl::OkStatus();
}

void SeedsService::Stop()
{
  timer_.Cancel();
}

void SeedsService::Read()
{
  bool isAlone = membership_->Table().All().size() <= 1;
  Duration period = isAlone || !membership_->IsReady() ? kReadPeriodAlone : kReadPeriod;
  Duration jitter = milliseconds(static_cast<int64_t>(random_() % kPeriodJitterMs));
  timer_ = context_.loop.After(period + jitter, [this] { Read(); });
  bool isNeeded = !membership_->IsReady() || IsFirstRelayOrAlone();
  if (!isNeeded || !IsActive(membership_->Self())) {
    return;
  }
  ReadRequest request;
  request.key = kSeedsPrefix;
  request.end = PrefixRangeEnd(kSeedsPrefix);
  TimePoint sentAt = context_.loop.Now();
  store_->Read(request, [this, sentAt](const absl::StatusOr<ReadResult>& aResult) {
    OnRead(aResult, sentAt);
  });
}

void SeedsService::OnRead(const absl::StatusOr<ReadResult>& aResult, TimePoint aSentAt)
{
  if (!aResult.ok()) {
    return;
  }
  membership_->OnStoreAnswered(aSentAt);
  std::string ownPrefix = fmt::format("{}{}/", kSeedsPrefix, context_.settings.zone);
  std::map<std::string, Endpoint> listed;
  std::vector<Endpoint> endpoints;
  for (const KeyValue& item : aResult->items) {
    auto seed = Decode<Seed>(item.value);
    if (!seed.ok()) {
      Log(LogPart::Store,
          LogLevel::Warning,
          "Key {} does not hold a valid seed and is ignored.",
          item.key);
      continue;
    }
    bool isSameRegion = seed->region == context_.settings.region;
    endpoints.push_back(isSameRegion ? seed->endpoint : seed->crossRegionEndpoint);
    if (absl::StartsWith(item.key, ownPrefix)) {
      listed[item.key] = seed->endpoint;
    }
  }
  membership_->ContactSeeds(endpoints);
  if (membership_->IsReady() || context_.settings.isFirstStart) {
    PublishSelf(listed);
  }
}

void SeedsService::PublishSelf(const std::map<std::string, Endpoint>& aListed)
{
  const Member& self = membership_->Self();
  bool isAlone = membership_->Table().All().size() <= 1;
  size_t liveCount = 0;
  for (const auto& [key, endpoint] : aListed) {
    if (endpoint == self.endpoint && key == OwnKey()) {
      return;
    }
    // A node that knows no other member cannot tell live seeds from dead ones and counts all.
    bool isLive = isAlone || membership_->Table().FindByEndpoint(endpoint) != nullptr;
    liveCount += isLive ? 1 : 0;
    if (!isLive && IsFirstRelayOrAlone()) {
      // The node may be alive and only unknown here; it then publishes itself again at its next
      // read.
      store_->DeleteRange(key, key + '\0', &SeedsService::OnWritten);
    }
  }
  if (liveCount < kMaxSeedsPerZone) {
    Seed seed{ self.region, self.endpoint, self.crossRegionEndpoint };
    store_->Put(OwnKey(), Encode(seed), std::nullopt, &SeedsService::OnWritten);
  }
}

void SeedsService::OnWritten(const absl::Status& aStatus)
{
  if (!aStatus.ok()) {
    Log(LogPart::Store,
        LogLevel::Warning,
        "The seeds were not updated: {}; the write is retried after the next read.",
        MessageOf(aStatus));
  }
}

std::string SeedsService::OwnKey() const
{
  return fmt::format("{}{}/{}", kSeedsPrefix, context_.settings.zone, context_.settings.id);
}

bool SeedsService::IsFirstRelayOrAlone() const
{
  const Member& self = membership_->Self();
  std::vector<const Member*> ranked = membership_->Table().RankedInZone(self.zone);
  bool isFirst = !ranked.empty() && ranked.front()->id == self.id;
  return isFirst || membership_->Table().All().size() <= 1;
}

} // namespace dandelion
