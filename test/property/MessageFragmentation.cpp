/// Fragmented messages are reassembled, respect the window, and do not delay other messages.
///
/// Without fragments and a window, a large message delays the short ones behind it and fills the
/// queues of the network path. If a sender started more messages than its receiver buffers, the
/// receiver would close the link.
#include "support/Check.h"

#include "wire/Wire.h"

using namespace dandelion;

namespace {

LinkMessage MakeMessage(uint64_t aId, size_t aBytes)
{
  CallReply reply;
  reply.id = aId;
  reply.body.data.assign(aBytes, 'x');
  return reply;
}

} // namespace

Test(fragments, reassemble_and_stay_within_window)
{
  CHECK_PROPERTY("messages of any size and credits at any time", [] {
    FragmentSender sender;
    FragmentReceiver receiver;
    int count = *rc::gen::inRange(1, 6);
    std::map<std::string, int> expected;
    for (int i = 0; i < count; ++i) {
      std::string bytes(*rc::gen::inRange<size_t>(1, 200000), static_cast<char>('a' + i));
      ++expected[bytes];
      sender.Add(MakeMessage(static_cast<uint64_t>(i), 1), bytes);
    }
    std::vector<Fragment> inFlight;
    size_t bytesInFlight = 0;
    int iterations = 0;
    TimePoint now;
    while (!expected.empty()) {
      RC_ASSERT(++iterations < 1000);
      now += milliseconds(*rc::gen::inRange(0, 20));
      if (auto next = sender.NextFragment(now); next.has_value()) {
        bytesInFlight += next->bytes.data.size();
        inFlight.push_back(*next);
      }
      RC_ASSERT(bytesInFlight <= kMaxWindowBytes + kFragmentBytes);
      RC_ASSERT(sender.WindowBytes() >= kMinWindowBytes && sender.WindowBytes() <= kMaxWindowBytes);
      if (!inFlight.empty() && *rc::gen::inRange(0, 2) == 0) {
        Fragment arrived = inFlight.front();
        inFlight.erase(inFlight.begin());
        bytesInFlight -= arrived.bytes.data.size();
        sender.OnCredit(arrived.bytes.data.size(), now);
        auto whole = receiver.AddFragment(arrived);
        RC_ASSERT(whole.ok());
        if (whole->has_value()) {
          RC_ASSERT(expected.count(**whole) == 1);
          if (--expected[**whole] == 0) {
            expected.erase(**whole);
          }
        }
      }
    }
  });
}

Test(fragments, interleave_short_and_long_messages)
{
  FragmentSender sender;
  sender.Add(MakeMessage(1, 1), std::string(10 * kMaxWindowBytes, 'l'));
  sender.Add(MakeMessage(2, 1), std::string(kFragmentBytes + 1, 's'));
  int fragments = 0;
  bool isShortSent = false;
  while (!isShortSent) {
    auto next = sender.NextFragment(TimePoint());
    cr_assert(next.has_value());
    ++fragments;
    isShortSent = next->message == 2 && next->isLast;
    sender.OnCredit(next->bytes.data.size(), TimePoint());
  }
  cr_assert_leq(fragments, 4);
}

Test(fragments, report_partly_sent_message_as_unsent)
{
  FragmentSender sender;
  sender.Add(MakeMessage(7, 1), std::string(2 * kMaxWindowBytes, 'x'));
  while (sender.NextFragment(TimePoint()).has_value()) {
  }
  std::vector<LinkMessage> unsent = sender.TakeUnsent();
  cr_assert_eq(unsent.size(), 1);
  cr_assert_eq(std::get<CallReply>(unsent[0]).id, 7);
}

