/// A member: one node in one upstream's slot, as the others know it.
#ifndef DANDELION_MEMBERSHIP_MEMBER_H
#define DANDELION_MEMBERSHIP_MEMBER_H

#include "kernel/Kernel.h"

#include <string>

namespace dandelion {

/// In order of precedence: of two records of one incarnation the later state holds.
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

/// IP number and port. TCP links and UDP datagrams of a node share one port.
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

/// The endpoint in "10.0.0.1:80", or nothing for another text.
std::optional<Endpoint> ParseEndpoint(std::string_view aText);

template<>
struct TextForm<Endpoint>
{
  static constexpr bool kExists = true;
  static constexpr const char* kShape = "\"10.0.0.1:80\"";
  static std::optional<Endpoint> Parse(std::string_view aText) { return ParseEndpoint(aText); }
};

struct Member
{
  /// Name of the slot; a replaced instance in the same slot keeps it.
  std::string id;
  std::string region;
  std::string zone;
  /// The service whose upstream stands beside the node.
  std::string service;
  Endpoint endpoint;
  /// Where nodes of other regions reach it; the same as `endpoint` unless addresses are translated.
  Endpoint crossRegionEndpoint;
  /// Grows with each start of the process, and when it refutes a suspicion.
  uint64_t incarnation = 0;
  MemberState state = MemberState::Alive;
  /// Highest configuration version that the slot is known to have had in force.
  uint64_t version = 0;
  /// Calls that the upstream runs at a time, as far as its node knows; 0 while it takes no work.
  int64_t slots = 1;
  /// What the node's machine can carry beside its upstream, against others; the strongest members
  /// of a zone act for it.
  int64_t relayCapacity = 0;
  /// Time that the store's answers take to this node; 0 where it has had none.
  int64_t storeLatencyMs = 0;
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
}

/// Where a node of `aRegion` reaches the member.
inline const Endpoint& EndpointFrom(const std::string& aRegion, const Member& aMember)
{
  return aRegion == aMember.region ? aMember.endpoint : aMember.crossRegionEndpoint;
}

/// The node takes part: it may act as a relay and be asked.
inline bool IsActive(const Member& aMember)
{
  return aMember.state == MemberState::Alive || aMember.state == MemberState::Suspect;
}

/// The upstream beside the node may be given new work.
inline bool AcceptsWork(const Member& aMember)
{
  return IsActive(aMember) && aMember.slots > 0;
}

} // namespace dandelion

#endif
