#include "wire/Fragments.h"

#include <algorithm>

namespace dandelion {

namespace {

/// A way that was idle is entered with little, or a whole window would arrive there as one burst.
constexpr double kWindowAfterIdle = 3 * kFragmentBytes;

} // namespace

void FragmentSender::Add(const LinkMessage& aMessage, std::string aBytes)
{
  queue_.push_back(Outgoing{ nextId_++, aMessage, std::move(aBytes) });
}

void FragmentSender::OnCredit(uint64_t aBytes, TimePoint aNow)
{
  onTheWay_ -= std::min<size_t>(onTheWay_, aBytes);
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
    1 - std::chrono::duration<double>(wait) / std::chrono::duration<double>(kTargetWait);
  double change =
    std::max(offTarget, -1.0) * static_cast<double>(aBytes * kFragmentBytes) / window_;
  window_ = std::clamp(
    window_ + change, static_cast<double>(kSmallestWindow), static_cast<double>(kLargestWindow));
}

std::optional<Fragment> FragmentSender::Next(TimePoint aNow)
{
  if (queue_.empty() || static_cast<double>(onTheWay_) >= window_) {
    return std::nullopt;
  }
  if (onTheWay_ == 0) {
    window_ = std::min(window_, kWindowAfterIdle);
  }
  Outgoing outgoing = std::move(queue_.front());
  queue_.pop_front();
  Fragment fragment;
  fragment.message = outgoing.id;
  fragment.bytes.data = outgoing.bytes.substr(outgoing.sent, kFragmentBytes);
  outgoing.sent += fragment.bytes.data.size();
  onTheWay_ += fragment.bytes.data.size();
  sentAt_.push_back(aNow);
  fragment.isLast = outgoing.sent >= outgoing.bytes.size();
  if (!fragment.isLast) {
    // To the back: the messages on a link take turns.
    queue_.push_back(std::move(outgoing));
  }
  return fragment;
}

std::vector<LinkMessage> FragmentSender::TakeUnsent()
{
  std::vector<LinkMessage> unsent;
  for (Outgoing& outgoing : queue_) {
    unsent.push_back(std::move(outgoing.message));
  }
  queue_.clear();
  return unsent;
}

absl::StatusOr<std::optional<std::string>> FragmentReceiver::Take(const Fragment& aFragment)
{
  held_ += aFragment.bytes.data.size();
  if (held_ > kLargestMessage) {
    return MakeError(ErrorKind::TooLarge,
                     fmt::format("a peer sends more than {} bytes at once", kLargestMessage));
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
