/// Decides which holder of bytes is dropped when a node comes near its budget.
#ifndef DANDELION_MEMORY_RECLAIM_CHOICE_H
#define DANDELION_MEMORY_RECLAIM_CHOICE_H

#include "memory/ByteAccount.h"

#include <optional>

namespace dandelion {

/// A holder that has made no progress for this time may be dropped while memory is tight. Holders
/// that wait for memory make none, so some of them are dropped and the others continue. It is below
/// the time without progress after which a body is given up at all (3 s on the platform).
constexpr Duration kMinStallTime = seconds(1);

/// Returns the holder to drop now. While memory is tight, it is the one of more than an ordinary
/// request that has stalled for longest, at least for `kMinStallTime`. At the budget the time does
/// not matter, and if there is no such holder, small ones are dropped, too.
std::optional<ByteAccount::HolderId> ChooseReclaim(const ByteAccount& aAccount, TimePoint aNow);

} // namespace dandelion

#endif
