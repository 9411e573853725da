/// A node that has acknowledged that its backend leaves is killed and started again, and two
/// reports from before the leaving arrive late.
#include "Rig.h"

using namespace rig;

namespace {

constexpr char kHost[] = "hulo84.example";
constexpr int kTimeoutMs = 1500;
constexpr int kTargetMs = 500;
/// The bounds of fvdr-mesh.
constexpr double kDrain = 2.5;
constexpr double kStableWindow = 3;
constexpr double kBeat = 0.87;
/// How late the two reports are.
constexpr double kLate = 3.2;
constexpr double kRestartDelay = 0.5;
/// How long the backend serves after its leaving was acknowledged.
constexpr double kServesFor = 9;

struct Backend
{
  Backend(std::string aId, const Machine& aMachine)
    : id(std::move(aId))
    , reporter(id, aMachine.service, aMachine.control, aMachine.app, aMachine.zone)
    , server(aMachine.app, [this](int aFd) { Serve(aFd); })
  {
  }

  void Serve(int aFd)
  {
    Reader reader(aFd);
    Message request;
    while (reader.Read(request, 60)) {
      if (request.target == "/health") {
        int status = isLeaving ? 503 : 200;
        RECORD("backend %s: status check -> %d", id.c_str(), status);
        SendAll(aFd, Answer(status, "", { { "Dandelionvale-Instance-Id", id } }));
        continue;
      }
      std::string target = request.Header("dandelionvale-target-instance");
      std::string requestId = request.Header("dandelionvale-request-id");
      if (!target.empty() && target != id) {
        SendAll(aFd, Answer(421, "", { { "Dandelionvale-Instance-Id", id } }));
        continue;
      }
      double now = Now();
      double after = now - acknowledgedAt;
      bool isLate = acknowledgedAt > 0 && after > kDrain;
      RECORD("backend %s: runs %s%s",
             id.c_str(),
             requestId.c_str(),
             isLate ? ", later than `drain` after the acknowledgement" : "");
      if (isLate && now > inTouchFrom) {
        ++runsTooLate;
      }
      Sleep(0.1);
      SendAll(aFd,
              Answer(200,
                     "done by " + id + "\n",
                     { { "Dandelionvale-Request-Id", requestId },
                       { "Dandelionvale-Server-Signature", "3e1b.07.5a2" } }));
    }
  }

  std::string id;
  Reporter reporter;
  std::atomic<bool> isLeaving{ false };
  std::atomic<double> acknowledgedAt{ 0 };
  /// From then on the node beside it is in touch, so that runs which are too late count.
  std::atomic<double> inTouchFrom{ 0 };
  std::atomic<int> runsTooLate{ 0 };
  Server server;
};

/// Sends one request after the other at a node, each on a channel of its own.
void SendRequests(const Address& aNode, const char* aName, double aUntil, std::atomic<int>& aCount)
{
  for (int i = 0; Now() < aUntil; ++i) {
    char id[32];
    snprintf(id, sizeof(id), "%s%012x", aName, i);
    int fd = Connect(aNode, 1);
    if (fd >= 0) {
      SendAll(fd,
              std::string("POST /xapu221/sale HTTP/1.1\r\nHost: ") + kHost +
                "\r\nDandelionvale-Request-Id: " + id +
                "\r\nDandelionvale-Deadline-Ms: 3000\r\nContent-Length: 4\r\n\r\nsale");
      Reader reader(fd);
      Message answer;
      bool isWhole = reader.Read(answer, 3);
      RECORD("client: %s -> %d", id, isWhole ? answer.status : 0);
      aCount += isWhole && answer.status == 200 ? 1 : 0;
      close(fd);
    }
    Sleep(0.1);
  }
}

} // namespace

int main()
{
  Record::Get().Open("review/9/record.txt");
  std::string folder = MakeFolder();
  Address storeAddress = FreeAddress();
  Store store(storeAddress);
  Machine first;
  first.store = storeAddress;
  first.service = "wuno96b";
  Machine second = first;
  second.name = "sidecar-chilliwack-b-1";
  second.zone = "chilliwack-b";
  for (Address* address : { &second.app,
                            &second.outbound,
                            &second.ready,
                            &second.control,
                            &second.peers,
                            &second.operators }) {
    *address = FreeAddress();
  }
  store.Put("op/config",
            Configuration(
              7,
              Json::array({ Route(
                "r-sales", kHost, "/xapu221/", "unsafe", first.service, kTimeoutMs, kTargetMs) }),
              Json::array({ Service(first.service) })));
  Backend staying("i-02d9e6b4", first);
  Backend leaving("i-7f3a91c2", second);
  Node firstNode(first, folder);
  Node secondNode(second, folder);
  firstNode.Start();
  secondNode.Start();
  if (!firstNode.WaitUntilReady(20) || !secondNode.WaitUntilReady(20)) {
    Finish(kCannotRun, folder);
  }
  double begin = Now();
  double leaveAt = begin + kStableWindow + 3;
  double end = leaveAt + kServesFor;
  std::thread beats([&] {
    while (Now() < end) {
      staying.reporter.Put(staying.reporter.Body("ready"));
      Sleep(kBeat);
    }
  });
  std::atomic<int> servedByFirst{ 0 };
  std::atomic<int> servedBySecond{ 0 };
  std::thread clients([&] { SendRequests(first.outbound, "a0", end, servedByFirst); });
  std::thread otherClients([&] { SendRequests(second.outbound, "b0", end, servedBySecond); });

  // The last two reports before the leaving are late if there is trouble.
  std::vector<std::thread> late;
  constexpr int kReports = 6;
  constexpr int kLateReports = 2;
  constexpr double kLastBefore = 0.2;
  for (int i = 0; i < kReports; ++i) {
    SleepUntil(leaveAt - kLastBefore - (kReports - 1 - i) * kBeat);
    std::string body = leaving.reporter.Body("ready");
    if (HasTrouble() && i >= kReports - kLateReports) {
      RECORD("backend %s: sends a report that will be late: %s", leaving.id.c_str(), body.c_str());
      late.emplace_back([&leaving, body] {
        Sleep(kLate);
        leaving.reporter.Put(body);
      });
    } else {
      leaving.reporter.Put(body);
    }
  }
  SleepUntil(leaveAt);
  leaving.isLeaving = true;
  int status = leaving.reporter.Delete();
  leaving.acknowledgedAt = Now();
  if (status != 200) {
    RECORD("the leaving was not acknowledged");
    Finish(kCannotRun, folder);
  }
  if (HasTrouble()) {
    secondNode.Signal(SIGKILL, "SIGKILL");
    secondNode.WaitForEnd(5);
    Sleep(kRestartDelay);
    secondNode.Settable().isFirstStart = false;
    secondNode.Start();
    leaving.inTouchFrom = Now() + kStableWindow;
  }
  for (std::thread& thread : late) {
    thread.join();
  }
  clients.join();
  otherClients.join();
  beats.join();
  RECORD("served through the first node: %d, through the second: %d",
         servedByFirst.load(),
         servedBySecond.load());
  if (servedByFirst < 10 || servedBySecond < 10) {
    Finish(kCannotRun, folder);
  }
  RECORD("check DRAIN: %d requests reached %s more than %.1f s after the acknowledgement, sent on "
         "by machines in touch",
         leaving.runsTooLate.load(),
         leaving.id.c_str(),
         kDrain);
  Finish(leaving.runsTooLate > 0 ? kBroken : kHeld, folder);
}
