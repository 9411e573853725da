/// The datagrams with which members probe each other, and the link messages that compare tables.
#ifndef DANDELION_MEMBERSHIP_PROBE_MESSAGES_H
#define DANDELION_MEMBERSHIP_PROBE_MESSAGES_H

#include "membership/MemberTable.h"

#include <string>
#include <variant>
#include <vector>

namespace dandelion {

/// The part of every datagram that describes its sender and passes on member records.
struct Gossip
{
  std::string sender;
  /// The sender's configuration version.
  uint64_t version = 0;
  /// `MemberTable::Digest` of the sender.
  uint64_t digest = 0;
  std::vector<Member> updates;
};

/// Requests an `Ack` with the same sequence number.
struct Ping
{
  uint64_t sequence = 0;
  Gossip gossip;
};

struct Ack
{
  uint64_t sequence = 0;
  Gossip gossip;
};

/// Requests that the receiver probes `target` and forwards its `Ack`.
struct PingRequest
{
  uint64_t sequence = 0;
  Endpoint target;
  Gossip gossip;
};

using ProbeMessage = std::variant<Ping, Ack, PingRequest>;

/// Sent over a link: requests the records of zones whose digests differ.
struct MemberDigests
{
  ZoneDigests digests;
};

/// Sent over a link: records of the zones in which the two tables differ.
struct MemberRecords
{
  std::vector<Member> records;
  /// The digests of the sender, if it requests the receiver's records in return.
  std::optional<ZoneDigests> wanted;
};

template<class Visitor>
void VisitFields(Visitor& aVisitor, Gossip& aGossip)
{
  aVisitor.Field("sender", aGossip.sender);
  aVisitor.Field("version", aGossip.version);
  aVisitor.Field("digest", aGossip.digest);
  aVisitor.Field("updates", aGossip.updates);
}

template<class Visitor>
void VisitFields(Visitor& aVisitor, Ping& aPing)
{
  aVisitor.Field("sequence", aPing.sequence);
  aVisitor.Field("gossip", aPing.gossip);
}

template<class Visitor>
void VisitFields(Visitor& aVisitor, Ack& aAck)
{
  aVisitor.Field("sequence", aAck.sequence);
  aVisitor.Field("gossip", aAck.gossip);
}

template<class Visitor>
void VisitFields(Visitor& aVisitor, PingRequest& aRequest)
{
  aVisitor.Field("sequence", aRequest.sequence);
  aVisitor.Field("target", aRequest.target);
  aVisitor.Field("gossip", aRequest.gossip);
}

template<class Visitor>
void VisitFields(Visitor& aVisitor, MemberDigests& aDigests)
{
  aVisitor.Field("digests", aDigests.digests);
}

template<class Visitor>
void VisitFields(Visitor& aVisitor, MemberRecords& aRecords)
{
  aVisitor.Field("records", aRecords.records);
  aVisitor.Field("wanted", aRecords.wanted);
}

} // namespace dandelion

#endif
