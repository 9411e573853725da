#include "memory/ConnectionChoice.h"

#include <algorithm>

namespace dandelion {

namespace {

/// Links to 80 nodes need up to six descriptors each (three lanes, opened by either side), and the
/// upstream one for each of its slots.
constexpr size_t kMaxReservedDescriptors = 1024;
constexpr size_t kOtherPortsDivisor = 16;
/// A connection with an unfinished request is closed for a new one only if it has stalled for this
/// time, so that a burst of new connections does not end requests that are being sent.
constexpr Duration kMinConnectionStall = milliseconds(500);

} // namespace

DescriptorShares DivideDescriptors(int64_t aMaxFds)
{
  if (aMaxFds <= 0) {
    return {};
  }
  size_t limit = static_cast<size_t>(aMaxFds);
  DescriptorShares shares;
  // At most three other ports: reports, operators and readiness.
  constexpr size_t kOtherPorts = 3;
  shares.otherPorts = std::max<size_t>(1, limit / kOtherPortsDivisor);
  size_t reserved = std::min(limit / 2, kMaxReservedDescriptors);
  size_t left = limit - reserved;
  size_t others = kOtherPorts * shares.otherPorts;
  shares.callers = left > others ? left - others : 1;
  return shares;
}

std::optional<uint64_t> ChooseConnectionToClose(
  const std::map<uint64_t, ConnectionState>& aConnections,
  TimePoint aNow)
{
  std::optional<uint64_t> chosen;
  const ConnectionState* first = nullptr;
  for (const auto& [id, state] : aConnections) {
    bool isCandidate = state.isIdle || (!state.hasRequestInProgress &&
                                        aNow - state.lastActivity >= kMinConnectionStall);
    if (!isCandidate || state.hasRequestInProgress) {
      continue;
    }
    bool comesFirst = first == nullptr || (state.isIdle && !first->isIdle) ||
                      (state.isIdle == first->isIdle && state.lastActivity < first->lastActivity);
    if (comesFirst) {
      chosen = id;
      first = &state;
    }
  }
  return chosen;
}

} // namespace dandelion
