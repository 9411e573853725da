/// Decides which version a newly started process must have in force before it serves.
///
/// A new process has no configuration, but its slot may have served with a version before. It
/// therefore needs the highest of the store's newest version, the versions of its peers, and the
/// version that its peers remember for its slot.
#ifndef DANDELION_SPREAD_JOINING_H
#define DANDELION_SPREAD_JOINING_H

#include "membership/Membership.h"
#include "release/Release.h"

#include <optional>
#include <set>
#include <string>

namespace dandelion {

/// Number of peers that a joining node queries per round and needs answers from, or fewer if it
/// knows fewer.
constexpr size_t kMaxPeersPerQueryRound = 3;
/// Minimum time between two rounds of queries. Each answer may name new peers, and querying these
/// immediately would keep every node busy with answers when a whole mesh restarts.
constexpr Duration kMinRoundInterval = milliseconds(200);
/// Time that a joining node waits for its peers' answers if the store has answered.
constexpr Duration kPeerAnswerTimeout = seconds(1);

/// A peer's answer to a joining node.
struct JoinAnswer
{
  std::string sender;
  /// Whether the peer serves. A peer that is still joining does not know the required version.
  bool isReady = false;
  Version version = 0;
  /// Highest version that the peer remembers for the joining node's slot.
  Version slotVersion = 0;
  std::vector<Member> records;
};

template<class Visitor>
void VisitFields(Visitor& aVisitor, JoinAnswer& aAnswer)
{
  aVisitor.Field("sender", aAnswer.sender);
  aVisitor.Field("is_ready", aAnswer.isReady);
  aVisitor.Field("version", aAnswer.version);
  aVisitor.Field("slot_version", aAnswer.slotVersion);
  aVisitor.Field("records", aAnswer.records);
}

class Joining
{
public:
  explicit Joining(TimePoint aNow);

  /// Records the newest version in the store's log.
  void OnStoreHead(Version aHead);
  void OnAnswer(const JoinAnswer& aAnswer);
  /// Returns whether a round of queries may begin now, and if so records that it has begun.
  bool BeginRound(TimePoint aNow);

  /// Sets the number of peers known so far from seeds and answers.
  void OnPeersKnown(size_t aCount);

  /// Returns the version that must be in force before serving, or nothing while answers are
  /// missing.
  std::optional<Version> RequiredVersion(TimePoint aNow) const;

private:
  TimePoint startedAt_;
  std::optional<TimePoint> lastRound_;
  std::optional<Version> storeHead_;
  std::set<std::string> readyPeers_;
  size_t peersKnown_ = 0;
  Version highestReported_ = 0;
};

} // namespace dandelion

#endif
