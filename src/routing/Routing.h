/// Public header of the routing library: route matching, choice of upstream, retries.
/// It only makes decisions: it opens no sockets and encodes no messages.
#ifndef DANDELION_ROUTING_ROUTING_H
#define DANDELION_ROUTING_ROUTING_H

#include "routing/AttemptResult.h"
#include "routing/Attempts.h"
#include "routing/CallChain.h"
#include "routing/CallOutcome.h"
#include "routing/ClientDeadlines.h"
#include "routing/FinishEstimates.h"
#include "routing/Hedging.h"
#include "routing/RouteTable.h"
#include "routing/SplitChoice.h"
#include "routing/TriedMembers.h"
#include "routing/UpstreamChoice.h"
#include "routing/ZoneShares.h"

#endif
