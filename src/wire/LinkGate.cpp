#include "wire/LinkGate.h"

namespace dandelion {

void LinkGate::OnInterrupted(TimePoint aNow)
{
  state_ = LinkState::Interrupted;
  interruptedAt_ = aNow;
}

void LinkGate::BeginVerification(uint64_t aFrames)
{
  state_ = LinkState::Verifying;
  probeNumber_ = aFrames;
}

void LinkGate::OnAcknowledged(uint64_t aReceived)
{
  if (state_ == LinkState::Verifying && aReceived >= probeNumber_) {
    state_ = LinkState::Open;
  }
}

std::optional<TimePoint> LinkGate::InterruptedAt() const
{
  return state_ == LinkState::Interrupted ? std::optional(interruptedAt_) : std::nullopt;
}

} // namespace dandelion
