#include "platform/ProtocolNames.h"

namespace dandelion::platform {

CallHeaderNames MakeCallHeaderNames()
{
  CallHeaderNames headerNames;
  headerNames.deadline = "Dandelionvale-Deadline-Ms";
  headerNames.requestId = "Dandelionvale-Request-Id";
  headerNames.targetUpstream = "Dandelionvale-Target-Instance";
  headerNames.callerService = "Dandelionvale-Caller-Service";
  headerNames.account = "Dandelionvale-Tenant";
  headerNames.refusal = "Dandelionvale-Not-Executed";
  headerNames.refusalValue = "";
  headerNames.answerSignature = "Dandelionvale-Server-Signature";
  headerNames.upstreamId = "Dandelionvale-Instance-Id";
  headerNames.rateLimit = "Server-Limit";
  headerNames.leaving = "Server-Leaving";
  headerNames.propagatesLimits = false;
  headerNames.ignoresInvalidLimits = true;
  return headerNames;
}

} // namespace dandelion::platform
