/// Guards against a node whose held bytes pass its budget because clients that stall keep what they
/// have sent, and against dropping what was forwarded or still moves.
///
/// Load: up to 40 connections that send up to 8 MiB each in reads of up to 64 KiB, of which any may
/// stall; a budget of 24 MiB.
#include "support/Check.h"

#include "memory/Memory.h"

#include <algorithm>
#include <set>

using namespace dandelion;

namespace {

constexpr size_t kMiB = 1024 * 1024;
constexpr size_t kBudget = 24 * kMiB;

TimePoint At(int64_t aMs)
{
  return TimePoint() + milliseconds(aMs);
}

} // namespace

Test(memory, held_bytes_stay_within_the_budget_whatever_clients_send)
{
  CHECK_PROPERTY("held bytes stay within the budget", [] {
    ByteAccount account(kBudget);
    std::vector<ByteAccount::HolderId> open;
    std::set<ByteAccount::HolderId> stalled;
    int connections = *rc::gen::inRange(1, 40);
    for (int i = 0; i < connections; ++i) {
      open.push_back(account.Open(At(0)));
      account.SetReclaimable(open.back(), true, At(0));
      if (*rc::gen::inRange(0, 3) > 0) {
        stalled.insert(open.back());
      }
    }
    size_t completed = 0;
    for (int64_t ms = 0; ms < 60000 && !open.empty(); ms += 50) {
      for (size_t i = 0; i < open.size();) {
        ByteAccount::HolderId id = open[i];
        size_t held = account.Holders().at(id).bytes;
        // A stalled client stops one byte short of its end.
        size_t end = 8 * kMiB - (stalled.count(id) > 0 ? 1 : 0);
        if (account.MayGrow(id) && held < end) {
          account.SetBytes(id, std::min(end, held + 512 * 1024), At(ms));
        }
        bool isComplete = account.Holders().at(id).bytes == 8 * kMiB;
        if (isComplete) {
          account.Close(id);
          open.erase(open.begin() + static_cast<ptrdiff_t>(i));
          ++completed;
        } else {
          ++i;
        }
        RC_ASSERT(account.HeldBytes() <= kBudget);
      }
      while (auto victim = ChooseReclaim(account, At(ms))) {
        account.Close(*victim);
        open.erase(std::find(open.begin(), open.end(), *victim));
      }
    }
    // Who sends without pauses completes; here it is only known that not all waited for each other.
    RC_ASSERT(completed > 0 || !stalled.empty());
  });
}

Test(memory, small_requests_find_room_beside_large_ones)
{
  ByteAccount account(kBudget);
  for (int i = 0; i < 40; ++i) {
    auto large = account.Open(At(0));
    while (account.MayGrow(large) && account.Holders().at(large).bytes < 8 * kMiB) {
      account.SetBytes(large, account.Holders().at(large).bytes + 64 * 1024, At(0));
    }
  }
  cr_assert_eq(account.Level(), MemoryLevel::Tight);
  auto small = account.Open(At(0));
  account.SetBytes(small, 2000, At(0));
  cr_assert(account.MayGrow(small));
  cr_assert_lt(account.HeldBytes(), kBudget);
}

Test(memory, longest_stalled_large_holder_is_dropped_and_forwarded_ones_never)
{
  ByteAccount account(kBudget);
  auto forwarded = account.Open(At(0));
  auto small = account.Open(At(0));
  auto longest = account.Open(At(0));
  auto recent = account.Open(At(0));
  account.SetBytes(forwarded, 8 * kMiB, At(0));
  account.SetBytes(small, 100, At(10));
  account.SetBytes(longest, 5 * kMiB, At(100));
  account.SetBytes(recent, 6 * kMiB, At(900));
  for (auto id : { small, longest, recent }) {
    account.SetReclaimable(id, true, At(0));
  }
  account.RecordProgress(longest, At(100));
  account.RecordProgress(recent, At(900));
  cr_assert_not(ChooseReclaim(account, At(1050)).has_value(), "nobody has stalled for long enough");
  cr_assert(ChooseReclaim(account, At(1100)) == longest);
  // At the budget, the time without progress does not matter.
  account.SetBytes(forwarded, 20 * kMiB, At(1000));
  cr_assert(ChooseReclaim(account, At(1000)) == longest);
  account.Close(longest);
  cr_assert(ChooseReclaim(account, At(1000)) == recent);
  account.Close(recent);
  account.SetBytes(forwarded, 24 * kMiB, At(1000));
  cr_assert(ChooseReclaim(account, At(1000)) == small);
  account.Close(small);
  cr_assert_not(ChooseReclaim(account, At(9000)).has_value(), "a forwarded request was dropped");
}

Test(memory, without_a_setting_there_is_no_limit)
{
  ByteAccount account(ByteBudgetOf(0));
  auto id = account.Open(At(0));
  account.SetReclaimable(id, true, At(0));
  account.SetBytes(id, size_t{ 1 } << 40, At(0));
  cr_assert_eq(account.Level(), MemoryLevel::Free);
  cr_assert_not(ChooseReclaim(account, At(100000)).has_value());
  // A body of 64 MiB fits into the smallest machine that must serve it.
  cr_assert_gt(ByteBudgetOf(160), 64 * kMiB);
}

/// Guards against a node that has no descriptor left for its upstream, its links or the store.
Test(memory, descriptors_are_left_for_the_node_itself)
{
  for (int64_t limit : { 64, 256, 4100, 8192 }) {
    DescriptorShares shares = DivideDescriptors(limit);
    size_t clients = shares.callers + 3 * shares.otherPorts;
    size_t reserved = std::min<size_t>(static_cast<size_t>(limit) / 2, 1024);
    cr_assert_leq(clients + reserved, static_cast<size_t>(limit));
    cr_assert_gt(shares.callers, 0);
  }
  cr_assert_eq(DivideDescriptors(0).callers, SIZE_MAX);
}

Test(memory, idle_connections_are_closed_before_stalled_ones_and_requests_in_progress_never)
{
  std::map<uint64_t, ConnectionState> connections = { { 1, { true, false, At(0) } },
                                                      { 2, { false, false, At(100) } },
                                                      { 3, { false, true, At(900) } },
                                                      { 4, { false, true, At(800) } } };
  cr_assert(ChooseConnectionToClose(connections, At(1000)) == 4);
  connections.erase(4);
  cr_assert(ChooseConnectionToClose(connections, At(1000)) == 3);
  connections.erase(3);
  cr_assert(ChooseConnectionToClose(connections, At(1000)) == 2);
  cr_assert_not(ChooseConnectionToClose(connections, At(200)).has_value(), "it sends right now");
  connections.erase(2);
  cr_assert_not(ChooseConnectionToClose(connections, At(9000)).has_value());
}
