/// Guards against stopped members that some member does not mark gone, against running members that
/// stay suspect or gone after datagrams were lost or that a process suspects when it resumes from a
/// pause, and against a cut-off member that accepts work after rollouts no longer wait for it.
#include "support/Check.h"

#include "membership/Membership.h"

#include <map>
#include <memory>

using namespace dandelion;

namespace {

constexpr Duration kStep = milliseconds(100);

/// Simulates members in two zones and a network that loses datagrams.
class SimulatedNetwork
{
public:
  SimulatedNetwork(int aMembers, int aLossPercent)
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
      Execute(i, Detector(i).ContactSeed(EndpointOf(0), now_));
    }
  }

  FailureDetector& Detector(int aNode) { return *nodes_[static_cast<size_t>(aNode)].detector; }
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
          Execute(i, Detector(i).Tick(now_));
        }
      }
      Deliver();
    }
  }

  MemberState StateOf(int aObserver, int aNode)
  {
    const Member* member = Detector(aObserver).Table().Find(fmt::format("m{}", aNode));
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

  void Compare(int aFrom, int aPeer)
  {
    if (IsStopped(aPeer)) {
      return;
    }
    auto theirs = Detector(aPeer).RecordsFor(Detector(aFrom).Table().Digests());
    auto ours = Detector(aFrom).RecordsFor(Detector(aPeer).Table().Digests());
    Execute(aFrom, Detector(aFrom).OnRecords(theirs, now_));
    Execute(aPeer, Detector(aPeer).OnRecords(ours, now_));
  }

  void Deliver()
  {
    // Answers to delivered packets are sent within the same step, as on a fast network.
    for (int hop = 0; hop < 4; ++hop) {
      std::vector<Packet> packets = std::move(packets_);
      packets_.clear();
      for (const Packet& packet : packets) {
        bool isLost = static_cast<int>(random_() % 100) < lossPercent_;
        if (!isLost && !IsStopped(packet.to)) {
          Execute(packet.to,
                  Detector(packet.to).OnMessage(EndpointOf(packet.from), packet.message, now_));
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

Test(failure_detector, marks_only_stopped_members_gone)
{
  CHECK_PROPERTY("several members stop at once, some datagrams are lost", [] {
    int members = *rc::gen::inRange(4, 14);
    SimulatedNetwork network(members, *rc::gen::inRange(0, 6));
    network.Run(seconds(15));
    std::set<int> stopped;
    int stops = *rc::gen::inRange(0, members / 2);
    for (int i = 0; i < stops; ++i) {
      // Members 0 and 1 keep running, one in each zone: only members of its own zone mark a member
      // gone.
      int node = *rc::gen::inRange(2, members);
      stopped.insert(node);
      network.Stop(node);
    }
    network.Run(seconds(60));
    network.SetLoss(0);
    network.Run(seconds(30));
    for (int observer = 0; observer < members; ++observer) {
      for (int node = 0; node < members && stopped.count(observer) == 0; ++node) {
        MemberState expected = stopped.count(node) > 0 ? MemberState::Gone : MemberState::Alive;
        RC_ASSERT(network.StateOf(observer, node) == expected);
      }
    }
  });
}

Test(failure_detector, suspects_no_member_after_a_pause_and_rejoins)
{
  CHECK_PROPERTY("a member is paused for a while", [] {
    int members = *rc::gen::inRange(4, 10);
    SimulatedNetwork network(members, 0);
    network.Run(seconds(15));
    int paused = *rc::gen::inRange(0, members);
    network.Stop(paused);
    Duration pause = milliseconds(*rc::gen::inRange(100, 30000));
    network.Run(pause);
    network.Resume(paused);
    // Others may have marked it gone meanwhile, so after the fence timeout it must be fenced when
    // it resumes.
    RC_ASSERT(pause <= kFenceTimeout + kProbePeriod ||
              network.Detector(paused).IsFenced(network.Now()));
    network.Run(kStep);
    for (int other = 0; other < members; ++other) {
      RC_ASSERT(other == paused || network.StateOf(paused, other) == MemberState::Alive);
    }
    network.Run(seconds(20));
    for (int observer = 0; observer < members; ++observer) {
      RC_ASSERT(network.StateOf(observer, paused) == MemberState::Alive);
      RC_ASSERT(!network.Detector(observer).IsFenced(network.Now()));
    }
  });
}

Test(failure_detector, fences_a_cut_off_member_before_the_rollout_ignores_it)
{
  CHECK_PROPERTY("a member receives no messages", [] {
    int members = *rc::gen::inRange(4, 10);
    SimulatedNetwork network(members, 0);
    network.Run(seconds(15));
    int node = *rc::gen::inRange(0, members);
    network.Stop(node);
    for (int i = 0; i < 150; ++i) {
      network.Run(kStep);
      // Its zone counts it until the grace period after it was marked gone ends. It must be fenced
      // by then.
      int observer = node % 2 == 0 ? (node == 0 ? 2 : 0) : (node == 1 ? 3 : 1);
      bool isCounted = false;
      for (const Member* member : network.Detector(observer).CountedMembersInZone(network.Now())) {
        isCounted = isCounted || member->id == fmt::format("m{}", node);
      }
      RC_ASSERT(isCounted || network.Detector(node).IsFenced(network.Now()));
    }
  });
}

Test(failure_detector, spreads_an_announced_departure)
{
  SimulatedNetwork network(8, 0);
  network.Run(seconds(15));
  (void)network.Detector(3).AnnounceDeparture(MemberState::Leaving, network.Now());
  network.Run(seconds(8));
  for (int observer = 0; observer < 8; ++observer) {
    cr_assert(network.StateOf(observer, 3) == MemberState::Leaving);
  }
}
