#include "kernel/Registry.h"

#include "kernel/Log.h"

namespace dandelion {

Registry::~Registry()
{
  StopAll();
  // Destructors of later services may use earlier ones, so services are destroyed in reverse order.
  while (!order_.empty()) {
    services_.erase(order_.back());
    order_.pop_back();
  }
}

void Registry::Add(ServiceName aName, std::unique_ptr<Service> aService)
{
  if (!services_.emplace(aName, std::move(aService)).second) {
    Fail(aName, "is registered twice");
  }
  order_.push_back(aName);
}

absl::Status Registry::StartAll()
{
  for (ServiceName name : order_) {
    absl::Status status = services_.at(name)->Start();
    if (!status.ok()) {
      StopAll();
      return status;
    }
    ++started_;
  }
  return absl::OkStatus();
}

void Registry::StopAll()
{
  while (started_ > 0) {
    --started_;
    services_.at(order_[started_])->Stop();
  }
}

void Registry::Fail(ServiceName aName, const char* aProblem)
{
  Log(LogPart::Kernel, LogLevel::Error, "Service {} {}.", NameOf(aName), aProblem);
  std::abort();
}

} // namespace dandelion
