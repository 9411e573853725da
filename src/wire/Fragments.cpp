#include "wire/Fragments.h"

#include <algorithm>

namespace dandelion {

namespace {

bool IsCall(const LinkMessage& aMessage)
{
  return std::holds_alternative<OpenCall>(aMessage);
}

/// Smaller messages grow by the usual doubling.
constexpr size_t kMinReservedBytes = 64 * 1024;

/// Reserves memory for a message by the size of its body, which its first fragment names, so that
/// the message is not copied while it grows.
void ReserveFor(const std::string& aFirstFragment, std::string& aMessage)
{
  auto body = FindLargeByteString(aFirstFragment, kMinReservedBytes);
  if (body.has_value() && body->size < kMaxMessageBytes) {
    aMessage.reserve(body->begin + body->size + kFragmentBytes);
  }
}

/// Window limit after an idle period. A full window would be sent as one burst.
constexpr double kMaxWindowAfterIdleBytes = 3 * kFragmentBytes;

} // namespace

void FragmentSender::Add(const LinkMessage& aMessage, SplitBytes aBytes)
{
  Outgoing outgoing{ nextId_++, aMessage, std::move(aBytes) };
  queuedBytes_ += outgoing.bytes.size();
  queuedCallBytes_ += IsCall(outgoing.message) ? outgoing.bytes.size() : 0;
  SizeClass& sizeClass = SizeClassOf(outgoing);
  sizeClass.waiting.push_back(std::move(outgoing));
}

FragmentSender::SizeClass& FragmentSender::SizeClassOf(const Outgoing& aOutgoing)
{
  return aOutgoing.bytes.size() <= kMaxShortMessageBytes ? short_ : long_;
}

void FragmentSender::ActivateWaiting(SizeClass& aSizeClass)
{
  while (!aSizeClass.waiting.empty()) {
    size_t bytes = aSizeClass.waiting.front().bytes.size();
    if (aSizeClass.activeBytes > 0 && aSizeClass.activeBytes + bytes > aSizeClass.maxBytes) {
      return;
    }
    aSizeClass.activeBytes += bytes;
    active_.push_back(std::move(aSizeClass.waiting.front()));
    aSizeClass.waiting.pop_front();
  }
}

void FragmentSender::OnCredit(uint64_t aBytes, TimePoint aNow)
{
  inFlightBytes_ -= std::min<size_t>(inFlightBytes_, aBytes);
  if (!sendTimes_.empty()) {
    AdjustWindow(aNow - sendTimes_.front(), aBytes);
    sendTimes_.pop_front();
  }
}

void FragmentSender::AdjustWindow(Duration aRoundTrip, uint64_t aBytes)
{
  minRoundTrip_ = std::min(minRoundTrip_.value_or(aRoundTrip), aRoundTrip);
  // The queue delay is the part of the round trip that exceeds the shortest one. Below the target
  // delay the window grows with each round trip, above it the window shrinks in proportion.
  Duration queueDelay = aRoundTrip - *minRoundTrip_;
  double offTarget = 1 - std::chrono::duration<double>(queueDelay) /
                           std::chrono::duration<double>(kTargetQueueDelay);
  double change =
    std::max(offTarget, -1.0) * static_cast<double>(aBytes * kFragmentBytes) / windowBytes_;
  windowBytes_ = std::clamp(windowBytes_ + change,
                            static_cast<double>(kMinWindowBytes),
                            static_cast<double>(kMaxWindowBytes));
}

std::optional<Fragment> FragmentSender::NextFragment(TimePoint aNow)
{
  ActivateWaiting(long_);
  ActivateWaiting(short_);
  if (active_.empty() || static_cast<double>(inFlightBytes_) >= windowBytes_) {
    return std::nullopt;
  }
  if (inFlightBytes_ == 0) {
    windowBytes_ = std::min(windowBytes_, kMaxWindowAfterIdleBytes);
  }
  Outgoing outgoing = std::move(active_.front());
  active_.pop_front();
  Fragment fragment;
  fragment.message = outgoing.id;
  fragment.bytes.data = outgoing.bytes.Slice(outgoing.sent, kFragmentBytes);
  outgoing.sent += fragment.bytes.data.size();
  inFlightBytes_ += fragment.bytes.data.size();
  queuedBytes_ -= fragment.bytes.data.size();
  queuedCallBytes_ -= IsCall(outgoing.message) ? fragment.bytes.data.size() : 0;
  sendTimes_.push_back(aNow);
  fragment.isLast = outgoing.sent >= outgoing.bytes.size();
  if (fragment.isLast) {
    SizeClassOf(outgoing).activeBytes -= outgoing.bytes.size();
  } else {
    // Messages on a link are sent round-robin.
    active_.push_back(std::move(outgoing));
  }
  return fragment;
}

std::vector<LinkMessage> FragmentSender::TakeUnsent()
{
  std::vector<LinkMessage> unsent;
  for (std::deque<Outgoing>* queue : { &active_, &short_.waiting, &long_.waiting }) {
    for (Outgoing& outgoing : *queue) {
      unsent.push_back(std::move(outgoing.message));
    }
    queue->clear();
  }
  queuedBytes_ = queuedCallBytes_ = 0;
  return unsent;
}

absl::StatusOr<std::optional<std::string>> FragmentReceiver::AddFragment(const Fragment& aFragment)
{
  if (aFragment.bytes.data.empty()) {
    // Empty fragments would allocate a map entry each without counting against the byte limit.
    return MakeError(ErrorKind::BrokenMessage, "a received fragment is empty");
  }
  partialBytes_ += aFragment.bytes.data.size();
  if (partialBytes_ > kMaxPartialBytes) {
    return MakeError(
      ErrorKind::TooLarge,
      fmt::format("incomplete messages of a peer exceed {} bytes", kMaxPartialBytes));
  }
  auto [found, isFirst] = partial_.try_emplace(aFragment.message);
  std::string& partial = found->second;
  if (isFirst && !aFragment.isLast) {
    ReserveFor(aFragment.bytes.data, partial);
  }
  partial += aFragment.bytes.data.Text();
  if (!aFragment.isLast) {
    return std::optional<std::string>();
  }
  std::string whole = std::move(partial);
  partial_.erase(aFragment.message);
  partialBytes_ -= whole.size();
  return std::optional<std::string>(std::move(whole));
}

} // namespace dandelion
