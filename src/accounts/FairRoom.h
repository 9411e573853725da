/// Shares the slots of an upstream between accounts by start-time fair queueing.
///
/// Each account has a tag: the slot time that was spent on it. The account with the lowest tag goes
/// next, and the expected service time of its call is added. An account that did not use its share
/// begins at the tag of the call that started last, so it goes before every account that has more
/// than its share, and saves up nothing. The accounts thereby share the slot time max-min fairly,
/// and what one of them does not use goes to those that ask for it.
#ifndef DANDELION_ACCOUNTS_FAIR_ROOM_H
#define DANDELION_ACCOUNTS_FAIR_ROOM_H

#include "kernel/Kernel.h"

#include <string>
#include <unordered_map>

namespace dandelion {

class FairRoom
{
public:
  /// Tag of the account's next call; the account with the lowest one goes first.
  Duration NextTag(const std::string& aAccount) const;
  /// Charges a call that starts with the slot time that it is expected to need.
  void OnStarted(const std::string& aAccount, Duration aExpected);
  /// Corrects the charge of a call by the slot time that it needed.
  void OnFinished(const std::string& aAccount, Duration aExpected, Duration aActual);
  /// Accounts that used more than others did, and are remembered for it.
  size_t CountRemembered() const { return tags_.size(); }

private:
  void SetTag(const std::string& aAccount, Duration aTag);

  /// Tag of the call that started last.
  Duration current_ = Duration::zero();
  /// Tags above `current_`.
  std::unordered_map<std::string, Duration> tags_;
};

} // namespace dandelion

#endif
