#include "spread/CatchUp.h"

#include <algorithm>

namespace dandelion {

namespace {

constexpr Duration kMaxPullTimeout = seconds(4);
/// Maximum number of peers ahead to remember; one that delivers is enough.
constexpr size_t kMaxPeersAhead = 8;

} // namespace

void CatchUp::OnVersionSeen(const Endpoint& aPeer, Version aVersion)
{
  highestSeen_ = std::max(highestSeen_, aVersion);
  if (aVersion <= inForce_) {
    return;
  }
  if (peersAhead_.size() < kMaxPeersAhead || peersAhead_.count(aPeer) > 0) {
    Version& known = peersAhead_[aPeer];
    known = std::max(known, aVersion);
  }
}

void CatchUp::OnVersionRequired(Version aVersion)
{
  highestSeen_ = std::max(highestSeen_, aVersion);
}

void CatchUp::OnVersionInForce(Version aVersion, TimePoint /* aNow */)
{
  if (aVersion <= inForce_) {
    return;
  }
  inForce_ = aVersion;
  highestSeen_ = std::max(highestSeen_, aVersion);
  failedPulls_ = 0;
  failedStoreReads_ = 0;
  pullStartedAt_.reset();
  behindSince_.reset();
  for (auto peer = peersAhead_.begin(); peer != peersAhead_.end();) {
    peer = peer->second <= inForce_ ? peersAhead_.erase(peer) : std::next(peer);
  }
}

std::optional<CatchUpEffect> CatchUp::Next(TimePoint aNow)
{
  if (!IsBehind()) {
    behindSince_.reset();
    return std::nullopt;
  }
  if (!behindSince_.has_value()) {
    behindSince_ = aNow;
  }
  if (aNow - *behindSince_ < pullDelay_) {
    return std::nullopt;
  }
  if (pullStartedAt_.has_value()) {
    if (aNow - *pullStartedAt_ < pullTimeout_) {
      return std::nullopt;
    }
    ++failedPulls_;
  }
  pullStartedAt_ = aNow;
  constexpr int kMaxDoublings = 3;
  pullTimeout_ =
    std::min(kPullTimeout * (1 << std::min(failedStoreReads_, kMaxDoublings)), kMaxPullTimeout);
  if (peersAhead_.empty() || failedPulls_ >= kFailedPullsBeforeStore) {
    failedPulls_ = 0;
    ++failedStoreReads_;
    return PullFromStore{};
  }
  auto hasLowerVersion = [](const auto& aA, const auto& aB) { return aA.second < aB.second; };
  auto best = std::max_element(peersAhead_.begin(), peersAhead_.end(), hasLowerVersion);
  PullFromPeer pull{ best->first, inForce_ };
  // A peer that does not deliver gets no further pull until it reports its version again.
  peersAhead_.erase(best);
  return pull;
}

} // namespace dandelion
