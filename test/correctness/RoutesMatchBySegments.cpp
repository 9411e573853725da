/// Checks that a call matches the route with the longest prefix that ends at a segment boundary. A
/// comparison that ignores segments would send `/r0/deeper` to the route of `/r0/deep`.
#include "support/Check.h"
#include "support/Notes.h"

#include "routing/Routing.h"

using namespace dandelion;
using namespace dandelion::testing;

namespace {

std::string Matched(const RouteTable& aTable, const char* aTarget)
{
  auto route = aTable.Match(aTarget);
  return route.has_value() ? route->route->name : "";
}

} // namespace

Test(route_table, matches_longest_prefix_at_segment_boundary)
{
  Note note;
  note.id = "more";
  note.add.routes = { RouteSpec{ "deep", "/r0/deep/", "s1", "policy" },
                      RouteSpec{ "root", "/", "s0", "policy" } };
  Configuration first = MakeFirstConfiguration();
  auto configuration = Apply(first, note, first.version);
  cr_assert(configuration.ok());
  RouteTable table(std::make_shared<Configuration>(*configuration));
  cr_assert_eq(Matched(table, "/r0"), "r0");
  cr_assert_eq(Matched(table, "/r0/x?y=/r1"), "r0");
  cr_assert_eq(Matched(table, "/r0/deep"), "deep");
  cr_assert_eq(Matched(table, "/r0/deep/er"), "deep");
  cr_assert_eq(Matched(table, "/r0/deeper"), "r0");
  cr_assert_eq(Matched(table, "/r00"), "root");
  cr_assert_eq(Matched(table, "*"), "");
  cr_assert_eq(Matched(table, ""), "");
}
