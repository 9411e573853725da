/// A small stand-in for the paid link between regions: forwards TCP and UDP with delay and limited
/// rate, counts bytes by direction, and can be cut or go silent on request.
#ifndef DANDELION_TOOLS_LINK_STANDIN_H
#define DANDELION_TOOLS_LINK_STANDIN_H

#include "wire/Wire.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace dandelion {

/// Traffic to `from` is carried to `to`. Mappings with one `direction` share its rate.
struct LinkMapping
{
  Endpoint from;
  Endpoint to;
  std::string direction;
};

struct LinkTraits
{
  Endpoint control;
  int64_t delayMs = 20;
  int64_t kilobitsPerSecond = 30000;
  std::vector<LinkMapping> mappings;
};

/// Faults, set through `POST /control`.
struct LinkFaults
{
  /// Nothing passes; connections break.
  bool isCut = false;
  /// Connections of the present stay open and pass nothing for good; new ones work.
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
  /// Carries bytes in a direction: `aDeliver` runs when they have arrived.
  void Transmit(const std::string& aDirection, size_t aBytes, std::function<void()> aDeliver);
  void Accept(const LinkMapping& aMapping, int aSocket);

  Loop& loop_;
  LinkTraits traits_;
  LinkFaults faults_;
  HttpServer control_;
  std::vector<struct evconnlistener*> listeners_;
  std::vector<std::unique_ptr<UdpForwarder>> udp_;
  uint64_t nextId_ = 1;
  std::map<uint64_t, std::unique_ptr<TcpForwarder>> tcp_;
  std::map<std::string, TimePoint> freeAt_;
  std::map<std::string, uint64_t> tcpBytes_;
  std::map<std::string, uint64_t> udpBytes_;
  uint64_t nextTimer_ = 1;
  std::map<uint64_t, Timer> timers_;
};

} // namespace dandelion

#endif
