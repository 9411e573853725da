#include "platform/Vocabulary.h"

namespace dandelion::platform {

CallVocabulary MakeVocabulary()
{
  CallVocabulary vocabulary;
  vocabulary.deadline = "Dandelionvale-Deadline-Ms";
  vocabulary.requestId = "Dandelionvale-Request-Id";
  vocabulary.targetUpstream = "Dandelionvale-Target-Instance";
  vocabulary.callerService = "Dandelionvale-Caller-Service";
  vocabulary.refusal = "Dandelionvale-Not-Executed";
  vocabulary.refusalValue = "";
  vocabulary.receipt = "Dandelionvale-Server-Signature";
  vocabulary.upstreamId = "Dandelionvale-Instance-Id";
  vocabulary.carriesChain = false;
  vocabulary.passesOverBadLimits = true;
  return vocabulary;
}

} // namespace dandelion::platform
