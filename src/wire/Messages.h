/// What nodes send each other, over links and as datagrams.
#ifndef DANDELION_WIRE_MESSAGES_H
#define DANDELION_WIRE_MESSAGES_H

#include "codec/Codec.h"
#include "routing/Routing.h"
#include "spread/Spread.h"

#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace dandelion {

/// Links of one pair of nodes are kept apart, so that bulk bytes never stand before short ones.
enum class Lane
{
  Control,
  Short,
  Bulk,
};

template<>
struct EnumNames<Lane>
{
  static constexpr EnumName<Lane> kTable[] = {
    { Lane::Control, "control" },
    { Lane::Short, "short" },
    { Lane::Bulk, "bulk" },
  };
};

/// First message on a link, from the side that opened it.
struct Hello
{
  std::string sender;
  Endpoint endpoint;
  /// The sender's signature under this link's challenge.
  std::string proof = {};
};

/// Asks for all entries after a version.
struct PullEntries
{
  Version after = 0;
};

struct EntriesDelivery
{
  std::vector<Entry> entries;
};

/// A whole configuration, for a node that is too far behind for entries.
struct SnapshotDelivery
{
  Configuration configuration;
  std::string hash;
};

/// What leads from a version that the receiver holds to a later one.
struct DeltasDelivery
{
  std::vector<ConfigurationDelta> deltas;
};

/// A joining node asks what its peer knows of its slot.
struct JoinQuery
{
  std::string slot;
};

/// Asks a relay how far a version has come.
struct ProgressQuery
{
  uint64_t id = 0;
  Version version = 0;
};

struct ProgressAnswer
{
  uint64_t id = 0;
  std::vector<ZoneProgress> zones;
};

struct HeaderField
{
  std::string name;
  std::string value;
};

/// A call on its way to the node beside an upstream.
struct OpenCall
{
  uint64_t id = 0;
  /// The configuration version by which the call was routed, and the route.
  Version version = 0;
  std::string route;
  std::string service;
  TrafficClass trafficClass = TrafficClass::Interactive;
  /// What is left of the caller's time.
  int64_t deadlineMs = 0;
  /// Repeats that calls made on behalf of this one may make.
  int64_t retriesLeft = 0;
  std::string method;
  std::string target;
  std::vector<HeaderField> headers;
  Bytes body;
  /// The policy of the route. Calls under one policy take about the same work.
  std::string policy = {};
  /// What is left of the time within which an answer is worth most; 0 where there is no target.
  int64_t targetMs = 0;
  /// The longest wait for a slot that the caller's node accepts: it would rather ask elsewhere.
  std::optional<int64_t> maxQueueDelayMs = {};
  int64_t priority = 1;
  /// Running it twice does no harm.
  bool isIdempotent = false;

  /// The service beside whose upstream the call began.
  std::string callerService = {};
  /// The caller's own name of the call, for logs.
  std::string requestId = {};
  /// The incarnation of the upstream that is meant; known beside the upstream only.
  std::string upstreamId = {};
};

struct CallReply
{
  uint64_t id = 0;
  CallOutcome outcome = CallOutcome::Unknown;
  /// Why the call has no answer of the upstream, where it has none.
  std::optional<ErrorKind> error;
  /// Calls deeper in the chain were repeated in vain.
  bool isRetried = false;
  int64_t status = 0;
  std::vector<HeaderField> headers;
  Bytes body;
  /// Calls that wait beside the upstream, as evidence for the choice of upstream.
  int64_t queueLength = 0;
  /// The call was handed to the upstream, if only to be refused there.
  bool hasReachedUpstream = false;
  /// What the gate expects of a further call of this kind.
  int64_t slots = 0;
  int64_t freeSlots = 0;
  int64_t queueDelayUs = 0;
  int64_t serviceTimeUs = 0;
  /// Time until a large answer that joins those waiting on the links has left.
  int64_t linkDelayUs = 0;
  /// Time that the call has spent beside the upstream; the rest of its time is the way.
  int64_t elapsedUs = 0;
};

struct CancelCall
{
  uint64_t id = 0;
};

using LinkMessage = std::variant<Hello,
                                 PullEntries,
                                 EntriesDelivery,
                                 SnapshotDelivery,
                                 DeltasDelivery,
                                 MemberDigests,
                                 MemberRecords,
                                 JoinQuery,
                                 JoinAnswer,
                                 ProgressQuery,
                                 ProgressAnswer,
                                 OpenCall,
                                 CallReply,
                                 CancelCall>;

/// Every message on a link carries its sender's configuration version.
struct LinkEnvelope
{
  Version version = 0;
  LinkMessage message;
};

/// A node tells its zone's relays which version it has in force, until they acknowledge it.
struct VersionReport
{
  std::string sender;
  Version version = 0;
};

struct VersionReportAck
{
  std::string sender;
  Version version = 0;
};

using Datagram = std::variant<Ping, Ack, PingRequest, VersionReport, VersionReportAck, ZoneReport>;

