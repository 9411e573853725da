/// Matches calls to the routes of one configuration.
#ifndef DANDELION_ROUTING_ROUTE_TABLE_H
#define DANDELION_ROUTING_ROUTE_TABLE_H

#include "release/Release.h"

#include <map>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>

namespace dandelion {

/// A route with its service and policy from the same configuration.
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

  /// The route of the host with the longest prefix of `aTarget`, or else the one among the routes
  /// without a host. `aTarget` may have a query. `aHost` may have a port and capital letters. The
  /// pointers are valid as long as the table.
  std::optional<ResolvedRoute> Match(std::string_view aTarget, std::string_view aHost = "") const;

  /// The configuration of the routes.
  const Configuration& SourceConfiguration() const { return *configuration_; }

private:
  /// Routes of one host, or those without a host.
  struct HostRoutes
  {
    std::unordered_map<std::string_view, const RouteSpec*> byPrefix;
    /// Lengths of all prefixes, the longest first.
    std::set<size_t, std::greater<>> lengths;
  };

  const RouteSpec* MatchHost(std::string_view aHost, std::string_view aPath) const;

  ConfigurationPtr configuration_;
  std::map<std::string, HostRoutes, std::less<>> byHost_;
};

/// Whether HTTP defines the method as idempotent.
bool IsIdempotentMethod(std::string_view aMethod);

} // namespace dandelion

#endif
