#include "dandeliond/SeedsService.h"

#include <algorithm>

namespace dandelion {

namespace {

constexpr char kSeedsPrefix[] = "dandelion/seeds/";
/// A relay looks for strangers among the seeds this often; a node that is alone more often.
constexpr Duration kPeriod = seconds(10);
constexpr Duration kPeriodAlone = seconds(1);
/// Spreads the calls of nodes that start together.
constexpr int64_t kStartJitterMs = 200;
constexpr int64_t kPeriodJitterMs = 500;
constexpr size_t kMostPerZone = 4;

/// A first contact as the store keeps it, under the key of its zone.
struct Seed
{
  std::string region;
  Endpoint endpoint;
  Endpoint farEndpoint;
};

template<class Visitor>
void VisitFields(Visitor& aVisitor, Seed& aSeed)
{
  aVisitor.Field("region", aSeed.region);
  aVisitor.Field("endpoint", aSeed.endpoint);
  aVisitor.Field("far_endpoint", aSeed.farEndpoint);
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
  Duration jitter = milliseconds(static_cast<int64_t>(random_() % kStartJitterMs));
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
  Duration period = isAlone || !membership_->IsReady() ? kPeriodAlone : kPeriod;
  Duration jitter = milliseconds(static_cast<int64_t>(random_() % kPeriodJitterMs));
  timer_ = context_.loop.After(period + jitter, [this] { Read(); });
  bool isNeeded = !membership_->IsReady() || IsRelayOrAlone();
  if (!isNeeded || !TakesWork(membership_->Self())) {
    return;
  }
  ReadRequest request;
  request.key = kSeedsPrefix;
  request.end = EndOfPrefix(kSeedsPrefix);
  TimePoint askedAt = context_.loop.Now();
  store_->Read(request, [this, askedAt](const absl::StatusOr<ReadResult>& aResult) {
    OnRead(aResult, askedAt);
  });
}

void SeedsService::OnRead(const absl::StatusOr<ReadResult>& aResult, TimePoint aAskedAt)
{
  if (!aResult.ok()) {
    return;
  }
  membership_->OnStoreAnswered(aAskedAt);
  std::string ownZone;
  std::vector<Endpoint> contacts;
  for (const KeyValue& item : aResult->items) {
    auto seeds = Decode<std::vector<Seed>>(item.value);
    if (item.key == kSeedsPrefix + context_.settings.zone) {
      ownZone = item.value;
    }
    for (const Seed& seed : seeds.value_or(std::vector<Seed>())) {
      bool isNear = seed.region == context_.settings.region;
      contacts.push_back(isNear ? seed.endpoint : seed.farEndpoint);
    }
  }
  membership_->MeetSeeds(contacts);
  if (membership_->IsReady()) {
    OfferSelf(ownZone);
  }
}

void SeedsService::OfferSelf(const std::string& aListed)
{
  auto listed = Decode<std::vector<Seed>>(aListed).value_or(std::vector<Seed>());
  const Member& self = membership_->Self();
  auto isSelf = [&](const Seed& aSeed) { return aSeed.endpoint == self.endpoint; };
  bool isListed = std::any_of(listed.begin(), listed.end(), isSelf);
  if (isListed || !IsRelayOrAlone()) {
    return;
  }
  // Two relays may write at once and one of them is lost; it writes again at its next look.
  std::vector<Seed> seeds{ Seed{ self.region, self.endpoint, self.farEndpoint } };
  for (const Seed& other : listed) {
    bool isThere = membership_->Table().FindByEndpoint(other.endpoint) != nullptr;
    if (seeds.size() < kMostPerZone && isThere) {
      seeds.push_back(other);
    }
  }
  store_->Put(kSeedsPrefix + self.zone, Encode(seeds), std::nullopt, [](const absl::Status&) {});
}

bool SeedsService::IsRelayOrAlone() const
{
  const Member& self = membership_->Self();
  return membership_->Table().All().size() <= 1 ||
         Contains(RelaysOfZone(membership_->Table(), self.zone), self.id);
}

} // namespace dandelion
