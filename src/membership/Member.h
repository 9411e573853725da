/// A member: the node of one upstream's slot, as other nodes know it.
#ifndef DANDELION_MEMBERSHIP_MEMBER_H
#define DANDELION_MEMBERSHIP_MEMBER_H

#include "kernel/Kernel.h"

#include <string>

namespace dandelion {

/// In increasing order of precedence: of two records of one incarnation, the later state wins.
enum class MemberState
{
  Alive,
  Suspect,
  Leaving,
  Gone,
};

template<>
struct EnumNames<MemberState>
{
  static constexpr EnumName<MemberState> kTable[] = {
    { MemberState::Alive, "alive" },
    { MemberState::Suspect, "suspect" },
    { MemberState::Leaving, "leaving" },
    { MemberState::Gone, "gone" },
  };
};

/// IP address and port. TCP links and UDP datagrams of a node use the same port.
struct Endpoint
{
  std::string ip;
  uint16_t port = 0;

  bool operator==(const Endpoint& aOther) const { return ip == aOther.ip && port == aOther.port; }
  bool operator!=(const Endpoint& aOther) const { return !(*this == aOther); }
  bool operator<(const Endpoint& aOther) const
  {
    return ip != aOther.ip ? ip < aOther.ip : port < aOther.port;
  }
};

/// "ip:port".
inline std::string ToText(const Endpoint& aEndpoint)
{
  return fmt::format("{}:{}", aEndpoint.ip, aEndpoint.port);
}

/// Parses a text such as "10.0.0.1:80". Returns nothing if the text has another form.
std::optional<Endpoint> ParseEndpoint(std::string_view aText);

template<>
struct TextForm<Endpoint>
{
  static constexpr bool kExists = true;
  static constexpr const char* kFormat = "\"10.0.0.1:80\"";
  static std::optional<Endpoint> Parse(std::string_view aText) { return ParseEndpoint(aText); }
};

struct Member
{
  /// Name of the slot. An instance that replaces another in the slot has the same id.
  std::string id;
  std::string region;
  std::string zone;
  /// Service of the upstream that the node runs next to.
  std::string service;
  Endpoint endpoint;
  /// Endpoint for nodes of other regions; the same as `endpoint` unless addresses are translated.
  Endpoint crossRegionEndpoint;
  /// Increases with each start of the process, and when the node refutes a suspicion or changes
  /// other fields of its record.
  uint64_t incarnation = 0;
  MemberState state = MemberState::Alive;
  /// Highest configuration version that the slot is known to have had in force.
  uint64_t version = 0;
  /// Number of calls that the upstream runs concurrently, as far as its node knows; 0 while it
  /// accepts no work.
  int64_t slots = 1;
  /// Capacity that the node's instance has beside its upstream, relative to other members. The
  /// members of a zone with the highest values are its relays.
  int64_t relayCapacity = 0;
  /// Latency of the store's answers to this node; 0 while the store does not answer it.
  int64_t storeLatencyMs = 0;
  /// Software version that the upstream reports; empty if it reports none.
  std::string upstreamVersion = {};
};

template<class Visitor>
void VisitFields(Visitor& aVisitor, Endpoint& aEndpoint)
{
  aVisitor.Field("ip", aEndpoint.ip);
  aVisitor.Field("port", aEndpoint.port);
}

template<class Visitor>
void VisitFields(Visitor& aVisitor, Member& aMember)
{
  aVisitor.Field("id", aMember.id);
  aVisitor.Field("region", aMember.region);
  aVisitor.Field("zone", aMember.zone);
  aVisitor.Field("service", aMember.service);
  aVisitor.Field("endpoint", aMember.endpoint);
  aVisitor.Field("far_endpoint", aMember.crossRegionEndpoint);
  aVisitor.Field("incarnation", aMember.incarnation);
  aVisitor.Field("state", aMember.state);
  aVisitor.Field("version", aMember.version);
  aVisitor.Field("slots", aMember.slots);
  aVisitor.Field("strength", aMember.relayCapacity);
  aVisitor.Field("store_time_ms", aMember.storeLatencyMs);
  aVisitor.Field("upstream_version", aMember.upstreamVersion);
}

/// Returns the endpoint at which nodes of `aRegion` reach the member.
inline const Endpoint& EndpointFrom(const std::string& aRegion, const Member& aMember)
{
  return aRegion == aMember.region ? aMember.endpoint : aMember.crossRegionEndpoint;
}

/// Whether the node may act as a relay and receive requests.
inline bool IsActive(const Member& aMember)
{
  return aMember.state == MemberState::Alive || aMember.state == MemberState::Suspect;
}

/// Whether the node's upstream may receive new calls.
inline bool AcceptsWork(const Member& aMember)
{
  return IsActive(aMember) && aMember.slots > 0;
}

} // namespace dandelion

#endif
