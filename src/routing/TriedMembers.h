/// Remembers which members one call has been sent to, and decides how patient it is with the next.
#ifndef DANDELION_ROUTING_TRIED_MEMBERS_H
#define DANDELION_ROUTING_TRIED_MEMBERS_H

#include "kernel/Kernel.h"

#include <optional>
#include <set>
#include <string>

namespace dandelion {

/// What a caller's node knows of other gates is seconds old, and all nodes find the same one good.
/// So a call is impatient at first: a gate with a queue refuses it, which costs a round trip and
/// brings fresh evidence, and it goes elsewhere. After that it waits where the wait is shortest,
/// with a gate that refused it before as well.
class TriedMembers
{
public:
  /// Asks that are refused rather than queued. Where 0.7 of the slots are in use, a fifth of the
  /// gates of six slots have none free (the test of this class plays it).
  static constexpr size_t kShortWaitSends = 3;
  /// An impatient call waits for this part of the time to its target: a few round trips.
  static constexpr int kShortWaitDivisor = 25;

  /// How long the next ask may wait for a slot; nothing where only the target bounds it.
  std::optional<Duration> MaxQueueDelay(Duration aTimeLeft) const;

  void OnSent(const std::string& aMember);
  /// The member refused an impatient call. It may be asked again by a patient one.
  void OnShortWaitRefused(const std::string& aMember);
  /// Ends the impatience. Returns whether members that were busy may be asked again.
  bool EndShortWait();
  /// Before each ask: ends the impatience when its asks are spent.
  void BeginSend();
  /// The call goes to another service now, whose members have not been asked.
  void Clear();

  /// Whether the next member is asked only where it should meet the target. The first one and the
  /// first that is asked patiently decide that themselves.
  bool MustMeetTarget() const;

  /// Members that must not be asked.
  const std::set<std::string>& Excluded() const { return excluded_; }
  size_t Sends() const { return sends_; }

private:
  std::set<std::string> excluded_;
  std::set<std::string> refusedShortWait_;
  size_t sends_ = 0;
  size_t fullWaitSends_ = 0;
  bool waitsFully_ = false;
};

} // namespace dandelion

#endif
