/// Public header of the admission library: slots, class lanes, deadlines, load shedding, draining.
/// It only makes decisions: it opens no sockets and encodes no messages.
#ifndef DANDELION_ADMISSION_ADMISSION_H
#define DANDELION_ADMISSION_ADMISSION_H

#include "admission/AdmissionEvents.h"
#include "admission/AdmissionQueue.h"
#include "admission/SlotQueue.h"
#include "admission/TargetQueue.h"
#include "admission/UpstreamNotices.h"
#include "admission/UpstreamTracker.h"

#endif
