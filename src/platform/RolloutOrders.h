/// Translates the operators' orders of version rollouts and the view of them that operators read.
#ifndef DANDELION_PLATFORM_ROLLOUT_ORDERS_H
#define DANDELION_PLATFORM_ROLLOUT_ORDERS_H

#include "codec/Codec.h"
#include "versions/Versions.h"
#include "wire/Wire.h"

namespace dandelion::platform {

/// Versions are announced in member records, which have to fit in datagrams. An upstream with a
/// longer one counts as one that names none.
constexpr size_t kMaxVersionBytes = 128;

/// Makes a field that is a whole number a text; versions may be written as either.
void NumberToText(Json& aObject, const char* aName);

/// Parses an order; unknown fields are ignored. Errors: `InvalidNote`.
absl::StatusOr<RolloutOrder> ReadRolloutOrder(const KeyValue& aItem);

/// Key and value that show operators how far an order is.
KeyValue MakeRolloutStatus(const std::string& aService, const RolloutRecord& aRecord);

/// Keys of the order and of the record of a service.
std::string RolloutOrderKey(const std::string& aService);
std::string RolloutRecordKey(const std::string& aService);

} // namespace dandelion::platform

#endif
