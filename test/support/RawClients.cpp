#include "support/RawClients.h"

#include <fcntl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <filesystem>
#include <fstream>

namespace dandelion::testing {

namespace {

/// Returns bytes of the endless repetition of `aRepeated`, from an offset on.
std::string RepeatedFrom(const std::string& aRepeated, size_t aOffset, size_t aCount)
{
  std::string bytes = aRepeated.substr(aOffset % aRepeated.size());
  while (bytes.size() < aCount) {
    bytes += aRepeated;
  }
  bytes.resize(aCount);
  return bytes;
}

} // namespace

RawClients::~RawClients()
{
  for (const Client& client : clients_) {
    close(client.socket);
  }
}

void RawClients::Add(const Endpoint& aServer, const RawRequest& aRequest, int aCount)
{
  sockaddr_in address = ToSocketAddress(aServer);
  for (int i = 0; i < aCount; ++i) {
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    fcntl(fd, F_SETFL, O_NONBLOCK);
    if (!aRequest.reads) {
      constexpr int kSmallBuffer = 4096;
      setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &kSmallBuffer, sizeof(kSmallBuffer));
    }
    // A connection that is not established yet takes bytes later.
    (void)connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address));
    clients_.push_back(Client{ fd, aRequest });
  }
}

bool RawClients::Pump()
{
  bool areAllDone = true;
  for (Client& client : clients_) {
    Discard(client);
    Write(client);
    areAllDone = areAllDone && client.isDone;
  }
  return areAllDone;
}

void RawClients::Discard(const Client& aClient)
{
  char buffer[16 * 1024];
  while (aClient.request.reads && recv(aClient.socket, buffer, sizeof(buffer), MSG_DONTWAIT) > 0) {
  }
}

void RawClients::Write(Client& aClient)
{
  const RawRequest& request = aClient.request;
  size_t total = request.head.size() + request.repeatedBytes;
  while (!aClient.isDone) {
    std::string bytes;
    if (aClient.written < request.head.size()) {
      bytes = request.head.substr(aClient.written);
    } else {
      size_t offset = aClient.written - request.head.size();
      bytes = RepeatedFrom(
        request.repeated, offset, std::min(request.pieceBytes, total - aClient.written));
    }
    ssize_t count = send(aClient.socket, bytes.data(), bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
    if (count < 0) {
      bool isBlocked = errno == EAGAIN || errno == EINPROGRESS || errno == ENOTCONN;
      aClient.isDone = !isBlocked;
      return;
    }
    bytesWritten_ += static_cast<size_t>(count);
    aClient.written += static_cast<size_t>(count);
    aClient.isDone = aClient.written == total;
  }
}

ProcessUse UseOf(pid_t aPid)
{
  constexpr size_t kBytesPerKb = 1024;
  ProcessUse use;
  std::ifstream file(fmt::format("/proc/{}/status", aPid));
  std::string name;
  while (file >> name) {
    if (name == "VmRSS:") {
      file >> use.residentBytes;
    } else if (name == "VmHWM:") {
      file >> use.peakResidentBytes;
    }
  }
  use.residentBytes *= kBytesPerKb;
  use.peakResidentBytes *= kBytesPerKb;
  std::error_code error;
  std::filesystem::directory_iterator descriptors(fmt::format("/proc/{}/fd", aPid), error);
  use.descriptors = static_cast<size_t>(
    std::distance(std::filesystem::begin(descriptors), std::filesystem::end(descriptors)));
  return use;
}

} // namespace dandelion::testing
