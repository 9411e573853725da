#include "wire/SocketAddress.h"

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace dandelion {

sockaddr_in ToSocketAddress(const Endpoint& aEndpoint)
{
  sockaddr_in address = {};
  bool isIpv4 = inet_pton(AF_INET, aEndpoint.ip.c_str(), &address.sin_addr) == 1;
  address.sin_family = isIpv4 ? AF_INET : AF_UNSPEC;
  address.sin_port = htons(aEndpoint.port);
  return address;
}

Endpoint ToEndpoint(const sockaddr_in& aAddress)
{
  char text[INET_ADDRSTRLEN] = {};
  inet_ntop(AF_INET, &aAddress.sin_addr, text, sizeof(text));
  return Endpoint{ text, ntohs(aAddress.sin_port) };
}

void DisableNagle(int aSocket)
{
  int enabled = 1;
  setsockopt(aSocket, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof(enabled));
}

} // namespace dandelion
