/// The platform's names of headers, paths and keys.
#ifndef DANDELION_PLATFORM_PROTOCOL_NAMES_H
#define DANDELION_PLATFORM_PROTOCOL_NAMES_H

#include "wire/Wire.h"

namespace dandelion::platform {

/// The path at which the platform queries whether a node accepts work.
constexpr char kReadyPath[] = "/v1/ready";
/// The path prefix of upstreams' reports; the upstream's id follows it.
constexpr char kReportPrefix[] = "/v1/instances/";
/// The header of the store's answers that names its era.
constexpr char kStoreEraHeader[] = "Store-Era";
/// The store's key of the operators' complete configuration.
constexpr char kConfigurationKey[] = "op/config";

/// The prefix of all keys that operators write; one watch of it reports configurations and orders.
constexpr char kOperatorPrefix[] = "op/";
/// The prefix of the orders of version rollouts; the service's name follows it.
constexpr char kRolloutOrderPrefix[] = "op/rollout/";
/// The prefix of the operators' view of rollouts, and of the product's own records.
constexpr char kRolloutStatusPrefix[] = "status/rollout/";
constexpr char kRolloutRecordPrefix[] = "dandelion/rollouts/";

CallHeaderNames MakeCallHeaderNames();

} // namespace dandelion::platform

#endif
