/// Nodes that share quotas over simulated links, in virtual time.
#ifndef DANDELION_TEST_SUPPORT_CAP_MESH_H
#define DANDELION_TEST_SUPPORT_CAP_MESH_H

#include "accounts/Accounts.h"

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace dandelion::testing {

using CapMessage = std::variant<TokenRequest, TokenGrant>;

class CapMesh
{
public:
  using Sent = std::function<void(size_t aFrom, size_t aTo, const CapMessage& aMessage)>;
  /// Changes the delays after which copies of a message arrive; none if the message is lost.
  using Fate = std::function<void(size_t aFrom, size_t aTo, std::vector<Duration>& aDelays)>;

  struct Call
  {
    TimePoint at;
    bool isTaken = false;
  };

  CapMesh(size_t aNodes, size_t aRegions, UsageCaps aCaps)
    : caps_(std::move(aCaps))
  {
    constexpr int kStronger = 4;
    for (size_t i = 0; i < aNodes; ++i) {
      Node& node = nodes_.emplace_back();
      node.member.id = fmt::format("{}", i);
      node.member.region = fmt::format("region-{}", i % aRegions);
      node.member.relayCapacity = i % kStronger == 0 ? 2 : 1;
      Restart(i);
    }
    Announce();
  }

  size_t Size() const { return nodes_.size(); }
  TimePoint Now() const { return now_; }
  const std::vector<Call>& CallsOf(const std::string& aAccount) { return calls_[aAccount]; }
  const std::string& RegionOf(size_t aNode) const { return nodes_[aNode].member.region; }

  /// The first choice among the owners of an account.
  size_t OwnerIn(const std::string& aRegion, const std::string& aAccount) const
  {
    const CapOwners owners = FindCapOwners(table_, aRegion);
    return IndexOf(owners.inRegion.at(ShardOf(aAccount)).front());
  }

  /// The node loses its state, as in a new process.
  void Restart(size_t aNode)
  {
    Node& node = nodes_[aNode];
    constexpr int64_t kMaxOffset = 1'000'000'000'000;
    node.client = std::make_unique<CapClient>(node.member.id);
    node.pool = std::make_unique<CapPool>(
      node.member.id, CapTolerance{}, static_cast<int64_t>(random() % kMaxOffset));
    node.isAlive = true;
    ++node.process;
    ApplyCaps(aNode, caps_);
    ApplyOwners(aNode, FindCapOwners(table_, node.member.region));
  }
  void Kill(size_t aNode) { nodes_[aNode].isAlive = false; }
  /// The node handles nothing until then.
  void Pause(size_t aNode, Duration aTime) { nodes_[aNode].pausedUntil = now_ + aTime; }

  /// All nodes learn which members are alive.
  void Announce()
  {
    for (Node& node : nodes_) {
      ++node.member.incarnation;
      node.member.state = node.isAlive ? MemberState::Alive : MemberState::Gone;
      table_.Merge(node.member);
    }
    for (size_t i = 0; i < nodes_.size(); ++i) {
      ApplyOwners(i, FindCapOwners(table_, nodes_[i].member.region));
    }
  }
  void ApplyOwners(size_t aNode, const CapOwners& aOwners)
  {
    OwnersChanged change{ aOwners, static_cast<int64_t>(nodes_.size()) };
    Execute(aNode, nodes_[aNode].client->Handle(change, now_));
    (void)nodes_[aNode].pool->Handle(change, now_);
  }
  void SetCaps(const UsageCaps& aCaps)
  {
    caps_ = aCaps;
    for (size_t i = 0; i < nodes_.size(); ++i) {
      ApplyCaps(i, aCaps);
    }
  }

  void Arrive(size_t aNode, const std::string& aAccount)
  {
    takers_[++lastTaker_] = aAccount;
    Execute(aNode, nodes_[aNode].client->Handle(TokenWanted{ aAccount, lastTaker_ }, now_));
  }
  void Return(size_t aNode, const std::string& aAccount)
  {
    Execute(aNode, nodes_[aNode].client->Handle(TokenReturned{ aAccount }, now_));
  }

  /// Lets time pass; `aEachStep` is called once for each millisecond.
  void Run(
    Duration aTime,
    const std::function<void()>& aEachStep = [] {})
  {
    for (TimePoint end = now_ + aTime; now_ < end; now_ += milliseconds(1)) {
      Deliver();
      for (size_t i = 0; i < nodes_.size(); ++i) {
        Node& node = nodes_[i];
        if (!node.isAlive || now_ < node.pausedUntil) {
          continue;
        }
        // The first grant of an owner makes a node due again once; more often it would spin.
        constexpr int kMaxRounds = 3;
        for (int round = 0; IsDue(node) && round < kMaxRounds; ++round) {
          Execute(i, node.client->Advance(now_));
          Execute(i, node.pool->Advance(now_));
        }
        spins += IsDue(node) ? 1 : 0;
      }
      aEachStep();
    }
  }

  std::mt19937_64 random{ 20261204 };
  /// Times at which a node was still due after it had done what was due.
  int spins = 0;
  Sent sent = [](size_t, size_t, const CapMessage&) {};
  Fate fate = [](size_t, size_t, std::vector<Duration>&) {};

private:
  struct Node
  {
    Member member;
    std::unique_ptr<CapClient> client;
    std::unique_ptr<CapPool> pool;
    bool isAlive = true;
    TimePoint pausedUntil;
    int process = 0;
  };
  struct Message
  {
    size_t from;
    size_t to;
    int process;
    CapMessage content;
  };

  bool IsDue(const Node& aNode) const
  {
    return aNode.client->NextAdvance().value_or(TimePoint::max()) <= now_ ||
           aNode.pool->NextAdvance().value_or(TimePoint::max()) <= now_;
  }

  static size_t IndexOf(const std::string& aMember) { return std::stoul(aMember); }

  void ApplyCaps(size_t aNode, const UsageCaps& aCaps)
  {
    Execute(aNode, nodes_[aNode].client->Handle(CapsChanged{ aCaps }, now_));
    (void)nodes_[aNode].pool->Handle(CapsChanged{ aCaps }, now_);
  }

  void Send(size_t aFrom, const std::string& aTo, const CapMessage& aContent)
  {
    size_t to = IndexOf(aTo);
    if (to == aFrom) {
      Handle(Message{ aFrom, to, nodes_[to].process, aContent });
      return;
    }
    bool isFar = RegionOf(aFrom) != RegionOf(to);
    std::vector<Duration> delays{ isFar ? milliseconds(20) : milliseconds(1) };
    fate(aFrom, to, delays);
    sent(aFrom, to, aContent);
    for (Duration delay : delays) {
      onTheWay_.emplace(now_ + delay, Message{ aFrom, to, nodes_[to].process, aContent });
    }
  }

  void Deliver()
  {
    while (!onTheWay_.empty() && onTheWay_.begin()->first <= now_) {
      Message message = std::move(onTheWay_.begin()->second);
      onTheWay_.erase(onTheWay_.begin());
      const Node& node = nodes_[message.to];
      if (now_ < node.pausedUntil) {
        onTheWay_.emplace(node.pausedUntil, std::move(message));
      } else if (node.isAlive && node.process == message.process) {
        Handle(message);
      }
    }
  }

  void Handle(const Message& aMessage)
  {
    Node& node = nodes_[aMessage.to];
    if (const auto* request = std::get_if<TokenRequest>(&aMessage.content)) {
      Execute(aMessage.to, node.pool->Handle(*request, now_));
    } else {
      GrantArrived arrived{ nodes_[aMessage.from].member.id,
                            std::get<TokenGrant>(aMessage.content) };
      Execute(aMessage.to, node.client->Handle(arrived, now_));
      Execute(aMessage.to, node.pool->Handle(arrived, now_));
    }
  }

  template<class Effects>
  void Execute(size_t aNode, const Effects& aEffects)
  {
    for (const auto& effect : aEffects) {
      std::visit(Overloaded{
                   [&](const AnswerTaker& aAnswer) {
                     calls_[takers_.at(aAnswer.taker)].push_back(Call{ now_, aAnswer.isTaken });
                     takers_.erase(aAnswer.taker);
                   },
                   [&](const SendRequest& aSend) { Send(aNode, aSend.member, aSend.request); },
                   [&](const SendGrant& aSend) { Send(aNode, aSend.member, aSend.grant); },
                 },
                 effect);
    }
  }

  UsageCaps caps_;
  TimePoint now_ = TimePoint() + seconds(1000);
  std::vector<Node> nodes_;
  MemberTable table_;
  std::multimap<TimePoint, Message> onTheWay_;
  std::map<uint64_t, std::string> takers_;
  uint64_t lastTaker_ = 0;
  std::map<std::string, std::vector<Call>> calls_;
};

} // namespace dandelion::testing

#endif
