/// Members that die are found gone, those that live are not, and all tables come to agree.
#include "support/Check.h"

#include "membership/Membership.h"

#include <map>
#include <memory>

using namespace dandelion;

namespace {

constexpr Duration kStep = milliseconds(100);

/// Some probers in two zones and a network that loses datagrams.
class Neighbourhood
{
public:
  Neighbourhood(int aMembers, int aLossPercent)
    : lossPercent_(aLossPercent)
  {
    for (int i = 0; i < aMembers; ++i) {
      Member self;
      self.id = fmt::format("m{}", i);
      self.region = "r";
      self.zone = fmt::format("z{}", i % 2);
      self.endpoint = Endpoint{ "10.0.0.1", static_cast<uint16_t>(1 + i) };
      self.crossRegionEndpoint = self.endpoint;
      self.incarnation = 1;
      nodes_.push_back(
        Node{ std::make_unique<FailureDetector>(self, 100 + static_cast<uint64_t>(i), now_) });
    }
    for (int i = 1; i < aMembers; ++i) {
      Execute(i, At(i).ContactSeed(EndpointOf(0), now_));
    }
  }

  FailureDetector& At(int aNode) { return *nodes_[static_cast<size_t>(aNode)].detector; }
  int Size() const { return static_cast<int>(nodes_.size()); }
  TimePoint Now() const { return now_; }
  void Stop(int aNode) { nodes_[static_cast<size_t>(aNode)].isStopped = true; }
  void Resume(int aNode) { nodes_[static_cast<size_t>(aNode)].isStopped = false; }
  bool IsStopped(int aNode) const { return nodes_[static_cast<size_t>(aNode)].isStopped; }
  void SetLoss(int aPercent) { lossPercent_ = aPercent; }

  void Run(Duration aTime)
  {
    for (TimePoint end = now_ + aTime; now_ < end; now_ += kStep) {
      for (int i = 0; i < Size(); ++i) {
        if (!IsStopped(i)) {
          Execute(i, At(i).Tick(now_));
        }
      }
      Deliver();
    }
  }

  MemberState StateOf(int aSeenBy, int aNode)
  {
    const Member* member = At(aSeenBy).Table().Find(fmt::format("m{}", aNode));
    return member == nullptr ? MemberState::Gone : member->state;
  }

private:
  struct Node
  {
    std::unique_ptr<FailureDetector> detector;
    bool isStopped = false;
  };
  struct Packet
  {
    int from;
    int to;
    ProbeMessage message;
  };

  Endpoint EndpointOf(int aNode) { return { "10.0.0.1", static_cast<uint16_t>(1 + aNode) }; }

  void Execute(int aFrom, const FailureDetectorEffects& aEffects)
  {
    for (const FailureDetectorEffect& effect : aEffects) {
      std::visit(Overloaded{
                   [&](const SendProbe& aProbe) {
                     packets_.push_back({ aFrom, aProbe.to.port - 1, aProbe.message });
                   },
                   [&](const CompareTables& aCompare) { Compare(aFrom, aCompare.with.port - 1); },
                   [](const auto&) {},
                 },
                 effect);
    }
  }

  void Compare(int aFrom, int aWith)
  {
    if (IsStopped(aWith)) {
      return;
    }
    auto theirs = At(aWith).RecordsFor(At(aFrom).Table().Digests());
    auto ours = At(aFrom).RecordsFor(At(aWith).Table().Digests());
    Execute(aFrom, At(aFrom).OnRecords(theirs, now_));
    Execute(aWith, At(aWith).OnRecords(ours, now_));
  }

  void Deliver()
  {
    // Answers to what is delivered here are sent within the step, as on a fast network.
    for (int hop = 0; hop < 4; ++hop) {
      std::vector<Packet> packets = std::move(packets_);
      packets_.clear();
      for (const Packet& packet : packets) {
        bool isLost = static_cast<int>(random_() % 100) < lossPercent_;
        if (!isLost && !IsStopped(packet.to)) {
          Execute(packet.to,
                  At(packet.to).OnMessage(EndpointOf(packet.from), packet.message, now_));
        }
      }
    }
  }

