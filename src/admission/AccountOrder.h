/// The order in which waiting calls of different accounts go. Internal to the library.
///
/// It applies while calls of accounts wait. Calls of one priority then share the slots by
/// `FairRoom`; calls without an account count as one account for each caller service.
#ifndef DANDELION_ADMISSION_ACCOUNT_ORDER_H
#define DANDELION_ADMISSION_ACCOUNT_ORDER_H

#include "accounts/Accounts.h"
#include "admission/AdmissionEvents.h"

#include <functional>
#include <map>

namespace dandelion {

/// Who a call counts for when slots are shared, and with whom it shares them.
struct SlotSharer
{
  std::string account;
  int64_t priority = 0;
};

SlotSharer SharerOf(const CallArrived& aCall);

class AccountOrder
{
public:
  /// Whether a call has an account.
  static bool AppliesTo(const std::vector<CallArrived>& aWaiting);

  Duration NextTag(const CallArrived& aCall) const;
  void OnStarted(const SlotSharer& aSharer, Duration aExpected);
  void OnFinished(const SlotSharer& aSharer, Duration aExpected, Duration aActual);

  /// Expected slot time of the waiting calls of a call's priority that go before it. Calls of one
  /// account, and those with equal tags, go in the order of `aGoesBefore`.
  Duration TimeAhead(const CallArrived& aCall,
                     const std::vector<const CallArrived*>& aWaiting,
                     const std::function<Duration(const CallArrived&)>& aCost,
                     const std::function<bool(const CallArrived&)>& aGoesBefore) const;

private:
  std::map<int64_t, FairRoom> roomByPriority_;
};

} // namespace dandelion

#endif
