/// Parses the operators' configuration as the platform stores it.
#ifndef DANDELION_PLATFORM_OPERATOR_CONFIGURATION_H
#define DANDELION_PLATFORM_OPERATOR_CONFIGURATION_H

#include "release/Release.h"

#include <string>

namespace dandelion::platform {

/// Parses a complete configuration. Unknown fields are ignored. Any other error rejects the whole
/// configuration, and the message names the object, the place and the remedy. Errors: `InvalidNote`
/// for text or fields that cannot be parsed, `TooLarge`, `AlreadyExists` for a duplicate name, and
/// those of `CheckConfiguration`. The limits of release notes do not apply: times are cut to
/// `kMaxTimeoutMs`, and weights are scaled to `kMaxWeight`.
absl::StatusOr<Configuration> ReadConfiguration(const std::string& aText);

} // namespace dandelion::platform

#endif
