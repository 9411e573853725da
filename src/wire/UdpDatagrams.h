/// Datagrams over UDP.
#ifndef DANDELION_WIRE_UDP_DATAGRAMS_H
#define DANDELION_WIRE_UDP_DATAGRAMS_H

#include "wire/Datagrams.h"
#include "wire/SharedKeys.h"

struct event;

namespace dandelion {

class UdpDatagrams
  : public Service
  , public Datagrams
{
public:
  UdpDatagrams(Loop& aLoop, Endpoint aListen, SharedKeys aKeys);
  ~UdpDatagrams() override;

  absl::Status Start() override;

  void Send(const Endpoint& aTo, const Datagram& aDatagram) override;
  void AddHandler(Handler aHandler) override { handlers_.push_back(std::move(aHandler)); }
  uint64_t BytesSent() const override { return bytesSent_; }

private:
  void ReceiveAll();
  void Receive(const Endpoint& aFrom, std::string_view aBytes);

  Loop& loop_;
  Endpoint listen_;
  SharedKeys keys_;
  int socket_ = -1;
  event* readEvent_ = nullptr;
  std::vector<Handler> handlers_;
  uint64_t bytesSent_ = 0;
};

} // namespace dandelion

#endif
