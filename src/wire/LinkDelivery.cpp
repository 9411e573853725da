#include "wire/LinkDelivery.h"

#include <algorithm>

namespace dandelion {

void LinkDelivery::OnSent(std::string aFrame, TimePoint aNow)
{
  unacknowledged_.push_back(SentFrame{ std::move(aFrame), aNow });
}

bool LinkDelivery::OnAcknowledged(uint64_t aReceived, TimePoint aNow)
{
  if (aReceived > acknowledged_ + unacknowledged_.size()) {
    return false;
  }
  if (acknowledged_ < aReceived) {
    acknowledgedAt_ = aNow;
  }
  while (acknowledged_ < aReceived) {
    const SentFrame& frame = unacknowledged_.front();
    // A frame that was sent twice does not tell which copy is acknowledged.
    if (!frame.isResent) {
      backoff_ = 0;
      AddRoundTrip(aNow - frame.sentAt);
    }
    unacknowledged_.pop_front();
    ++acknowledged_;
  }
  return true;
}

void LinkDelivery::OnResent(TimePoint aNow)
{
  ++backoff_;
  for (SentFrame& frame : unacknowledged_) {
    frame.sentAt = aNow;
    frame.isResent = true;
  }
}

uint64_t LinkDelivery::TakeAck()
{
  lastAck_ = received_;
  return received_;
}

std::optional<TimePoint> LinkDelivery::WaitingSince() const
{
  if (unacknowledged_.empty()) {
    return std::nullopt;
  }
  return std::max(unacknowledged_.front().sentAt, acknowledgedAt_);
}

Duration LinkDelivery::AckTimeout() const
{
  constexpr int kVariationFactor = 4;
  constexpr int kMaxBackoff = 4;
  Duration timeout = kInitialAckTimeout;
  if (roundTrip_.has_value()) {
    timeout = std::max(kMinAckTimeout, *roundTrip_ + kVariationFactor * variation_);
  }
  return std::min(kMaxAckTimeout, timeout * (1 << std::min(backoff_, kMaxBackoff)));
}

bool LinkDelivery::IsOverdue(TimePoint aNow, TimePoint aLastReceived) const
{
  std::optional<TimePoint> since = WaitingSince();
  Duration timeout = AckTimeout();
  constexpr int kBusyFactor = 2;
  bool isBusy = aNow - aLastReceived < timeout;
  return since.has_value() && aNow - *since > timeout * (isBusy ? kBusyFactor : 1);
}

void LinkDelivery::AddRoundTrip(Duration aRoundTrip)
{
  constexpr int kRoundTripShare = 8;
  constexpr int kVariationShare = 4;
  if (!roundTrip_.has_value()) {
    roundTrip_ = aRoundTrip;
    variation_ = aRoundTrip / 2;
    return;
  }
  Duration deviation = std::max(aRoundTrip, *roundTrip_) - std::min(aRoundTrip, *roundTrip_);
  variation_ += (deviation - variation_) / kVariationShare;
  *roundTrip_ += (aRoundTrip - *roundTrip_) / kRoundTripShare;
}

} // namespace dandelion
