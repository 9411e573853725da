/// Public header of the memory library: the account of bytes that a node holds for others.
/// It only makes decisions: it opens no sockets and reads no clock.
#ifndef DANDELION_MEMORY_MEMORY_H
#define DANDELION_MEMORY_MEMORY_H

#include "memory/ByteAccount.h"
#include "memory/ConnectionChoice.h"
#include "memory/ReclaimChoice.h"

#endif
