/// Decides which version a fresh process must hold before it serves.
///
/// A fresh process has no past, yet its slot may have served a version before. It therefore needs
/// the highest of the store's head, what its peers hold, and what they remember of its slot.
#ifndef DANDELION_SPREAD_JOINING_H
#define DANDELION_SPREAD_JOINING_H

#include "membership/Membership.h"
#include "release/Release.h"

#include <optional>
#include <set>
#include <string>

namespace dandelion {

/// Peers that a joining node asks.
constexpr size_t kPeersAsked = 3;
/// Least time between two rounds of questions. Each answer may tell of new peers, and asking these
/// at once would keep every node of a mesh that restarts busy with answers.
constexpr Duration kMinRoundInterval = milliseconds(200);
/// How long a joining node waits for peers when the store has answered.
constexpr Duration kPeerAnswerTimeout = seconds(1);

/// A peer's answer to a joining node.
struct JoinAnswer
{
  std::string sender;
  /// The peer serves; a peer that joins itself knows no version to go by.
  bool isReady = false;
  Version version = 0;
  /// Highest version that the peer remembers of the slot.
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

  void OnStoreHead(Version aHead);
  void OnAnswer(const JoinAnswer& aAnswer);
  /// Whether a round of questions may begin now; it then counts as begun.
  bool BeginRound(TimePoint aNow);

  /// Peers that may answer, as far as seeds and answers have told by now.
  void OnPeersKnown(size_t aCount);

  /// The version to hold before serving, once enough has been heard.
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
