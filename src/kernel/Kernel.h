/// Public header of the kernel: loop, registry, log, error kinds, tables of names, hashes.
#ifndef DANDELION_KERNEL_KERNEL_H
#define DANDELION_KERNEL_KERNEL_H

#include "kernel/EnumNames.h"
#include "kernel/ErrorKind.h"
#include "kernel/FieldTraits.h"
#include "kernel/Hash.h"
#include "kernel/Log.h"
#include "kernel/Loop.h"
#include "kernel/Metrics.h"
#include "kernel/Registry.h"
#include "kernel/Time.h"

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#endif
