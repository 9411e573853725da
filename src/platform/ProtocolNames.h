/// The platform's names of headers, paths and keys.
#ifndef DANDELION_PLATFORM_PROTOCOL_NAMES_H
#define DANDELION_PLATFORM_PROTOCOL_NAMES_H

#include "wire/Wire.h"

namespace dandelion::platform {

/// Where the platform asks whether a node takes work.
constexpr char kReadyPath[] = "/v1/ready";
/// Upstreams report themselves under this prefix, followed by their id.
constexpr char kReportPrefix[] = "/v1/instances/";
/// The key under which the operators keep the whole configuration.
constexpr char kConfigurationKey[] = "op/config";

CallHeaderNames MakeCallHeaderNames();

} // namespace dandelion::platform

#endif
