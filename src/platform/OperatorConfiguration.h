/// Reads the operators' configuration as the platform keeps it.
#ifndef DANDELION_PLATFORM_OPERATOR_CONFIGURATION_H
#define DANDELION_PLATFORM_OPERATOR_CONFIGURATION_H

#include "release/Release.h"

#include <string>

namespace dandelion::platform {

/// The whole configuration in the text. Unknown fields are passed over; anything else that is wrong
/// refuses the whole with `InvalidNote` and names the object, the place and the remedy.
absl::StatusOr<Configuration> ReadConfiguration(const std::string& aText);

} // namespace dandelion::platform

#endif
