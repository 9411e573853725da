/// Public header of the accounts library: client accounts, their keys and quotas.
/// It only makes decisions: it opens no sockets and encodes no messages.
#ifndef DANDELION_ACCOUNTS_ACCOUNTS_H
#define DANDELION_ACCOUNTS_ACCOUNTS_H

#include "accounts/AccountTable.h"
#include "accounts/CapClient.h"
#include "accounts/CapMembers.h"
#include "accounts/CapMessages.h"
#include "accounts/CapPool.h"
#include "accounts/CapShards.h"
#include "accounts/FairRoom.h"

#endif
