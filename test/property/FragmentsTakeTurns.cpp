/// Cut messages come back whole, under the window, and none holds up the others.
#include "support/Check.h"

#include "wire/Wire.h"

using namespace dandelion;

namespace {

LinkMessage MessageOf(uint64_t aId, size_t aBytes)
{
  CallReply reply;
  reply.id = aId;
  reply.body.data.assign(aBytes, 'x');
  return reply;
}

} // namespace

Test(fragments, come_back_whole_and_keep_to_the_window)
{
  CHECK_PROPERTY("messages of any sizes, credits at any time", [] {
    FragmentSender sender;
    FragmentReceiver receiver;
    int count = *rc::gen::inRange(1, 6);
    std::map<std::string, int> expected;
    for (int i = 0; i < count; ++i) {
      std::string bytes(*rc::gen::inRange<size_t>(1, 200000), static_cast<char>('a' + i));
      ++expected[bytes];
      sender.Add(MessageOf(static_cast<uint64_t>(i), 1), bytes);
    }
    std::vector<Fragment> onTheWay;
    size_t bytesOnTheWay = 0;
    int turns = 0;
    TimePoint now;
    while (!expected.empty()) {
      RC_ASSERT(++turns < 1000);
      now += milliseconds(*rc::gen::inRange(0, 20));
      if (auto next = sender.NextFragment(now); next.has_value()) {
        bytesOnTheWay += next->bytes.data.size();
        onTheWay.push_back(*next);
      }
      RC_ASSERT(bytesOnTheWay <= kMaxWindowBytes + kFragmentBytes);
      RC_ASSERT(sender.WindowBytes() >= kMinWindowBytes && sender.WindowBytes() <= kMaxWindowBytes);
      if (!onTheWay.empty() && *rc::gen::inRange(0, 2) == 0) {
        Fragment arrived = onTheWay.front();
        onTheWay.erase(onTheWay.begin());
        bytesOnTheWay -= arrived.bytes.data.size();
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

Test(fragments, of_a_short_message_pass_a_long_one)
{
  FragmentSender sender;
  sender.Add(MessageOf(1, 1), std::string(10 * kMaxWindowBytes, 'l'));
  sender.Add(MessageOf(2, 1), std::string(kFragmentBytes + 1, 's'));
  int fragments = 0;
  bool isShortDone = false;
  while (!isShortDone) {
    auto next = sender.NextFragment(TimePoint());
    cr_assert(next.has_value());
    ++fragments;
    isShortDone = next->message == 2 && next->isLast;
    sender.OnCredit(next->bytes.data.size(), TimePoint());
  }
  cr_assert_leq(fragments, 4);
}

Test(fragments, not_all_taken_leave_their_message_unsent)
{
  FragmentSender sender;
  sender.Add(MessageOf(7, 1), std::string(2 * kMaxWindowBytes, 'x'));
  while (sender.NextFragment(TimePoint()).has_value()) {
  }
  std::vector<LinkMessage> unsent = sender.TakeUnsent();
  cr_assert_eq(unsent.size(), 1);
  cr_assert_eq(std::get<CallReply>(unsent[0]).id, 7);
}

Test(fragments, without_end_are_refused)
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

Test(fragments, with_nothing_in_them_are_refused)
{
  FragmentReceiver receiver;
  cr_assert(!receiver.AddFragment(Fragment{ 1, false, {} }).ok());
}

Test(fragments, of_many_large_messages_fit_their_receiver)
{
  // Nine images of 4 MB answer at the same time, and pages of 20 KB among them.
  constexpr size_t kImageBytes = 4 * 1024 * 1024;
  constexpr size_t kPageBytes = 20 * 1024;
  FragmentSender sender;
  FragmentReceiver receiver;
  for (uint64_t id = 1; id <= 9; ++id) {
    sender.Add(MessageOf(id, 1), std::string(kImageBytes, 'i'));
    sender.Add(MessageOf(100 + id, 1), std::string(kPageBytes, 'p'));
  }
  std::map<size_t, int> wholeBySize;
  int fragments = 0;
  int fragmentsBeforeAllPages = 0;
  for (auto next = sender.NextFragment(TimePoint()); next.has_value(); next = sender.NextFragment(TimePoint())) {
    ++fragments;
    sender.OnCredit(next->bytes.data.size(), TimePoint());
    auto whole = receiver.AddFragment(*next);
    cr_assert(whole.ok());
    if (whole->has_value()) {
      ++wholeBySize[(*whole)->size()];
      fragmentsBeforeAllPages = wholeBySize[kPageBytes] < 9 ? fragments : fragmentsBeforeAllPages;
    }
  }
  cr_assert_eq(wholeBySize[kImageBytes], 9);
  cr_assert_eq(wholeBySize[kPageBytes], 9);
  // No page waits for an image that waits: each needs three turns among at most 15 messages.
  cr_assert_leq(fragmentsBeforeAllPages, 3 * 15);
}

Test(fragments, fill_a_link_without_making_others_wait)
{
  // A way of 40 ms that passes a fragment each 2 ms: about 20 fragments fill it.
  constexpr Duration kWay = milliseconds(40);
  constexpr Duration kPace = milliseconds(2);
  FragmentSender sender;
  sender.Add(MessageOf(1, 1), std::string(4000 * kFragmentBytes, 'x'));
  std::deque<std::pair<TimePoint, size_t>> credits;
  TimePoint wayFreeAt;
  Duration longestWait = Duration::zero();
  size_t delivered = 0;
  constexpr Duration kSettling = seconds(2);
  constexpr Duration kEnd = seconds(6);
  for (TimePoint now; now < TimePoint(kEnd); now += milliseconds(1)) {
    for (; !credits.empty() && credits.front().first <= now; credits.pop_front()) {
      sender.OnCredit(credits.front().second, now);
    }
    for (auto next = sender.NextFragment(now); next.has_value(); next = sender.NextFragment(now)) {
      wayFreeAt = std::max(wayFreeAt, now) + kPace;
      bool isSettled = now > TimePoint(kSettling);
      longestWait = isSettled ? std::max(longestWait, wayFreeAt - now) : longestWait;
      delivered += isSettled ? 1 : 0;
      credits.emplace_back(wayFreeAt + kWay, next->bytes.data.size());
    }
  }
  cr_assert_lt(longestWait.count(), Duration(3 * kTargetQueueDelay).count());
  size_t possible = static_cast<size_t>((kEnd - kSettling) / kPace);
  cr_assert_gt(delivered, possible * 8 / 10);
}
