/// Public header of the overload library: what a node refuses while upstreams have too little room.
/// It only makes decisions: it opens no sockets and reads no clock.
#ifndef DANDELION_OVERLOAD_OVERLOAD_H
#define DANDELION_OVERLOAD_OVERLOAD_H

#include "overload/EntryLimiter.h"

#endif
