/// Members that one call was sent to, and how long the next send may wait there for a slot.
#ifndef DANDELION_ROUTING_TRIED_MEMBERS_H
#define DANDELION_ROUTING_TRIED_MEMBERS_H

#include "kernel/Kernel.h"

#include <optional>
#include <set>
#include <string>

namespace dandelion {

/// The queue estimates of a caller's node are seconds old, and all nodes prefer the same upstreams.
/// So the first sends of a call are short-wait sends: an upstream with a queue refuses the call,
/// which costs a round trip and returns a fresh queue estimate, and the call is sent to another
/// one. The sends after that are full-wait sends to the upstream with the earliest expected finish,
/// which may be one that refused the call before.
class TriedMembers
{
public:
  /// Short-wait sends of a call. When 0.7 of the slots are in use, a fifth of the upstreams with
  /// six slots have none free (the test of this class simulates this).
  static constexpr size_t kShortWaitSends = 3;
  /// A short-wait send waits at most for the time to the call's target divided by this: a few round
  /// trips.
  static constexpr int kShortWaitDivisor = 25;

  /// How long the next send may wait for a slot, or nothing if only the target limits it.
  /// `aTimeLeft`: time to the target.
  std::optional<Duration> MaxQueueDelay(Duration aTimeLeft) const;

  /// Excludes the member from further sends, and counts the send.
  void OnSent(const std::string& aMember);
  /// The member refused a send. If it was a short-wait send, a full-wait send may go there again.
  void OnShortWaitRefused(const std::string& aMember);
  /// Makes all further sends full-wait sends. Returns whether this makes members that refused
  /// short-wait sends available again.
  bool EndShortWait();
  /// Called before each send. Ends the short-wait sends when `kShortWaitSends` have been made.
  void BeginSend();
  /// Forgets the members, for a call that now goes to another service.
  void Clear();

  /// Whether the call is sent only to a member that is expected to meet the target. This does not
  /// hold for the first send and the first full-wait send, where the member itself decides.
  bool MustMeetTarget() const;

  /// Members that the call must not be sent to.
  const std::set<std::string>& Excluded() const { return excluded_; }
  /// Those that refused a short-wait send, and may be sent a full-wait send.
  const std::set<std::string>& RefusedShortWait() const { return refusedShortWait_; }
  /// Sends so far, short-wait and full-wait.
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
