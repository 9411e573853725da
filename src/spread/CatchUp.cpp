#include "spread/CatchUp.h"

#include <algorithm>

namespace dandelion {

namespace {

constexpr Duration kPullTimeLimit = milliseconds(500);
constexpr Duration kLongestTimeLimit = seconds(4);
/// After this many requests without a result the store is asked.
constexpr int kFruitlessBeforeStore = 3;
/// Peers remembered as being ahead; any of them will do.
constexpr size_t kMaxPeersAhead = 8;

} // namespace

void CatchUp::OnVersionSeen(const Endpoint& aPeer, Version aVersion)
{
  highestSeen_ = std::max(highestSeen_, aVersion);
  if (aVersion <= inForce_) {
    return;
  }
  if (ahead_.size() < kMaxPeersAhead || ahead_.count(aPeer) > 0) {
    Version& known = ahead_[aPeer];
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
  fruitless_ = 0;
  waitingSince_.reset();
  behindSince_.reset();
  for (auto peer = ahead_.begin(); peer != ahead_.end();) {
    peer = peer->second <= inForce_ ? ahead_.erase(peer) : std::next(peer);
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
  if (aNow - *behindSince_ < patience_) {
    return std::nullopt;
  }
  if (waitingSince_.has_value()) {
    if (aNow - *waitingSince_ < limit_) {
      return std::nullopt;
    }
    ++fruitless_;
  }
  waitingSince_ = aNow;
  limit_ = std::min(kPullTimeLimit * (1 << std::min(fruitless_, 3)), kLongestTimeLimit);
  if (ahead_.empty() || fruitless_ >= kFruitlessBeforeStore) {
    fruitless_ = 0;
    return PullFromStore{};
  }
  auto holdsLess = [](const auto& aA, const auto& aB) { return aA.second < aB.second; };
  auto best = std::max_element(ahead_.begin(), ahead_.end(), holdsLess);
  PullFrom pull{ best->first, inForce_ };
  // A peer that does not deliver is not asked again until it shows its version anew.
  ahead_.erase(best);
  return pull;
}

} // namespace dandelion
