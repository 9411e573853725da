#include "support/Soak.h"

#include <algorithm>

namespace dandelion::testing {

namespace {

/// Interval between two checks of the processes.
constexpr Duration kStepInterval = milliseconds(100);
/// Limits on the steps to the next fault and to the recovery from a fault. The latter is larger, so
/// faults overlap.
constexpr int kMaxStepsBetweenFaults = 6;
constexpr int kMaxFaultSteps = 20;
/// Calls must succeed within this time after the last fault; the users' limit on recovery.
constexpr Duration kRecoveryTimeout = seconds(15);
/// A planned stop that takes longer has failed; twice the timeout of the calls (10 s).
constexpr Duration kStopTimeout = seconds(20);
constexpr int kMinRunningNodes = 2;
constexpr int kFaultKinds = 10;

} // namespace

Soak::Soak(const SoakPlan& aPlan)
  : plan_(aPlan)
  , random_(aPlan.seed)
  , cluster_([&] {
    ClusterShape shape{ aPlan.nodes, 1, 2 };
    shape.hasPaidLink = true;
    shape.serviceTimeMs = 20;
    return shape;
  }())
  , nodeStates_(static_cast<size_t>(aPlan.nodes))
{
}

std::vector<std::string> Soak::Run()
{
  if (!cluster_.StartWithFirstNote()) {
    ReportViolation("the first note did not come in force");
    return violations_;
  }
  for (int front = 0; front < plan_.nodes; ++front) {
    BeginCalls(front);
  }
  int steps = static_cast<int>(plan_.duration / kStepInterval);
  int nextFaultStep = 0;
  std::multimap<int, std::function<void()>> recoveries;
  for (int step = 0; step < steps; ++step) {
    if (step >= nextFaultStep) {
      nextFaultStep = step + 1 + static_cast<int>(random_() % kMaxStepsBetweenFaults);
      auto fault = static_cast<Fault>(random_() % kFaultKinds);
      Inject(fault);
      int recovery = step + 1 + static_cast<int>(random_() % kMaxFaultSteps);
      // The recovery resumes or restarts one random node if that node is suspended or down.
      recoveries.emplace(recovery, [this] { Recover(RandomNode()); });
    }
    for (auto recovery = recoveries.begin();
         recovery != recoveries.end() && recovery->first <= step;) {
      recovery->second();
      recovery = recoveries.erase(recovery);
    }
    cluster_.Wait(kStepInterval);
    ReapStopped();
    if (step % 5 == 0) {
      CheckVersions();
    }
  }
  ClearFaults();
  CheckService();
  isFinished_ = true;
  cluster_.WaitUntil(
    [&] {
      return std::all_of(
        sent_.begin(), sent_.end(), [](const auto& aRow) { return aRow.second.isDone; });
    },
    seconds(60));
  CheckCalls();
  if (!violations_.empty()) {
    for (const std::string& line : schedule_) {
      violations_.push_back("  " + line);
    }
  }
  return violations_;
}

void Soak::BeginCalls(int aFront)
{
  SendNext(aFront, true);
  SendNext(aFront, false);
}

void Soak::SendNext(int aFront, bool aIsIdempotent)
{
  std::string id = fmt::format("soak-{}", nextCall_++);
  SentCall& sent = sent_[id];
  sent.front = aFront;
  sent.isIdempotent = aIsIdempotent;
  NodeState& state = nodeStates_[static_cast<size_t>(aFront)];
  sent.mayBeLost = state.isDown || state.isSuspended;
  std::string path = fmt::format("/s{}/x", nextCall_ % 2);
  cluster_.BeginCall(aFront,
                     aIsIdempotent ? "GET" : "POST",
                     path,
                     id,
                     [this, id, aFront, aIsIdempotent](const CallResult& aResult) {
                       SentCall& done = sent_.at(id);
                       done.isDone = true;
                       done.result = aResult;
                       // Calls through a front that is down continue after its restart.
                       if (!isFinished_ && !nodeStates_[static_cast<size_t>(aFront)].isDown) {
                         SendNext(aFront, aIsIdempotent);
                       }
                     });
}

void Soak::Inject(Fault aFault)
{
  int node = RandomNode();
  NodeState& state = nodeStates_[static_cast<size_t>(node)];
  auto running = std::count_if(nodeStates_.begin(), nodeStates_.end(), [](const NodeState& aNode) {
    return !aNode.isDown && !aNode.isSuspended && !aNode.isStopping;
  });
  bool isUsable = !state.isDown && !state.isSuspended && running > kMinRunningNodes;
  schedule_.push_back(fmt::format("fault {} at node {}", static_cast<int>(aFault), node));
  switch (aFault) {
    case Fault::KillNode:
      if (isUsable) {
        AllowLostCalls(node);
        cluster_.Kill(node);
        state.isDown = true;
        state.isStopping = false;
      }
      return;
    case Fault::SuspendNode:
      if (isUsable) {
        AllowLostCalls(node);
        cluster_.Suspend(node);
        state.isSuspended = true;
      }
      return;
    case Fault::StopNode:
      // A stop may be requested again while the first one is in progress.
      if (!state.isDown && !state.isSuspended && (state.isStopping || running > kMinRunningNodes)) {
        cluster_.Terminate(node);
        state.isStopping = true;
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
    case Fault::StallLink:
      cluster_.SetLinkFaults(R"({"silence_present": true})");
      return;
    case Fault::SlowUpstream:
      cluster_.SetUpstreamTraits(node, R"({"slowness": 10})");
      return;
    case Fault::ChangeConfiguration:
      if (isUsable) {
        std::string id = fmt::format("soak-note-{}", nextNote_++);
        cluster_.Submit(
          node, ChangeNote(id, "s0", 4 + static_cast<int>(random_() % 4)), milliseconds(300));
      }
      return;
  }
}

void Soak::AllowLostCalls(int aNode)
{
  for (auto& [id, sent] : sent_) {
    sent.mayBeLost = sent.mayBeLost || (!sent.isDone && sent.front == aNode);
  }
}

void Soak::ReapStopped()
{
  for (int node = 0; node < plan_.nodes; ++node) {
    NodeState& state = nodeStates_[static_cast<size_t>(node)];
    if (!state.isStopping || state.isSuspended) {
      continue;
    }
    std::optional<int> code = cluster_.ExitCode(node);
    if (code.has_value()) {
      state.isStopping = false;
      state.isDown = true;
      if (*code != 0) {
        ReportViolation(fmt::format("the planned stop of node {} ended with code {}", node, *code));
      }
    }
  }
}

void Soak::Recover(int aNode)
{
  NodeState& state = nodeStates_[static_cast<size_t>(aNode)];
  if (state.isSuspended) {
    cluster_.Resume(aNode);
    state.isSuspended = false;
    return;
  }
  if (state.isDown) {
    cluster_.Restart(aNode);
    state = NodeState();
    BeginCalls(aNode);
  }
}

void Soak::ClearFaults()
{
  cluster_.SetStoreFaults("{}");
  cluster_.SetLinkFaults("{}");
  for (int node = 0; node < plan_.nodes; ++node) {
    cluster_.SetUpstreamTraits(node, R"({"slowness": 1})");
    if (nodeStates_[static_cast<size_t>(node)].isSuspended) {
      Recover(node);
    }
  }
  auto isStopping = [](const NodeState& aNode) { return aNode.isStopping; };
  bool haveAllStopped = cluster_.WaitUntil(
    [&] {
      ReapStopped();
      return std::none_of(nodeStates_.begin(), nodeStates_.end(), isStopping);
    },
    kStopTimeout);
  if (!haveAllStopped) {
    ReportViolation("a planned stop did not complete in time");
  }
  for (int node = 0; node < plan_.nodes; ++node) {
    Recover(node);
  }
}

void Soak::CheckVersions()
{
  for (int node = 0; node < plan_.nodes; ++node) {
    NodeState& state = nodeStates_[static_cast<size_t>(node)];
    if (state.isDown || state.isSuspended || state.isStopping) {
      continue;
    }
    int64_t version = cluster_.VersionOf(node).value("version", state.version);
    if (version < state.version) {
      ReportViolation(
        fmt::format("node {} went back from version {} to {}", node, state.version, version));
    }
    state.version = version;
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
      return served.size() == nodeStates_.size();
    },
    kRecoveryTimeout);
  if (!isServed) {
    ReportViolation(fmt::format(
      "only {} of {} fronts serve calls after the faults", served.size(), nodeStates_.size()));
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
    int runCount = runs.count(id) == 0 ? 0 : runs.at(id);
    const CallResult& result = sent.result;
    if (!sent.isDone) {
      ReportViolation(fmt::format("call {} through node {} did not complete", id, sent.front));
    }
    if (!sent.isIdempotent && runCount > 1) {
      ReportViolation(fmt::format("non-idempotent call {} ran {} times", id, runCount));
    }
    if (result.outcome == "not-run" && runCount > 0) {
      ReportViolation(fmt::format("call {} was reported as not run but has run", id));
    }
    if (result.outcome == "ran" && (result.callId != id || runCount == 0)) {
      ReportViolation(
        fmt::format("call {} was reported as run, but has not run or got the answer of \"{}\"",
                    id,
                    result.callId));
    }
    if (result.isLost && runCount > 0 && !sent.mayBeLost) {
      ReportViolation(fmt::format(
        "call {} through node {} has run, but its connection was lost", id, sent.front));
    }
  }
  if (sent_.size() < 100) {
    ReportViolation(fmt::format("only {} calls were sent, fewer than 100", sent_.size()));
  }
}

} // namespace dandelion::testing
