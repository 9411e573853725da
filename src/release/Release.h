/// Public header of the release library: notes, configurations, replicas, submissions.
/// Contains decisions only: no sockets, no encoding.
#ifndef DANDELION_RELEASE_RELEASE_H
#define DANDELION_RELEASE_RELEASE_H

#include "release/Apply.h"
#include "release/Configuration.h"
#include "release/ConfigurationDelta.h"
#include "release/Note.h"
#include "release/Objects.h"
#include "release/Replica.h"
#include "release/Submission.h"

#endif
