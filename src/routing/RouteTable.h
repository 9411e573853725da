/// Finds the route of a call in one configuration.
#ifndef DANDELION_ROUTING_ROUTE_TABLE_H
#define DANDELION_ROUTING_ROUTE_TABLE_H

#include "release/Release.h"

#include <set>
#include <string>
#include <string_view>
#include <unordered_map>

namespace dandelion {

/// A route with the service and the policy that the same configuration holds.
struct ResolvedRoute
{
  const RouteSpec* route = nullptr;
  const ServiceSpec* service = nullptr;
  const PolicySpec* policy = nullptr;
};

class RouteTable
{
public:
  explicit RouteTable(ConfigurationPtr aConfiguration);

  /// The route with the longest prefix that ends at a path segment of `aTarget`, which may have a
  /// query. The pointers live as long as the table.
  std::optional<ResolvedRoute> Match(std::string_view aTarget) const;

  const Configuration& Source() const { return *configuration_; }

private:
  ConfigurationPtr configuration_;
  std::unordered_map<std::string_view, const RouteSpec*> byPrefix_;
  /// Lengths of all prefixes, longest first.
  std::set<size_t, std::greater<>> lengths_;
};

/// Whether a method may be sent again by the rules of HTTP.
bool IsIdempotentMethod(std::string_view aMethod);

} // namespace dandelion

#endif
