/// Interfaces of the services that face callers and the platform.
#ifndef DANDELION_DANDELIOND_FRONT_SERVICES_H
#define DANDELION_DANDELIOND_FRONT_SERVICES_H

#include "dandeliond/NodeContext.h"

#include <functional>

namespace dandelion {

/// `ServiceName::Readiness`: answers the platform's readiness checks of this node.
class Readiness
{
public:
  virtual ~Readiness() = default;
  /// Answers all further checks with "not ready".
  virtual void BeginStop() = 0;
};

/// `ServiceName::Front`: accepts requests of callers.
class Front
{
public:
  virtual ~Front() = default;
  /// From now on answers tell callers that their connection closes.
  virtual void BeginClosing() = 0;
  /// Accepts no new connections; requests in progress are answered.
  virtual void StopListening() = 0;
  /// Connections with a request in progress.
  virtual size_t BusyConnections() const = 0;
};

} // namespace dandelion

#endif
