/// The platform's names of headers, paths and keys.
#ifndef DANDELION_PLATFORM_PROTOCOL_NAMES_H
#define DANDELION_PLATFORM_PROTOCOL_NAMES_H

#include "wire/Wire.h"

namespace dandelion::platform {

/// The path at which the platform queries whether a node accepts work.
constexpr char kReadyPath[] = "/v1/ready";
/// The path prefix of upstreams' reports; the upstream's id follows it.
constexpr char kReportPrefix[] = "/v1/instances/";
/// The store's key of the operators' complete configuration.
constexpr char kConfigurationKey[] = "op/config";

CallHeaderNames MakeCallHeaderNames();

} // namespace dandelion::platform

#endif
