/// Conversions between endpoints and the socket interface's addresses.
#ifndef DANDELION_WIRE_SOCKET_ADDRESS_H
#define DANDELION_WIRE_SOCKET_ADDRESS_H

#include "membership/Membership.h"

#include <netinet/in.h>

namespace dandelion {

/// The address of an endpoint; the family is unset where its text is no IPv4 number.
sockaddr_in ToSocketAddress(const Endpoint& aEndpoint);
Endpoint ToEndpoint(const sockaddr_in& aAddress);

/// Sends small messages at once instead of waiting for acknowledgements.
void DisableNagle(int aSocket);

} // namespace dandelion

#endif
