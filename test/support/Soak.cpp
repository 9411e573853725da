#include "support/Soak.h"

#include <algorithm>

namespace dandelion::testing {

namespace {

/// Time between two looks at the processes.
constexpr Duration kStep = milliseconds(100);
/// Faults follow each other this fast, and last for a multiple of it: they overlap.
constexpr int kMaxStepsBetween = 6;
constexpr int kMaxStepsOfFault = 20;
/// Callers must be served this long after the last fault (the users' bound on recovery).
constexpr Duration kRecovery = seconds(15);
/// A planned stop that outlasts this has failed (the default drain time, twice).
constexpr Duration kStopLimit = seconds(20);
constexpr int kLeastUp = 2;
constexpr int kFaults = 10;

} // namespace

Soak::Soak(const SoakPlan& aPlan)
  : plan_(aPlan)
  , random_(aPlan.seed)
  , cluster_([&] {
    ClusterShape shape{ aPlan.nodes, 1, 2 };
    shape.hasPaidLink = true;
    shape.workMs = 20;
    return shape;
  }())
  , places_(static_cast<size_t>(aPlan.nodes))
{
}

std::vector<std::string> Soak::Run()
{
  if (!cluster_.StartWithFirstNote()) {
    Break("the first note did not come in force");
    return broken_;
  }
  for (int front = 0; front < plan_.nodes; ++front) {
    BeginCalls(front);
  }
  int steps = static_cast<int>(plan_.length / kStep);
  int next = 0;
  std::multimap<int, std::function<void()>> ends;
  for (int step = 0; step < steps; ++step) {
    if (step >= next) {
      next = step + 1 + static_cast<int>(random_() % kMaxStepsBetween);
      auto fault = static_cast<Fault>(random_() % kFaults);
      Inject(fault);
      int end = step + 1 + static_cast<int>(random_() % kMaxStepsOfFault);
      // Each node that is down or frozen then comes back, one at a time.
      ends.emplace(end, [this] { Revive(AnyNode()); });
    }
    for (auto end = ends.begin(); end != ends.end() && end->first <= step;) {
      end->second();
      end = ends.erase(end);
    }
    cluster_.Wait(kStep);
    ReapStopped();
    if (step % 5 == 0) {
      CheckVersions();
    }
  }
  Heal();
  CheckService();
  isOver_ = true;
  cluster_.WaitUntil(
    [&] {
      return std::all_of(
        sent_.begin(), sent_.end(), [](const auto& aRow) { return aRow.second.isDone; });
    },
    seconds(60));
  CheckCalls();
  if (!broken_.empty()) {
    for (const std::string& line : schedule_) {
      broken_.push_back("  " + line);
    }
  }
  return broken_;
}

void Soak::BeginCalls(int aFront)
{
  SendNext(aFront, true);
  SendNext(aFront, false);
}

void Soak::SendNext(int aFront, bool aMayRunTwice)
{
  std::string id = fmt::format("soak-{}", nextCall_++);
  Sent& sent = sent_[id];
  sent.front = aFront;
  sent.mayRunTwice = aMayRunTwice;
  Place& place = places_[static_cast<size_t>(aFront)];
  sent.isExcused = place.isDown || place.isFrozen;
  std::string path = fmt::format("/s{}/x", nextCall_ % 2);
  cluster_.BeginCall(aFront,
                     aMayRunTwice ? "GET" : "POST",
                     path,
                     id,
                     [this, id, aFront, aMayRunTwice](const CallResult& aResult) {
                       Sent& done = sent_.at(id);
                       done.isDone = true;
                       done.result = aResult;
                       // A front that is down is called again when it is back.
                       if (!isOver_ && !places_[static_cast<size_t>(aFront)].isDown) {
                         SendNext(aFront, aMayRunTwice);
                       }
                     });
}

void Soak::Inject(Fault aFault)
{
  int node = AnyNode();
  Place& place = places_[static_cast<size_t>(node)];
  auto up = std::count_if(places_.begin(), places_.end(), [](const Place& aPlace) {
    return !aPlace.isDown && !aPlace.isFrozen && !aPlace.isStopping;
  });
  bool isWell = !place.isDown && !place.isFrozen && up > kLeastUp;
  schedule_.push_back(fmt::format("fault {} at node {}", static_cast<int>(aFault), node));
  switch (aFault) {
    case Fault::KillNode:
      if (isWell) {
        Excuse(node);
        cluster_.Kill(node);
        place.isDown = true;
        place.isStopping = false;
      }
      return;
    case Fault::FreezeNode:
      if (isWell) {
        Excuse(node);
        cluster_.Freeze(node);
        place.isFrozen = true;
      }
      return;
    case Fault::StopNode:
      // Asking twice is allowed, also while the first stop goes on.
      if (!place.isDown && !place.isFrozen && (place.isStopping || up > kLeastUp)) {
        cluster_.Terminate(node);
        place.isStopping = true;
      }
      return;
    case Fault::StoreDown:
      cluster_.SetStoreFaults(R"({"down": true})");
      return;
    case Fault::StoreSlow:
      cluster_.SetStoreFaults(R"({"delay_ms": 400})");
      return;
    case Fault::StoreLosesAnswers:
      cluster_.SetStoreFaults(R"({"lose_answers": 3})");
      return;
    case Fault::CutLink:
      cluster_.SetLinkFaults(R"({"cut": true})");
      return;
    case Fault::SilenceLink:
      cluster_.SetLinkFaults(R"({"silence_present": true})");
      return;
    case Fault::SlowUpstream:
      cluster_.SetUpstreamTraits(node, R"({"slowness": 10})");
      return;
    case Fault::ChangeConfiguration:
      if (isWell) {
        std::string id = fmt::format("soak-note-{}", nextNote_++);
        cluster_.Submit(
          node, ChangeNote(id, "s0", 4 + static_cast<int>(random_() % 4)), milliseconds(300));
      }
      return;
  }
}

void Soak::Excuse(int aNode)
{
  for (auto& [id, sent] : sent_) {
    sent.isExcused = sent.isExcused || (!sent.isDone && sent.front == aNode);
  }
}

void Soak::ReapStopped()
{
  for (int node = 0; node < plan_.nodes; ++node) {
    Place& place = places_[static_cast<size_t>(node)];
    if (!place.isStopping || place.isFrozen) {
      continue;
    }
    std::optional<int> code = cluster_.ExitCode(node);
    if (code.has_value()) {
      place.isStopping = false;
      place.isDown = true;
      if (*code != 0) {
        Break(fmt::format("the planned stop of node {} ended with code {}", node, *code));
      }
    }
  }
}

void Soak::Revive(int aNode)
{
  Place& place = places_[static_cast<size_t>(aNode)];
  if (place.isFrozen) {
    cluster_.Thaw(aNode);
    place.isFrozen = false;
    return;
  }
  if (place.isDown) {
    cluster_.Restart(aNode);
    place = Place();
    BeginCalls(aNode);
  }
}

void Soak::Heal()
{
  cluster_.SetStoreFaults("{}");
  cluster_.SetLinkFaults("{}");
  for (int node = 0; node < plan_.nodes; ++node) {
    cluster_.SetUpstreamTraits(node, R"({"slowness": 1})");
    if (places_[static_cast<size_t>(node)].isFrozen) {
      Revive(node);
    }
  }
  auto isStopping = [](const Place& aPlace) { return aPlace.isStopping; };
  bool haveStopped = cluster_.WaitUntil(
    [&] {
      ReapStopped();
      return std::none_of(places_.begin(), places_.end(), isStopping);
    },
    kStopLimit);
  if (!haveStopped) {
    Break("a planned stop did not end");
  }
  for (int node = 0; node < plan_.nodes; ++node) {
    Revive(node);
  }
}

void Soak::CheckVersions()
{
  for (int node = 0; node < plan_.nodes; ++node) {
    Place& place = places_[static_cast<size_t>(node)];
    if (place.isDown || place.isFrozen || place.isStopping) {
      continue;
    }
    int64_t version = cluster_.VersionOf(node).value("version", place.version);
    if (version < place.version) {
      Break(fmt::format("node {} went from version {} to {}", node, place.version, version));
    }
    place.version = version;
  }
}

void Soak::CheckService()
{
  std::set<int> served;
  bool isServed = cluster_.WaitUntil(
    [&] {
      for (int node = 0; node < plan_.nodes; ++node) {
        if (served.count(node) == 0) {
          bool isGood = cluster_.Call(node, "GET", "/s0/x").status == 200 &&
                        cluster_.Call(node, "GET", "/s1/x").status == 200;
          if (isGood) {
            served.insert(node);
          }
        }
      }
      return served.size() == places_.size();
    },
    kRecovery);
  if (!isServed) {
    Break(fmt::format("{} of {} fronts serve after the faults", served.size(), places_.size()));
  }
}

void Soak::CheckCalls()
{
  std::map<std::string, int> runs;
  for (int node = 0; node < plan_.nodes; ++node) {
    for (const std::string& id : cluster_.JournalOf(node)) {
      ++runs[id];
    }
  }
  for (const auto& [id, sent] : sent_) {
    int times = runs.count(id) == 0 ? 0 : runs.at(id);
    const CallResult& result = sent.result;
    if (!sent.isDone) {
      Break(fmt::format("call {} at node {} was never settled", id, sent.front));
    }
    if (!sent.mayRunTwice && times > 1) {
      Break(fmt::format("deposit {} ran {} times", id, times));
    }
    if (result.outcome == "not-run" && times > 0) {
      Break(fmt::format("call {} was refused as not run and has run", id));
    }
    if (result.outcome == "ran" && (result.callId != id || times == 0)) {
      Break(fmt::format("call {} got the answer of \"{}\"", id, result.callId));
    }
    if (result.isLost && times > 0 && !sent.isExcused) {
      Break(fmt::format("call {} at node {} was passed on and cut off", id, sent.front));
    }
  }
  if (sent_.size() < 100) {
    Break(fmt::format("only {} calls were made", sent_.size()));
  }
}

} // namespace dandelion::testing
