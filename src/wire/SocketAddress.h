/// Conversions between endpoints and socket addresses.
#ifndef DANDELION_WIRE_SOCKET_ADDRESS_H
#define DANDELION_WIRE_SOCKET_ADDRESS_H

#include "membership/Membership.h"

#include <netinet/in.h>

namespace dandelion {

/// Converts an endpoint. The family is `AF_UNSPEC` where its IP text is not an IPv4 address.
sockaddr_in ToSocketAddress(const Endpoint& aEndpoint);
Endpoint ToEndpoint(const sockaddr_in& aAddress);

/// Sets TCP_NODELAY, so that small messages are sent without waiting for acknowledgements.
void DisableNagle(int aSocket);

} // namespace dandelion

#endif
