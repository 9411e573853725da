/// Messages between nodes, sent over links and as datagrams.
#ifndef DANDELION_WIRE_MESSAGES_H
#define DANDELION_WIRE_MESSAGES_H

#include "accounts/Accounts.h"
#include "codec/Codec.h"
#include "routing/Routing.h"
#include "spread/Spread.h"
#include "versions/Versions.h"

#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace dandelion {

/// Each pair of nodes uses separate links for these lanes, so that bulk messages do not delay short
/// ones.
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

/// First message on a connection of a link, sent by the node that opened it.
struct Hello
{
  std::string sender;
  Endpoint endpoint;
  /// The sender's signature over the connection's challenge and the other fields, in hexadecimal
  /// digits.
  std::string proof = {};
  /// A random number that identifies the link.
  uint64_t token = 0;
  /// Whether the link was open before over another connection.
  bool resumes = false;
  /// Numbered frames that the sender has received on the link.
  uint64_t received = 0;
};

/// Requests all entries after a version.
struct PullEntries
{
  Version after = 0;
};

struct EntriesDelivery
{
  std::vector<Entry> entries;
};

/// A full configuration, for a node that is too many versions behind to receive entries.
struct SnapshotDelivery
{
  Configuration configuration;
  std::string hash;
};

/// The changes from a version that the receiver has to a later one.
struct DeltasDelivery
{
  std::vector<ConfigurationDelta> deltas;
};

/// Sent by a joining node to ask a peer for what it knows about the node's slot.
struct JoinQuery
{
  std::string slot;
};

/// Asks a relay for the rollout progress of a version.
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

/// A call that is forwarded to the node of an upstream.
struct OpenCall
{
  uint64_t id = 0;
  /// The configuration version and the route by which the call was routed.
  Version version = 0;
  std::string route;
  std::string service;
  TrafficClass trafficClass = TrafficClass::Interactive;
  /// Time left until the caller's deadline, in milliseconds.
  int64_t deadlineMs = 0;
  /// Number of retries that calls made on behalf of this call may use.
  int64_t retriesLeft = 0;
  std::string method;
  std::string target;
  std::vector<HeaderField> headers;
  Bytes body;
  /// The policy of the route. Calls with the same policy have similar service times.
  std::string policy = {};
  /// Time left until the target latency of the policy, in milliseconds; 0 where there is no target.
  int64_t targetMs = 0;
  /// For a short-wait send: the longest queue delay that the caller's node accepts, in
  /// milliseconds. If it is exceeded, the call is refused and the caller's node sends it to another
  /// upstream.
  std::optional<int64_t> maxQueueDelayMs = {};
  /// Rank among the calls that wait for a slot; 0 is the highest.
  int64_t priority = 1;
  /// Whether executing the call more than once is harmless.
  bool isIdempotent = false;

  /// Service of the node that accepted the call from its caller.
  std::string callerService = {};
  /// The caller's ID of the call, for logs and for matching answers of the upstream.
  std::string requestId = {};
  /// The upstream incarnation that the call is addressed to. Set by the upstream's node.
  std::string upstreamId = {};
  /// Name of the client account that sent the call; empty for an anonymous one.
  std::string account = {};
  /// Whether the node that accepted the call is in another availability zone.
  bool isFromOtherZone = false;
};

struct CallReply
{
  uint64_t id = 0;
  CallOutcome outcome = CallOutcome::Unknown;
  /// Kind of the error where there is no answer of the upstream.
  std::optional<ErrorKind> error;
  /// Whether calls deeper in the call chain were already retried without success.
  bool isRetried = false;
  int64_t status = 0;
  std::vector<HeaderField> headers;
  Bytes body;
  /// Calls that run or are queued at the upstream's node, for the choice of an upstream.
  int64_t queueLength = 0;
  /// Whether the call was sent to the upstream, even if the upstream refused it.
  bool hasReachedUpstream = false;
  /// Queue estimate for another call of the same cost class: slots, expected queue delay and
  /// expected service time.
  int64_t slots = 0;
  int64_t freeSlots = 0;
  int64_t queueDelayUs = 0;
  int64_t serviceTimeUs = 0;
  /// Estimated time until a large answer that is queued on the links now has been sent.
  int64_t linkDelayUs = 0;
  /// Time that the call spent at the upstream's node. The rest of the latency is network time.
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
                                 CancelCall,
                                 TokenRequest,
                                 TokenGrant>;

/// A message on a link with its sender's configuration version.
struct LinkEnvelope
{
  Version version = 0;
  LinkMessage message;
};

/// Reports the version that a node has in force to the relays of its zone. It is sent repeatedly
/// until they acknowledge it.
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

/// Passes on that the store has shown `version` to be the newest one `ageMs` ago.
struct VersionConfirmation
{
  std::string sender;
  Version version = 0;
  int64_t ageMs = 0;
  /// A revision of the store of which the newest version was not later than `version`.
  int64_t revision = 0;
};

using Datagram = std::variant<Ping,
                              Ack,
                              PingRequest,
                              VersionReport,
                              VersionReportAck,
                              ZoneReport,
                              VersionConfirmation,
                              RolloutReport,
                              RolloutPermit>;

template<class Visitor>
void VisitFields(Visitor& aVisitor, Hello& aHello)
{
  aVisitor.Field("sender", aHello.sender);
  aVisitor.Field("endpoint", aHello.endpoint);
  aVisitor.Field("proof", aHello.proof);
  aVisitor.Field("token", aHello.token);
  aVisitor.Field("resumes", aHello.resumes);
  aVisitor.Field("received", aHello.received);
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
  aVisitor.Field("account", aCall.account);
  aVisitor.Field("other_zone", aCall.isFromOtherZone);
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

template<class Visitor>
void VisitFields(Visitor& aVisitor, VersionConfirmation& aConfirmation)
{
  aVisitor.Field("sender", aConfirmation.sender);
  aVisitor.Field("version", aConfirmation.version);
  aVisitor.Field("age_ms", aConfirmation.ageMs);
  aVisitor.Field("revision", aConfirmation.revision);
}

} // namespace dandelion

#endif
