/// Clients that write arbitrary bytes to a port, for tests of what processes keep of them.
#ifndef DANDELION_TEST_SUPPORT_RAW_CLIENTS_H
#define DANDELION_TEST_SUPPORT_RAW_CLIENTS_H

#include "wire/Wire.h"

#include <string>
#include <sys/types.h>
#include <vector>

namespace dandelion::testing {

/// What one client sends: a head, and bytes that are repeated up to a total.
struct RawRequest
{
  std::string head;
  std::string repeated = "x";
  size_t repeatedBytes = 0;
  /// Bytes of one write.
  size_t pieceBytes = 64 * 1024;
  /// Whether the client reads, and discards, what it receives.
  bool reads = true;
};

class RawClients
{
public:
  RawClients() = default;
  ~RawClients();
  RawClients(const RawClients&) = delete;
  RawClients& operator=(const RawClients&) = delete;

  /// Connects a number of clients, each with the same request.
  void Add(const Endpoint& aServer, const RawRequest& aRequest, int aCount);
  /// Writes what the sockets take now. Returns whether nothing is left to write: each client has
  /// written all of its bytes or was disconnected.
  bool Pump();
  size_t BytesWritten() const { return bytesWritten_; }

private:
  struct Client
  {
    int socket;
    RawRequest request;
    size_t written = 0;
    bool isDone = false;
  };

  static void Discard(const Client& aClient);
  void Write(Client& aClient);

  std::vector<Client> clients_;
  size_t bytesWritten_ = 0;
};

/// Memory and descriptors of a process as the kernel reports them.
struct ProcessUse
{
  size_t residentBytes = 0;
  size_t peakResidentBytes = 0;
  size_t descriptors = 0;
};

ProcessUse UseOf(pid_t aPid);

} // namespace dandelion::testing

#endif
