/// Decides how descriptors are divided, and which client connection is closed for a new one.
#ifndef DANDELION_MEMORY_CONNECTION_CHOICE_H
#define DANDELION_MEMORY_CONNECTION_CHOICE_H

#include "kernel/Kernel.h"

#include <cstdint>
#include <map>
#include <optional>

namespace dandelion {

/// A client connection as far as the choice needs it.
struct ConnectionState
{
  bool hasRequestInProgress = false;
  /// Nothing of a request was read and nothing of a response is left to send.
  bool isIdle = false;
  TimePoint lastActivity;
};

/// Descriptors that are left for client connections, those for callers and for each other port.
struct DescriptorShares
{
  size_t callers = SIZE_MAX;
  size_t otherPorts = SIZE_MAX;
};

/// Divides a limit of descriptors; 0 is no limit. The rest is for the upstream, links and the
/// store.
DescriptorShares DivideDescriptors(int64_t aMaxFds);

/// Returns the connection to close for a new one: the one that has been idle for longest, otherwise
/// the one whose unfinished request or unread response has stalled for longest. None has a request
/// in progress.
std::optional<uint64_t> ChooseConnectionToClose(
  const std::map<uint64_t, ConnectionState>& aConnections,
  TimePoint aNow);

} // namespace dandelion

#endif
