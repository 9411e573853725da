/// Public header of the admission library: slots, class lanes, deadlines, shedding, drain.
/// Decisions only: no sockets, no encoding.
#ifndef DANDELION_ADMISSION_ADMISSION_H
#define DANDELION_ADMISSION_ADMISSION_H

#include "admission/AdmissionEvents.h"
#include "admission/AdmissionQueue.h"
#include "admission/SlotQueue.h"
#include "admission/TargetQueue.h"
#include "admission/UpstreamTracker.h"

#endif
