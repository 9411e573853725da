#include "admission/AccountOrder.h"

#include <algorithm>

namespace dandelion {

namespace {

/// Keeps the names of accounts and those of caller services apart.
constexpr char kAccountPrefix[] = "account/";
constexpr char kServicePrefix[] = "service/";

} // namespace

SlotSharer SharerOf(const CallArrived& aCall)
{
  return SlotSharer{ aCall.account.empty() ? kServicePrefix + aCall.callerService
                                           : kAccountPrefix + aCall.account,
                     aCall.priority };
}

bool AccountOrder::AppliesTo(const std::vector<CallArrived>& aWaiting)
{
  return std::any_of(aWaiting.begin(), aWaiting.end(), [](const CallArrived& aCall) {
    return !aCall.account.empty();
  });
}

Duration AccountOrder::NextTag(const CallArrived& aCall) const
{
  auto room = roomByPriority_.find(aCall.priority);
  return room == roomByPriority_.end() ? Duration::zero()
                                       : room->second.NextTag(SharerOf(aCall).account);
}

void AccountOrder::OnStarted(const SlotSharer& aSharer, Duration aExpected)
{
  roomByPriority_[aSharer.priority].OnStarted(aSharer.account, aExpected);
}

void AccountOrder::OnFinished(const SlotSharer& aSharer, Duration aExpected, Duration aActual)
{
  roomByPriority_[aSharer.priority].OnFinished(aSharer.account, aExpected, aActual);
}

Duration AccountOrder::TimeAhead(const CallArrived& aCall,
                                 const std::vector<const CallArrived*>& aWaiting,
                                 const std::function<Duration(const CallArrived&)>& aCost,
                                 const std::function<bool(const CallArrived&)>& aGoesBefore) const
{
  std::string account = SharerOf(aCall).account;
  Duration own = Duration::zero();
  for (const CallArrived* call : aWaiting) {
    if (SharerOf(*call).account == account && aGoesBefore(*call)) {
      own += aCost(*call);
    }
  }
  Duration tag = NextTag(aCall) + own;
  Duration ahead = own;
  // The tags of an account's calls grow by the costs of its calls before them.
  std::map<std::string, Duration> nextTags;
  for (const CallArrived* call : aWaiting) {
    std::string other = SharerOf(*call).account;
    if (other == account) {
      continue;
    }
    Duration& otherTag = nextTags.emplace(other, NextTag(*call)).first->second;
    Duration cost = aCost(*call);
    if (otherTag < tag || (otherTag == tag && aGoesBefore(*call))) {
      ahead += cost;
    }
    otherTag += cost;
  }
  return ahead;
}

} // namespace dandelion
