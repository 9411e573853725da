#include "wire/Fragments.h"

#include <algorithm>

namespace dandelion {

namespace {

/// A way that was idle is entered with little, or a whole window would arrive there as one burst.
constexpr double kWindowAfterIdle = 3 * kFragmentBytes;

} // namespace

void FragmentSender::Add(const LinkMessage& aMessage, std::string aBytes)
{
  Outgoing outgoing{ nextId_++, aMessage, std::move(aBytes) };
  queuedBytes_ += outgoing.bytes.size();
  Share& share = ShareOf(outgoing);
  share.waiting.push_back(std::move(outgoing));
}

FragmentSender::Share& FragmentSender::ShareOf(const Outgoing& aOutgoing)
{
  return aOutgoing.bytes.size() <= kMaxShortMessageBytes ? short_ : long_;
}

void FragmentSender::BeginWaiting(Share& aShare)
{
  while (!aShare.waiting.empty()) {
    size_t bytes = aShare.waiting.front().bytes.size();
    if (aShare.begunBytes > 0 && aShare.begunBytes + bytes > aShare.mostBytes) {
      return;
    }
    aShare.begunBytes += bytes;
    turns_.push_back(std::move(aShare.waiting.front()));
    aShare.waiting.pop_front();
  }
}

void FragmentSender::OnCredit(uint64_t aBytes, TimePoint aNow)
{
  inFlightBytes_ -= std::min<size_t>(inFlightBytes_, aBytes);
  if (!sentAt_.empty()) {
    AdjustWindow(aNow - sentAt_.front(), aBytes);
    sentAt_.pop_front();
  }
}

void FragmentSender::AdjustWindow(Duration aRoundTrip, uint64_t aBytes)
{
  shortestRoundTrip_ = std::min(shortestRoundTrip_.value_or(aRoundTrip), aRoundTrip);
  // What a round trip takes beyond the shortest one is waiting. Below the target the window grows
  // with each round trip, above it shrinks in proportion.
  Duration wait = aRoundTrip - *shortestRoundTrip_;
  double offTarget =
    1 - std::chrono::duration<double>(wait) / std::chrono::duration<double>(kTargetQueueDelay);
  double change =
    std::max(offTarget, -1.0) * static_cast<double>(aBytes * kFragmentBytes) / window_;
  window_ = std::clamp(
    window_ + change, static_cast<double>(kMinWindowBytes), static_cast<double>(kMaxWindowBytes));
}

std::optional<Fragment> FragmentSender::Next(TimePoint aNow)
{
  BeginWaiting(long_);
  BeginWaiting(short_);
  if (turns_.empty() || static_cast<double>(inFlightBytes_) >= window_) {
    return std::nullopt;
  }
  if (inFlightBytes_ == 0) {
    window_ = std::min(window_, kWindowAfterIdle);
  }
  Outgoing outgoing = std::move(turns_.front());
  turns_.pop_front();
  Fragment fragment;
  fragment.message = outgoing.id;
  fragment.bytes.data = outgoing.bytes.substr(outgoing.sent, kFragmentBytes);
  outgoing.sent += fragment.bytes.data.size();
  inFlightBytes_ += fragment.bytes.data.size();
  queuedBytes_ -= fragment.bytes.data.size();
  sentAt_.push_back(aNow);
  fragment.isLast = outgoing.sent >= outgoing.bytes.size();
  if (fragment.isLast) {
    ShareOf(outgoing).begunBytes -= outgoing.bytes.size();
  } else {
    // To the back: the messages on a link take turns.
    turns_.push_back(std::move(outgoing));
  }
  return fragment;
}

std::vector<LinkMessage> FragmentSender::TakeUnsent()
{
  std::vector<LinkMessage> unsent;
  for (std::deque<Outgoing>* queue : { &turns_, &short_.waiting, &long_.waiting }) {
    for (Outgoing& outgoing : *queue) {
      unsent.push_back(std::move(outgoing.message));
    }
    queue->clear();
  }
  queuedBytes_ = 0;
  return unsent;
}

absl::StatusOr<std::optional<std::string>> FragmentReceiver::Take(const Fragment& aFragment)
{
  if (aFragment.bytes.data.empty()) {
    // Each of these would take memory and none would count.
    return MakeError(ErrorKind::BrokenMessage, "a fragment is empty");
  }
  held_ += aFragment.bytes.data.size();
  if (held_ > kMaxPartialBytes) {
    return MakeError(ErrorKind::TooLarge,
                     fmt::format("a peer sends more than {} bytes at once", kMaxPartialBytes));
  }
  std::string& partial = partial_[aFragment.message];
  partial += aFragment.bytes.data;
  if (!aFragment.isLast) {
    return std::optional<std::string>();
  }
  std::string whole = std::move(partial);
  partial_.erase(aFragment.message);
  held_ -= whole.size();
  return std::optional<std::string>(std::move(whole));
}

} // namespace dandelion
