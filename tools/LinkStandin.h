/// Simulates the paid link between regions: forwards TCP and UDP with a delay and a limited rate,
/// counts bytes by direction, and closes or stalls connections on request.
#ifndef DANDELION_TOOLS_LINK_STANDIN_H
#define DANDELION_TOOLS_LINK_STANDIN_H

#include "wire/Wire.h"

#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace dandelion {

/// Forwards traffic for endpoint `from` to endpoint `to`. Mappings with the same `direction` share
/// its rate.
struct LinkMapping
{
  Endpoint from;
  Endpoint to;
  std::string direction;
};

struct LinkTraits
{
  Endpoint control;
  /// Delay in each direction.
  int64_t delayMs = 20;
  int64_t kilobitsPerSecond = 30000;
  std::vector<LinkMapping> mappings;
};

/// Faults, set through `POST /control`.
struct LinkFaults
{
  /// Closes all connections, refuses new ones and drops datagrams.
  bool isCut = false;
  /// Connections that are open now stay open but never pass data again; new ones work.
  bool stallsOpenConnections = false;
};

template<class Visitor>
void VisitFields(Visitor& aVisitor, LinkMapping& aMapping)
{
  aVisitor.Field("from", aMapping.from);
  aVisitor.Field("to", aMapping.to);
  aVisitor.Field("direction", aMapping.direction);
}

template<class Visitor>
void VisitFields(Visitor& aVisitor, LinkTraits& aTraits)
{
  aVisitor.Field("control", aTraits.control);
  aVisitor.OptionalField("delay_ms", aTraits.delayMs, IntegerRange{ 0, 10000 });
  aVisitor.OptionalField(
    "kilobits_per_second", aTraits.kilobitsPerSecond, IntegerRange{ 1, 100000000 });
  aVisitor.Field("mappings", aTraits.mappings);
}

template<class Visitor>
void VisitFields(Visitor& aVisitor, LinkFaults& aFaults)
{
  aVisitor.OptionalField("cut", aFaults.isCut);
  aVisitor.OptionalField("silence_present", aFaults.stallsOpenConnections);
}

class LinkStandin
{
public:
  LinkStandin(Loop& aLoop, LinkTraits aTraits);
  ~LinkStandin();

  absl::Status Start();
  void SetFaults(const LinkFaults& aFaults);

private:
  class TcpForwarder;
  class UdpForwarder;

  void OnControl(const std::shared_ptr<HttpExchange>& aExchange);
  /// What is under way in one direction, in the order of its arrival.
  struct Direction
  {
    struct Delivery
    {
      TimePoint at;
      std::function<void()> deliver;
    };
    TimePoint freeAt;
    std::deque<Delivery> deliveries;
    Timer timer;
  };

  /// Simulates the transmission of `aBytes` in a direction: runs `aDeliver` after the transmission
  /// time at the limited rate and the delay.
  void Transmit(const std::string& aDirection, size_t aBytes, std::function<void()> aDeliver);
  /// Runs the deliveries that are due, and waits for the next one.
  void DeliverDue(Direction& aDirection);
  void Accept(const LinkMapping& aMapping, int aSocket);

  Loop& loop_;
  LinkTraits traits_;
  LinkFaults faults_;
  HttpServer control_;
  std::vector<struct evconnlistener*> listeners_;
  std::vector<std::unique_ptr<UdpForwarder>> udp_;
  uint64_t nextId_ = 1;
  std::map<uint64_t, std::unique_ptr<TcpForwarder>> tcp_;
  std::map<std::string, Direction> directions_;
  std::map<std::string, uint64_t> tcpBytes_;
  std::map<std::string, uint64_t> udpBytes_;
};

} // namespace dandelion

#endif
