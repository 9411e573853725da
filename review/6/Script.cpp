/// Two machines stand still for five seconds each, at almost the same time; the one that a sale is
/// sent to comes back half a second after the one that sends it.
#include "Rig.h"

using namespace rig;

namespace {

constexpr char kHost[] = "hulo84.example";
/// The figures of sale-commit on fvdr-mesh.
constexpr int kTimeoutMs = 1500;
constexpr int kTargetMs = 500;
constexpr int kDeadlineMs = 3000;
constexpr double kStableWindow = 3;
/// How long each machine stands still, and how much later the one that runs the sales does.
constexpr double kStandsStill = 5;
constexpr double kLater = 0.55;
/// A sale takes up to 1.4 s on fvdr-mesh.
constexpr double kWork = 1.0;

class Backend
{
public:
  Backend(std::string aId, const Machine& aMachine)
    : reporter(aId, aMachine.service, aMachine.control, aMachine.app, aMachine.zone)
    , id_(std::move(aId))
    , server_(aMachine.app, [this](int aFd) { Serve(aFd); })
  {
  }

  int RunsOf(const std::string& aRequest)
  {
    std::lock_guard<std::mutex> lock(mutex_);
    return runs_[aRequest];
  }

  Reporter reporter;

private:
  void Serve(int aFd)
  {
    Reader reader(aFd);
    Message request;
    while (reader.Read(request, 60)) {
      if (request.target == "/health") {
        SendAll(aFd, Answer(200, "", { { "Dandelionvale-Instance-Id", id_ } }));
        continue;
      }
      std::string requestId = request.Header("dandelionvale-request-id");
      int run = 0;
      {
        std::lock_guard<std::mutex> lock(mutex_);
        run = ++runs_[requestId];
      }
      RECORD("backend %s: runs %s (%s), run %d of this request",
             id_.c_str(),
             requestId.c_str(),
             request.body.c_str(),
             run);
      Sleep(kWork);
      SendAll(aFd,
              Answer(200,
                     "done\n",
                     { { "Dandelionvale-Request-Id", requestId },
                       { "Dandelionvale-Server-Signature", "3e1b.07.5a2" } }));
    }
  }

  std::string id_;
  std::mutex mutex_;
  std::map<std::string, int> runs_;
  Server server_;
};

/// Sends one sale on a channel of its own and records the answer.
int Sell(const Address& aNode, const std::string& aId)
{
  RECORD("client: sends %s", aId.c_str());
  int fd = Connect(aNode, 1);
  if (fd < 0) {
    RECORD("client: %s: no channel", aId.c_str());
    return 0;
  }
  SendAll(fd,
          std::string("POST /xapu221/sale HTTP/1.1\r\nHost: ") + kHost +
            "\r\nDandelionvale-Request-Id: " + aId + "\r\nDandelionvale-Deadline-Ms: " +
            std::to_string(kDeadlineMs) + "\r\nContent-Length: 8\r\n\r\none unit");
  Reader reader(fd);
  Message answer;
  bool isWhole = reader.Read(answer, kDeadlineMs / 1000.0);
  RECORD("client: %s -> %d", aId.c_str(), isWhole ? answer.status : 0);
  close(fd);
  return isWhole ? answer.status : 0;
}

} // namespace

int main()
{
  Record::Get().Open("review/6/record.txt");
  std::string folder = MakeFolder();
  Address storeAddress = FreeAddress();
  Store store(storeAddress);
  Machine shop;
  shop.store = storeAddress;
  Machine till;
  till.store = storeAddress;
  till.name = "sidecar-chilliwack-b-1";
  till.zone = "chilliwack-b";
  till.service = "wuno96b";
  store.Put(
    "op/config",
    Configuration(
      7,
      Json::array({ Route(
        "r-sales", kHost, "/xapu221/", "unsafe", till.service, kTimeoutMs, kTargetMs) }),
      Json::array({ Service(shop.service), Service(till.service) })));
  Backend shopBackend("i-02d9e6b4", shop);
  Backend tillBackend("i-7f3a91c2", till);
  Node shopNode(shop, folder);
  Node tillNode(till, folder);
  shopNode.Start();
  tillNode.Start();
  if (!shopNode.WaitUntilReady(20) || !tillNode.WaitUntilReady(20)) {
    Finish(kCannotRun, folder);
  }
  shopBackend.reporter.Put(shopBackend.reporter.Body("ready"));
  tillBackend.reporter.Put(tillBackend.reporter.Body("ready"));
  // Calm for the stable window, with some sales.
  Sleep(kStableWindow);
  int sold = 0;
  std::vector<std::string> sales;
  auto sell = [&](const std::string& aId) {
    sales.push_back(aId);
    return Sell(shop.outbound, aId);
  };
  for (int i = 0; i < 3; ++i) {
    sold += sell("9c41d07be2a3000" + std::to_string(i)) == 200 ? 1 : 0;
  }
  if (sold < 3) {
    Finish(kCannotRun, folder);
  }

  // One sale is in progress when the machines stand still.
  std::thread before([&] { Sell(shop.outbound, "9c41d07be2a300a0"); });
  Sleep(0.2);
  double stopped = Now();
  if (HasTrouble()) {
    shopNode.Signal(SIGSTOP, "SIGSTOP");
  }
  SleepUntil(stopped + kLater);
  if (HasTrouble()) {
    tillNode.Signal(SIGSTOP, "SIGSTOP");
  }
  SleepUntil(stopped + kStandsStill);
  if (HasTrouble()) {
    shopNode.Signal(SIGCONT, "SIGCONT");
  }
  Sleep(0.05);
  std::thread after([&] { sell("9c41d07be2a300b0"); });
  SleepUntil(stopped + kStandsStill + kLater);
  if (HasTrouble()) {
    tillNode.Signal(SIGCONT, "SIGCONT");
  }
  before.join();
  after.join();
  Sleep(1);
  // Both machines are back: sales go on.
  int soldAfter = 0;
  for (int i = 0; i < 3; ++i) {
    soldAfter += sell("9c41d07be2a300c" + std::to_string(i)) == 200 ? 1 : 0;
  }
  sales.push_back("9c41d07be2a300a0");
  int twice = 0;
  for (const std::string& sale : sales) {
    int runs = tillBackend.RunsOf(sale) + shopBackend.RunsOf(sale);
    if (runs > 1) {
      RECORD("check TWICE: %s ran %d times", sale.c_str(), runs);
      ++twice;
    }
  }
  RECORD("check TWICE: %d of %zu sales ran more than once; %d of 3 were answered 200 afterwards",
         twice,
         sales.size(),
         soldAfter);
  Finish(twice > 0 ? kBroken : kHeld, folder);
}
