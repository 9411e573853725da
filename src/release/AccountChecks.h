/// Checks the client accounts of a configuration. Internal to the library.
#ifndef DANDELION_RELEASE_ACCOUNT_CHECKS_H
#define DANDELION_RELEASE_ACCOUNT_CHECKS_H

#include "release/Configuration.h"
#include "release/ValidationErrors.h"

namespace dandelion {

/// Checks caps, priorities and key digests, and that no two accounts hold the same key. The errors
/// do not contain digests, since a key may have been given in place of one.
void CheckAccounts(ValidationErrors& aErrors, const Configuration& aConfiguration);

/// The number of keys that the accounts hold together.
size_t CountKeys(const Configuration& aConfiguration);

} // namespace dandelion

#endif