  TimePoint now_ = TimePoint(seconds(1000));
  int lossPercent_;
  std::mt19937 random_{ 5 };
  std::vector<Node> nodes_;
  std::vector<Packet> packets_;
};

} // namespace

Test(prober, finds_the_dead_gone_and_nobody_else)
{
  CHECK_PROPERTY("some die at once, some datagrams are lost", [] {
    int members = *rc::gen::inRange(4, 14);
    Neighbourhood all(members, *rc::gen::inRange(0, 6));
    all.Run(seconds(15));
    std::set<int> dead;
    int deaths = *rc::gen::inRange(0, members / 2);
    for (int i = 0; i < deaths; ++i) {
      // Each zone keeps a member: a zone that has lost all is judged by nobody.
      int node = *rc::gen::inRange(2, members);
      dead.insert(node);
      all.Stop(node);
    }
    all.Run(seconds(60));
    all.SetLoss(0);
    all.Run(seconds(30));
    for (int seenBy = 0; seenBy < members; ++seenBy) {
      for (int node = 0; node < members && dead.count(seenBy) == 0; ++node) {
        MemberState expected = dead.count(node) > 0 ? MemberState::Gone : MemberState::Alive;
        RC_ASSERT(all.StateOf(seenBy, node) == expected);
      }
    }
  });
}

Test(prober, that_slept_doubts_itself_and_is_welcomed_back)
{
  CHECK_PROPERTY("a member sleeps for a while", [] {
    int members = *rc::gen::inRange(4, 10);
    Neighbourhood all(members, 0);
    all.Run(seconds(15));
    int sleeper = *rc::gen::inRange(0, members);
    all.Stop(sleeper);
    Duration slept = milliseconds(*rc::gen::inRange(100, 30000));
    all.Run(slept);
    all.Resume(sleeper);
    // On waking it may have been counted as gone, so after the fence time it must not take work.
    RC_ASSERT(slept <= kFenceTimeout + kProbePeriod || all.At(sleeper).IsFenced(all.Now()));
    all.Run(kStep);
    for (int other = 0; other < members; ++other) {
      RC_ASSERT(other == sleeper || all.StateOf(sleeper, other) == MemberState::Alive);
    }
    all.Run(seconds(20));
    for (int seenBy = 0; seenBy < members; ++seenBy) {
      RC_ASSERT(all.StateOf(seenBy, sleeper) == MemberState::Alive);
      RC_ASSERT(!all.At(seenBy).IsFenced(all.Now()));
    }
  });
}

Test(prober, that_is_cut_off_is_fenced_before_it_counts_as_gone)
{
  CHECK_PROPERTY("a member hears nobody", [] {
    int members = *rc::gen::inRange(4, 10);
    Neighbourhood all(members, 0);
    all.Run(seconds(15));
    int node = *rc::gen::inRange(0, members);
    all.Stop(node);
    for (int i = 0; i < 150; ++i) {
      all.Run(kStep);
      // Its zone counts it until the hold after its end is over; by then it is fenced.
      int observer = node % 2 == 0 ? (node == 0 ? 2 : 0) : (node == 1 ? 3 : 1);
      bool isCounted = false;
      for (const Member* member : all.At(observer).CountedInZone(all.Now())) {
        isCounted = isCounted || member->id == fmt::format("m{}", node);
      }
      RC_ASSERT(isCounted || all.At(node).IsFenced(all.Now()));
    }
  });
}

Test(prober, that_leaves_is_known_at_once)
{
  Neighbourhood all(8, 0);
  all.Run(seconds(15));
  (void)all.At(3).AnnounceDeparture(MemberState::Leaving, all.Now());
  all.Run(seconds(8));
  for (int seenBy = 0; seenBy < 8; ++seenBy) {
    cr_assert(all.StateOf(seenBy, 3) == MemberState::Leaving);
  }
}
