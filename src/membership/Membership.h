/// Public header of the membership library: members, their table, failure detection.
/// Contains decisions only: no sockets, no encoding.
#ifndef DANDELION_MEMBERSHIP_MEMBERSHIP_H
#define DANDELION_MEMBERSHIP_MEMBERSHIP_H

#include "membership/FailureDetector.h"
#include "membership/Member.h"
#include "membership/MemberTable.h"
#include "membership/ProbeMessages.h"

#endif
