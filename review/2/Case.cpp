/// A node restarts beside its running backend, whose next report is late. The report opens more
/// slots while calls wait; then a configuration moves their route, and the node ends by itself.
#include "Rig.h"

using namespace rig;

namespace {

constexpr int kCapacity = 6;
constexpr int kLongCalls = 6;
constexpr int kOtherClients = 6;
constexpr int kWorkMs = 4000;
/// `stable-window`, and a margin.
constexpr double kStableSeconds = 3.5;
/// `grace`.
constexpr double kGraceSeconds = 6;
/// LOST is broken by more than three closed channels.
constexpr int kMaxClosed = 3;

} // namespace

int main(int aCount, char** aWords)
{
  bool isTrouble = Begin(aCount, aWords);
  int storePort = FreePort();
  Store store(storePort);
  Node courses("node-courses", "zone-a", "courses", storePort);
  Node records("node-records", "zone-b", "records", storePort);
  Backend coursesBackend("i-courses-1", "courses", kCapacity, courses.app, courses.control);
  Backend recordsBackend("i-records-1", "records", 18, records.app, records.control);
  std::vector<std::string> services = { "courses", "records" };
  Json routes = Json::array({ Route("courses", "/courses/", "unsafe", "courses"),
                              Route("moving", "/moving/", "unsafe", "courses"),
                              Route("records", "/records/", "unsafe", "records") });
  store.PutConfiguration(Configuration(1, routes, services));
  courses.Start(true);
  records.Start(true);
  coursesBackend.StartReports(1.0);
  recordsBackend.StartReports(1.0);
  WaitUntilServing({ &courses, &records }, { "/courses/a", "/records/a", "/moving/a" });

  if (isTrouble) {
    // The node is stopped and started on its own. The backend's reports after that are late.
    courses.Signal(SIGTERM);
    Require(courses.WaitForEnd(kGraceSeconds), "the node does not stop within its grace");
    courses.Forget();
    coursesBackend.HoldReports();
    courses.Start(false);
    WaitUntilServing({ &courses, &records }, { "/courses/a", "/records/a", "/moving/a" });
  }
  Sleep(kStableSeconds);

  // Clients of the node's machine whose requests run at the other backend.
  std::atomic<int> closed{ 0 };
  std::atomic<int> served{ 0 };
  std::vector<std::thread> clients;
  for (int i = 0; i < kOtherClients; ++i) {
    clients.emplace_back([&] {
      Channel channel(courses.outbound);
      channel.Send("POST", "/records/short", 5);
      std::string id = NewRequestId();
      Answer answer = channel.Send("POST", "/records/long", kWorkMs, 8000, "deposit", id);
      closed += answer.status == 0 && recordsBackend.CountRuns(id) > 0 ? 1 : 0;
      served += answer.status == 200 ? 1 : 0;
    });
  }
  // Requests from the other machine to the backend beside the node; some of them wait for a slot.
  for (int i = 0; i < kLongCalls; ++i) {
    clients.emplace_back([&] {
      Channel channel(records.outbound);
      channel.Send("POST", "/moving/long", kWorkMs, 8000, "seat");
    });
  }
  Sleep(0.5);
  if (isTrouble) {
    coursesBackend.DeliverHeldReports();
  }
  Sleep(0.1);
  // The operator moves the route to the other service.
  routes[1] = Route("moving", "/moving/", "unsafe", "records");
  store.PutConfiguration(Configuration(2, routes, services));
  for (std::thread& client : clients) {
    client.join();
  }
  Node::End end = courses.Poll();
  courses.RecordLog(8);
  bool hasCrashed = end.hasEnded && end.isOwnEnd;
  // The rule holds for machines in touch: the start of the process lies `stable-window` before.
  double sinceStart = end.at - courses.StartedAt();
  Require(!hasCrashed || sinceStart > kStableSeconds, "the machine was not in touch yet");
  Note("the process had run for " + std::to_string(sinceStart) + " s");
  Note(std::string("node-courses ") + (hasCrashed ? "has ended by itself" : "still runs") + "; " +
       std::to_string(closed) + " kept channels with a request at a backend were closed without an " +
       "answer, " + std::to_string(served) + " got a success");
  if (hasCrashed && closed > kMaxClosed) {
    Finish(kBroken,
           "LOST: the node ended by itself; " + std::to_string(closed) +
             " kept channels closed without an answer");
  }
  Finish(kHeld, "LOST holds: " + std::to_string(closed) + " channels closed");
}
