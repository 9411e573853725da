#include "spread/Joining.h"

#include <algorithm>

namespace dandelion {

Joining::Joining(TimePoint aNow)
  : began_(aNow)
{
}

void Joining::OnStoreHead(Version aHead)
{
  storeHead_ = std::max(storeHead_.value_or(0), aHead);
}

void Joining::OnAnswer(const JoinAnswer& aAnswer)
{
  highest_ = std::max({ highest_, aAnswer.version, aAnswer.slotVersion });
  if (aAnswer.isReady) {
    answered_.insert(aAnswer.sender);
  }
}

bool Joining::BeginRound(TimePoint aNow)
{
  bool isTooSoon = lastRound_.has_value() && aNow - *lastRound_ < kAskGap;
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
  size_t wanted = std::min(peersKnown_, kPeersAsked);
  bool hasEnoughPeers = answered_.size() >= wanted;
  if (storeHead_.has_value()) {
    bool isPatient = aNow - began_ < kPeerPatience;
    if (!hasEnoughPeers && isPatient) {
      return std::nullopt;
    }
    return std::max(*storeHead_, highest_);
  }
  // Without the store the peers alone speak, so one at least must.
  if (!hasEnoughPeers || answered_.empty()) {
    return std::nullopt;
  }
  return highest_;
}

} // namespace dandelion
