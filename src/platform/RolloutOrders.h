/// Translates the operators' orders of version rollouts and the view of them that operators read.
#ifndef DANDELION_PLATFORM_ROLLOUT_ORDERS_H
#define DANDELION_PLATFORM_ROLLOUT_ORDERS_H

#include "versions/Versions.h"
#include "wire/Wire.h"

namespace dandelion::platform {

/// Parses an order; unknown fields are ignored. Errors: `InvalidNote`.
absl::StatusOr<RolloutOrder> ReadRolloutOrder(const KeyValue& aItem);

/// Key and value that show operators how far an order is.
KeyValue MakeRolloutStatus(const std::string& aService, const RolloutRecord& aRecord);

/// Keys of the order and of the record of a service.
std::string RolloutOrderKey(const std::string& aService);
std::string RolloutRecordKey(const std::string& aService);

} // namespace dandelion::platform

#endif
