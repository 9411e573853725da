/// Finds the route of a call in one configuration.
#ifndef DANDELION_ROUTING_ROUTE_TABLE_H
#define DANDELION_ROUTING_ROUTE_TABLE_H

#include "release/Release.h"

#include <map>
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

  /// The route with the longest prefix of `aTarget`, which may have a query, among the routes of
  /// the host; among those of every host where the host has none that matches. `aHost` may have a
  /// port and capital letters. The pointers live as long as the table.
  std::optional<ResolvedRoute> Match(std::string_view aTarget, std::string_view aHost = "") const;

  const Configuration& Source() const { return *configuration_; }

private:
  /// The routes of one host, or of every host.
  struct HostRoutes
  {
    std::unordered_map<std::string_view, const RouteSpec*> byPrefix;
    /// Lengths of all prefixes, longest first.
    std::set<size_t, std::greater<>> lengths;
  };

  const RouteSpec* MatchHost(std::string_view aHost, std::string_view aPath) const;

  ConfigurationPtr configuration_;
  std::map<std::string, HostRoutes, std::less<>> byHost_;
};

/// Whether a method may be sent again by the rules of HTTP.
bool IsIdempotentMethod(std::string_view aMethod);

} // namespace dandelion

#endif
