/// The micro-kernel: services that find each other by name, started and stopped in order.
#ifndef DANDELION_KERNEL_REGISTRY_H
#define DANDELION_KERNEL_REGISTRY_H

#include "kernel/EnumNames.h"
#include "kernel/ErrorKind.h"

#include <fmt/format.h>

#include <cstdlib>
#include <map>
#include <memory>
#include <vector>

namespace dandelion {

enum class ServiceName
{
  Store,
  Links,
  Datagrams,
  Upstream,
  UpstreamState,
  Releases,
  ReleaseLog,
  Membership,
  Rollouts,
  Seeds,
  Spreading,
  Following,
  Submissions,
  Admission,
  Carrier,
  AccountCaps,
  Calls,
  Front,
  Readiness,
  Operator,
  Metrics,
};

template<>
struct EnumNames<ServiceName>
{
  static constexpr EnumName<ServiceName> kTable[] = {
    { ServiceName::Store, "store" },
    { ServiceName::Links, "links" },
    { ServiceName::Datagrams, "datagrams" },
    { ServiceName::Upstream, "upstream" },
    { ServiceName::UpstreamState, "upstream-state" },
    { ServiceName::Releases, "releases" },
    { ServiceName::ReleaseLog, "release-log" },
    { ServiceName::Membership, "membership" },
    { ServiceName::Rollouts, "rollouts" },
    { ServiceName::Seeds, "seeds" },
    { ServiceName::Spreading, "spreading" },
    { ServiceName::Following, "following" },
    { ServiceName::Submissions, "submissions" },
    { ServiceName::Admission, "admission" },
    { ServiceName::Carrier, "carrier" },
    { ServiceName::AccountCaps, "account-caps" },
    { ServiceName::Calls, "calls" },
    { ServiceName::Front, "front" },
    { ServiceName::Readiness, "readiness" },
    { ServiceName::Operator, "operator" },
    { ServiceName::Metrics, "metrics" },
  };
};

/// A part of a process that the kernel starts and stops.
class Service
{
public:
  virtual ~Service() = default;

  /// Acquires what the service needs. All services are registered before the first one starts.
  virtual absl::Status Start() { return absl::OkStatus(); }

  /// Accepts no new work from now on. Called in the reverse order of `Start`.
  virtual void Stop() {}
};

class Registry
{
public:
  ~Registry();

  /// Registers a service. Services start in the order in which they were added.
  void Add(ServiceName aName, std::unique_ptr<Service> aService);

  /// Starts all services; the first failure stops those already started and is returned.
  absl::Status StartAll();
  void StopAll();

  /// Returns the service with this name through an abstract interface that it implements.
  /// A missing service or interface is a programming error and aborts the process.
  template<class Interface>
  Interface& Find(ServiceName aName) const
  {
    auto found = services_.find(aName);
    if (found == services_.end()) {
      Fail(aName, "is not registered");
    }
    auto* interface = dynamic_cast<Interface*>(found->second.get());
    if (interface == nullptr) {
      Fail(aName, "does not implement the requested interface");
    }
    return *interface;
  }

private:
  [[noreturn]] static void Fail(ServiceName aName, const char* aProblem);

  std::map<ServiceName, std::unique_ptr<Service>> services_;
  std::vector<ServiceName> order_;
  size_t started_ = 0;
};

} // namespace dandelion

#endif
