/// Public header of the platform library, which translates between the platform's protocols and the
/// product's types and makes no decisions.
#ifndef DANDELION_PLATFORM_PLATFORM_H
#define DANDELION_PLATFORM_PLATFORM_H

#include "platform/KeyValueStore.h"
#include "platform/OperatorConfiguration.h"
#include "platform/ProtocolNames.h"
#include "platform/RolloutOrders.h"
#include "platform/UpstreamReports.h"

#endif