template<class Visitor>
void VisitFields(Visitor& aVisitor, Hello& aHello)
{
  aVisitor.Field("sender", aHello.sender);
  aVisitor.Field("endpoint", aHello.endpoint);
  aVisitor.Field("proof", aHello.proof);
}

template<class Visitor>
void VisitFields(Visitor& aVisitor, PullEntries& aPull)
{
  aVisitor.Field("after", aPull.after);
}

template<class Visitor>
void VisitFields(Visitor& aVisitor, EntriesDelivery& aDelivery)
{
  aVisitor.Field("entries", aDelivery.entries);
}

template<class Visitor>
void VisitFields(Visitor& aVisitor, SnapshotDelivery& aDelivery)
{
  aVisitor.Field("configuration", aDelivery.configuration);
  aVisitor.Field("hash", aDelivery.hash);
}

template<class Visitor>
void VisitFields(Visitor& aVisitor, DeltasDelivery& aDelivery)
{
  aVisitor.Field("deltas", aDelivery.deltas);
}

template<class Visitor>
void VisitFields(Visitor& aVisitor, JoinQuery& aQuery)
{
  aVisitor.Field("slot", aQuery.slot);
}

template<class Visitor>
void VisitFields(Visitor& aVisitor, ProgressQuery& aQuery)
{
  aVisitor.Field("id", aQuery.id);
  aVisitor.Field("version", aQuery.version);
}

template<class Visitor>
void VisitFields(Visitor& aVisitor, ProgressAnswer& aAnswer)
{
  aVisitor.Field("id", aAnswer.id);
  aVisitor.Field("zones", aAnswer.zones);
}

template<class Visitor>
void VisitFields(Visitor& aVisitor, HeaderField& aHeader)
{
  aVisitor.Field("name", aHeader.name);
  aVisitor.Field("value", aHeader.value);
}

template<class Visitor>
void VisitFields(Visitor& aVisitor, OpenCall& aCall)
{
  aVisitor.Field("id", aCall.id);
  aVisitor.Field("version", aCall.version);
  aVisitor.Field("route", aCall.route);
  aVisitor.Field("service", aCall.service);
  aVisitor.Field("class", aCall.trafficClass);
  aVisitor.Field("deadline_ms", aCall.deadlineMs);
  aVisitor.Field("repeats_left", aCall.retriesLeft);
  aVisitor.Field("method", aCall.method);
  aVisitor.Field("target", aCall.target);
  aVisitor.Field("headers", aCall.headers);
  aVisitor.Field("body", aCall.body);
  aVisitor.Field("policy", aCall.policy);
  aVisitor.Field("target_ms", aCall.targetMs);
  aVisitor.Field("patience_ms", aCall.maxQueueDelayMs);
  aVisitor.Field("priority", aCall.priority);
  aVisitor.Field("idempotent", aCall.isIdempotent);
  aVisitor.Field("caller_service", aCall.callerService);
  aVisitor.Field("request_id", aCall.requestId);
  aVisitor.Field("upstream_id", aCall.upstreamId);
}

template<class Visitor>
void VisitFields(Visitor& aVisitor, CallReply& aReply)
{
  aVisitor.Field("id", aReply.id);
  aVisitor.Field("outcome", aReply.outcome);
  aVisitor.Field("error", aReply.error);
  aVisitor.Field("retried", aReply.isRetried);
  aVisitor.Field("status", aReply.status);
  aVisitor.Field("headers", aReply.headers);
  aVisitor.Field("body", aReply.body);
  aVisitor.Field("queue_length", aReply.queueLength);
  aVisitor.Field("reached_upstream", aReply.hasReachedUpstream);
  aVisitor.Field("slots", aReply.slots);
  aVisitor.Field("free_slots", aReply.freeSlots);
  aVisitor.Field("wait_us", aReply.queueDelayUs);
  aVisitor.Field("work_us", aReply.serviceTimeUs);
  aVisitor.Field("link_wait_us", aReply.linkDelayUs);
  aVisitor.Field("elapsed_us", aReply.elapsedUs);
}

template<class Visitor>
void VisitFields(Visitor& aVisitor, CancelCall& aCancel)
{
  aVisitor.Field("id", aCancel.id);
}

template<class Visitor>
void VisitFields(Visitor& aVisitor, LinkEnvelope& aEnvelope)
{
  aVisitor.Field("version", aEnvelope.version);
  aVisitor.Field("message", aEnvelope.message);
}

template<class Visitor>
void VisitFields(Visitor& aVisitor, VersionReport& aReport)
{
  aVisitor.Field("sender", aReport.sender);
  aVisitor.Field("version", aReport.version);
}

template<class Visitor>
void VisitFields(Visitor& aVisitor, VersionReportAck& aAck)
{
  aVisitor.Field("sender", aAck.sender);
  aVisitor.Field("version", aAck.version);
}

} // namespace dandelion

#endif
