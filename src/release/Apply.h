/// Applies a note to a configuration: the whole result, or an error and nothing.
#ifndef DANDELION_RELEASE_APPLY_H
#define DANDELION_RELEASE_APPLY_H

#include "release/Configuration.h"

namespace dandelion {

/// Checks a note by itself: names, paths, double objects, size. Lists every fault.
absl::Status CheckNote(const Note& aNote);

/// The configuration that follows when `aNote`, written against version `aBase`, is applied.
/// Refuses with every fault: unknown or existing objects, objects that another note changed
/// after the base, dangling references, a withdrawn object in use, a repeated id.
absl::StatusOr<Configuration> Apply(const Configuration& aParent, const Note& aNote, Version aBase);

/// The log entry that accepts `aNote` as the next version after `aParent`.
absl::StatusOr<Entry> MakeEntry(const Configuration& aParent, const Note& aNote, Version aBase);

} // namespace dandelion

#endif
