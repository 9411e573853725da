/// Applies a note to a configuration. Returns the complete result or an error.
#ifndef DANDELION_RELEASE_APPLY_H
#define DANDELION_RELEASE_APPLY_H

#include "release/Configuration.h"

namespace dandelion {

/// Validates a note on its own: names, paths, objects listed twice, number of objects. The error
/// lists the first ten problems and counts the others.
absl::Status CheckNote(const Note& aNote);

/// Returns the configuration that results from applying `aNote`, written against version `aBase`,
/// to `aParent`. Checks the note by itself, then against the parent (unknown or already existing
/// objects, objects that another note changed after the base, a withdrawn object in use, an id
/// that was accepted before), then the result (numbers of objects, then dangling references).
/// An error lists the problems of the first of these four steps that fails.
absl::StatusOr<Configuration> Apply(const Configuration& aParent, const Note& aNote, Version aBase);

/// Builds the log entry that records `aNote` as the next version after `aParent`. Errors as for
/// `Apply`.
absl::StatusOr<Entry> MakeEntry(const Configuration& aParent, const Note& aNote, Version aBase);

} // namespace dandelion

#endif