Test(fragments, reject_too_many_incomplete_bytes)
{
  FragmentReceiver receiver;
  Fragment fragment;
  fragment.bytes.data.assign(kFragmentBytes, 'x');
  bool isRefused = false;
  for (size_t taken = 0; taken <= kMaxPartialBytes + kFragmentBytes; taken += kFragmentBytes) {
    fragment.message = taken;
    isRefused = !receiver.AddFragment(fragment).ok();
  }
  cr_assert(isRefused);
}

Test(fragments, reject_empty_fragment)
{
  FragmentReceiver receiver;
  cr_assert(!receiver.AddFragment(Fragment{ 1, false, {} }).ok());
}

Test(fragments, respect_receiver_limit_with_many_large_messages)
{
  // Nine images of 4 MB and nine pages of 20 KB are sent at the same time.
  constexpr size_t kImageBytes = 4 * 1024 * 1024;
  constexpr size_t kPageBytes = 20 * 1024;
  FragmentSender sender;
  FragmentReceiver receiver;
  for (uint64_t id = 1; id <= 9; ++id) {
    sender.Add(MakeMessage(id, 1), std::string(kImageBytes, 'i'));
    sender.Add(MakeMessage(100 + id, 1), std::string(kPageBytes, 'p'));
  }
  std::map<size_t, int> completedBySize;
  int fragments = 0;
  int fragmentsBeforeAllPages = 0;
  for (auto next = sender.NextFragment(TimePoint()); next.has_value();
       next = sender.NextFragment(TimePoint())) {
    ++fragments;
    sender.OnCredit(next->bytes.data.size(), TimePoint());
    auto whole = receiver.AddFragment(*next);
    cr_assert(whole.ok());
    if (whole->has_value()) {
      ++completedBySize[(*whole)->size()];
      fragmentsBeforeAllPages =
        completedBySize[kPageBytes] < 9 ? fragments : fragmentsBeforeAllPages;
    }
  }
  cr_assert_eq(completedBySize[kImageBytes], 9);
  cr_assert_eq(completedBySize[kPageBytes], 9);
  // No page waits for a queued image: each page needs three rounds among at most 15 active
  // messages.
  cr_assert_leq(fragmentsBeforeAllPages, 3 * 15);
}

Test(fragments, use_most_of_the_bandwidth_with_bounded_queue_delay)
{
  // A path with a delay of 40 ms and 2 ms per fragment: about 20 fragments in flight fill it.
  constexpr Duration kPropagationDelay = milliseconds(40);
  constexpr Duration kTransmissionTime = milliseconds(2);
  FragmentSender sender;
  sender.Add(MakeMessage(1, 1), std::string(4000 * kFragmentBytes, 'x'));
  std::deque<std::pair<TimePoint, size_t>> credits;
  TimePoint bottleneckFreeAt;
  Duration maxQueueDelay = Duration::zero();
  size_t delivered = 0;
  constexpr Duration kWarmUp = seconds(2);
  constexpr Duration kEnd = seconds(6);
  for (TimePoint now; now < TimePoint(kEnd); now += milliseconds(1)) {
    for (; !credits.empty() && credits.front().first <= now; credits.pop_front()) {
      sender.OnCredit(credits.front().second, now);
    }
    for (auto next = sender.NextFragment(now); next.has_value(); next = sender.NextFragment(now)) {
      bottleneckFreeAt = std::max(bottleneckFreeAt, now) + kTransmissionTime;
      bool isWarmedUp = now > TimePoint(kWarmUp);
      maxQueueDelay = isWarmedUp ? std::max(maxQueueDelay, bottleneckFreeAt - now) : maxQueueDelay;
      delivered += isWarmedUp ? 1 : 0;
      credits.emplace_back(bottleneckFreeAt + kPropagationDelay, next->bytes.data.size());
    }
  }
  cr_assert_lt(maxQueueDelay.count(), Duration(3 * kTargetQueueDelay).count());
  size_t capacity = static_cast<size_t>((kEnd - kWarmUp) / kTransmissionTime);
  cr_assert_gt(delivered, capacity * 8 / 10);
}
