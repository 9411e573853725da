#include "wire/Fragments.h"

#include <algorithm>

namespace dandelion {

void FragmentSender::Add(const LinkMessage& aMessage, std::string aBytes)
{
  queue_.push_back(Outgoing{ nextId_++, aMessage, std::move(aBytes) });
}

void FragmentSender::OnCredit(uint64_t aBytes)
{
  onTheWay_ -= std::min<size_t>(onTheWay_, aBytes);
}

std::optional<Fragment> FragmentSender::Next()
{
  if (queue_.empty() || onTheWay_ >= kFragmentWindow) {
    return std::nullopt;
  }
  Outgoing outgoing = std::move(queue_.front());
  queue_.pop_front();
  Fragment fragment;
  fragment.message = outgoing.id;
  fragment.bytes.data = outgoing.bytes.substr(outgoing.sent, kFragmentBytes);
  outgoing.sent += fragment.bytes.data.size();
  onTheWay_ += fragment.bytes.data.size();
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
