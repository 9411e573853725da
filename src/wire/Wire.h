/// Public header of the wire library: messages, links, datagrams, store, HTTP and upstream.
#ifndef DANDELION_WIRE_WIRE_H
#define DANDELION_WIRE_WIRE_H

#include "wire/AccountKeys.h"
#include "wire/CallHeaders.h"
#include "wire/Datagrams.h"
#include "wire/EtcdStore.h"
#include "wire/Fragments.h"
#include "wire/Http.h"
#include "wire/HttpHeadCheck.h"
#include "wire/HttpUpstream.h"
#include "wire/LinkDelivery.h"
#include "wire/LinkGate.h"
#include "wire/Links.h"
#include "wire/MemoryGuard.h"
#include "wire/Messages.h"
#include "wire/ReconnectBackoff.h"
#include "wire/SharedKeys.h"
#include "wire/SocketAddress.h"
#include "wire/Store.h"
#include "wire/StoreRevision.h"
#include "wire/UdpDatagrams.h"
#include "wire/Upstream.h"
#include "wire/UpstreamAnswer.h"
#include "wire/WebsocketLinks.h"

#endif
