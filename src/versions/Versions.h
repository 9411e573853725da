/// Public header of the versions library: plan and verdict of a roll-out of an upstream version.
/// It only makes decisions: it opens no sockets and encodes no messages.
#ifndef DANDELION_VERSIONS_VERSIONS_H
#define DANDELION_VERSIONS_VERSIONS_H

#include "versions/Rollout.h"
#include "versions/RolloutJudge.h"
#include "versions/RolloutMessages.h"
#include "versions/RolloutPlan.h"
#include "versions/UpstreamCounts.h"
#include "versions/VersionGate.h"
#include "versions/VersionVerdict.h"

#endif
