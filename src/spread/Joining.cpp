#include "spread/Joining.h"

#include <algorithm>

namespace dandelion {

Joining::Joining(TimePoint aNow)
  : startedAt_(aNow)
{
}

void Joining::OnStoreHead(Version aHead)
{
  storeHead_ = std::max(storeHead_.value_or(0), aHead);
}

void Joining::OnAnswer(const JoinAnswer& aAnswer)
{
  highestReported_ = std::max({ highestReported_, aAnswer.version, aAnswer.slotVersion });
  if (aAnswer.isReady) {
    readyPeers_.insert(aAnswer.sender);
  }
}

bool Joining::BeginRound(TimePoint aNow)
{
  bool isTooSoon = lastRound_.has_value() && aNow - *lastRound_ < kMinRoundInterval;
  if (!isTooSoon) {
    lastRound_ = aNow;
  }
  return !isTooSoon;
}

void Joining::OnPeersKnown(size_t aCount)
{
  peersKnown_ = aCount;
}

std::optional<Version> Joining::RequiredVersion(TimePoint aNow) const
{
  size_t requiredPeers = std::min(peersKnown_, kMaxPeersPerQueryRound);
  bool hasEnoughPeers = readyPeers_.size() >= requiredPeers;
  if (storeHead_.has_value()) {
    bool isWaitingForPeers = aNow - startedAt_ < kPeerAnswerTimeout;
    if (!hasEnoughPeers && isWaitingForPeers) {
      return std::nullopt;
    }
    return std::max(*storeHead_, highestReported_);
  }
  // Without the store, the version comes from peers only, so at least one must have answered.
  if (!hasEnoughPeers || readyPeers_.empty()) {
    return std::nullopt;
  }
  return highestReported_;
}

} // namespace dandelion
