/// The configuration grows by many routes, each with its own timeout. The store acknowledges it,
/// and no node ever applies it.
#include "Rig.h"

using namespace rig;

namespace {

/// The site's figures: `idle_routes` and the largest `big_config`.
constexpr int kIdleRoutes = 300;
constexpr int kAddedRoutes = 350;
/// `config-apply`, and `stable-window` with a margin.
constexpr double kApplySeconds = 2.5;
constexpr double kStableSeconds = 3.5;
constexpr double kWatchedSeconds = 15;

Json IdleRoutes(int aFirst, int aCount, bool aHasOwnTimeouts)
{
  Json routes = Json::array();
  for (int i = aFirst; i < aFirst + aCount; ++i) {
    std::string name = "idle-" + std::to_string(i);
    routes.push_back(
      Route(name, "/" + name + "/", "safe", "courses", aHasOwnTimeouts ? 1000 + i : 1000, 400));
  }
  return routes;
}

void Append(Json& aRoutes, const Json& aMore)
{
  for (const Json& route : aMore) {
    aRoutes.push_back(route);
  }
}

} // namespace

int main(int aCount, char** aWords)
{
  bool isTrouble = Begin(aCount, aWords);
  int storePort = FreePort();
  Store store(storePort);
  Node courses("node-courses", "zone-a", "courses", storePort);
  Node records("node-records", "zone-b", "records", storePort);
  Backend coursesBackend("i-courses-1", "courses", 6, courses.app, courses.control);
  Backend recordsBackend("i-records-1", "records", 6, records.app, records.control);
  std::vector<std::string> services = { "courses", "records" };

  Json first = Json::array({ Route("courses", "/courses/", "safe", "courses"),
                             Route("records", "/records/", "safe", "records"),
                             Route("moving", "/moving/", "safe", "courses") });
  Append(first, IdleRoutes(0, kIdleRoutes, isTrouble));
  store.PutConfiguration(Configuration(7, first, services));
  courses.Start(true);
  records.Start(true);
  coursesBackend.StartReports(1.0);
  recordsBackend.StartReports(1.0);
  WaitUntilServing({ &courses, &records }, { "/courses/a", "/records/a", "/moving/a" });
  Sleep(kStableSeconds);

  // The next version moves a route to the other service and adds the routes.
  Json second = first;
  second[2] = Route("moving", "/moving/", "safe", "records");
  Append(second, IdleRoutes(kIdleRoutes, kAddedRoutes, isTrouble));
  store.PutConfiguration(Configuration(12, second, services));
  double acknowledgedAt = Now();
  int byOldService = 0;
  int byNewService = 0;
  int notFound = 0;
  int sent = 0;
  while (Now() < acknowledgedAt + kApplySeconds + kWatchedSeconds) {
    bool isDue = Now() > acknowledgedAt + kApplySeconds;
    for (Node* node : { &courses, &records }) {
      Channel channel(node->outbound);
      Answer moved = channel.Send("GET", "/moving/x", 5, 2000);
      Answer added = channel.Send("GET", "/idle-640/x", 5, 2000);
      if (isDue) {
        ++sent;
        byOldService += moved.body.find("i-courses-1") != std::string::npos ? 1 : 0;
        byNewService += moved.body.find("i-records-1") != std::string::npos ? 1 : 0;
        notFound += added.status == 404 ? 1 : 0;
      }
    }
    Sleep(0.2);
  }
  courses.RecordLog(4);
  Note("of " + std::to_string(sent) + " requests sent later than config-apply, " +
       std::to_string(byOldService) + " were run by the old service and " +
       std::to_string(byNewService) + " by the new one; of as many on an added route, " +
       std::to_string(notFound) + " got 404");
  if (byOldService > 0 || notFound > 0) {
    Finish(kBroken,
           "CONFIG: " + std::to_string(byOldService) + " requests run by the old service, " +
             std::to_string(notFound) + " refused with 404");
  }
  Require(byNewService > 0, "the moved route is not served");
  Finish(kHeld, "CONFIG holds");
}
