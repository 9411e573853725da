#include "routing/RouteTable.h"

#include "absl/strings/ascii.h"

#include <algorithm>
#include <array>

namespace dandelion {

namespace {

std::string_view WithoutTrailingSlash(std::string_view aPrefix)
{
  return aPrefix.size() > 1 && aPrefix.back() == '/' ? aPrefix.substr(0, aPrefix.size() - 1)
                                                     : aPrefix;
}

absl::string_view ToAbsl(std::string_view aText)
{
  return absl::string_view(aText.data(), aText.size());
}

bool EndsAtSegmentBoundary(std::string_view aPath, size_t aLength)
{
  return aLength == aPath.size() || aPath[aLength] == '/' || aLength == 1;
}

} // namespace

RouteTable::RouteTable(ConfigurationPtr aConfiguration)
  : configuration_(std::move(aConfiguration))
{
  for (const auto& [name, versioned] : configuration_->routes) {
    const RouteSpec& route = versioned.spec;
    std::string_view prefix = route.pathPrefix;
    if (route.matching == PathMatching::BySegments) {
      prefix = WithoutTrailingSlash(prefix);
    }
    HostRoutes& routes = byHost_[route.host];
    routes.byPrefix[prefix] = &route;
    routes.lengths.insert(prefix.size());
  }
}

std::optional<ResolvedRoute> RouteTable::Match(std::string_view aTarget,
                                               std::string_view aHost) const
{
  std::string_view path = aTarget.substr(0, aTarget.find_first_of("?#"));
  std::string host = absl::AsciiStrToLower(ToAbsl(aHost.substr(0, aHost.find(':'))));
  const RouteSpec* route = host.empty() ? nullptr : MatchHost(host, path);
  if (route == nullptr) {
    route = MatchHost("", path);
  }
  if (route == nullptr) {
    return std::nullopt;
  }
  // `CheckConfiguration` ensures that both exist in this configuration.
  return ResolvedRoute{ route,
                        &configuration_->services.at(route->service).spec,
                        &configuration_->policies.at(route->policy).spec };
}

const RouteSpec* RouteTable::MatchHost(std::string_view aHost, std::string_view aPath) const
{
  auto routes = byHost_.find(aHost);
  if (routes == byHost_.end()) {
    return nullptr;
  }
  for (size_t length : routes->second.lengths) {
    if (length > aPath.size()) {
      continue;
    }
    auto found = routes->second.byPrefix.find(aPath.substr(0, length));
    if (found == routes->second.byPrefix.end()) {
      continue;
    }
    bool isLiteral = found->second->matching == PathMatching::Literal;
    if (isLiteral || EndsAtSegmentBoundary(aPath, length)) {
      return found->second;
    }
  }
  return nullptr;
}

bool IsIdempotentMethod(std::string_view aMethod)
{
  constexpr std::array<std::string_view, 5> kIdempotentMethods = {
    "GET", "HEAD", "OPTIONS", "PUT", "DELETE"
  };
  return std::find(kIdempotentMethods.begin(), kIdempotentMethods.end(), aMethod) !=
         kIdempotentMethods.end();
}

} // namespace dandelion
