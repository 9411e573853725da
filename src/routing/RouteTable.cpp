#include "routing/RouteTable.h"

#include <algorithm>
#include <array>

namespace dandelion {

namespace {

std::string_view WithoutSlashAtEnd(std::string_view aPrefix)
{
  return aPrefix.size() > 1 && aPrefix.back() == '/' ? aPrefix.substr(0, aPrefix.size() - 1)
                                                     : aPrefix;
}

bool EndsAtSegment(std::string_view aPath, size_t aLength)
{
  return aLength == aPath.size() || aPath[aLength] == '/' || aLength == 1;
}

} // namespace

RouteTable::RouteTable(ConfigurationPtr aConfiguration)
  : configuration_(std::move(aConfiguration))
{
  for (const auto& [name, held] : configuration_->routes) {
    std::string_view prefix = WithoutSlashAtEnd(held.spec.pathPrefix);
    byPrefix_[prefix] = &held.spec;
    lengths_.insert(prefix.size());
  }
}

std::optional<ResolvedRoute> RouteTable::Match(std::string_view aTarget) const
{
  std::string_view path = aTarget.substr(0, aTarget.find_first_of("?#"));
  for (size_t length : lengths_) {
    if (length > path.size() || !EndsAtSegment(path, length)) {
      continue;
    }
    auto found = byPrefix_.find(path.substr(0, length));
    if (found == byPrefix_.end()) {
      continue;
    }
    // `CheckClosed` has made sure that both exist in this very configuration.
    const RouteSpec& route = *found->second;
    return ResolvedRoute{ &route,
                          &configuration_->services.at(route.service).spec,
                          &configuration_->policies.at(route.policy).spec };
  }
  return std::nullopt;
}

bool IsIdempotentMethod(std::string_view aMethod)
{
  constexpr std::array<std::string_view, 5> kIdempotent = {
    "GET", "HEAD", "OPTIONS", "PUT", "DELETE"
  };
  return std::find(kIdempotent.begin(), kIdempotent.end(), aMethod) != kIdempotent.end();
}

} // namespace dandelion
