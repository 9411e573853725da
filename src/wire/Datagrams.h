/// Datagrams between nodes.
#ifndef DANDELION_WIRE_DATAGRAMS_H
#define DANDELION_WIRE_DATAGRAMS_H

#include "wire/Messages.h"

#include <functional>

namespace dandelion {

class Datagrams
{
public:
  using Handler = std::function<void(const Endpoint& aFrom, const Datagram& aDatagram)>;

  virtual ~Datagrams() = default;
  /// Sends a datagram once. Datagrams may be lost, duplicated or reordered.
  virtual void Send(const Endpoint& aTo, const Datagram& aDatagram) = 0;
  virtual void AddHandler(Handler aHandler) = 0;
  virtual uint64_t BytesSent() const = 0;
};

} // namespace dandelion

#endif
