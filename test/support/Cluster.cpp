#include "support/Cluster.h"

#include "support/HeldSignal.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>

namespace dandelion::testing {

namespace {

constexpr Duration kRequestTimeout = seconds(3);
constexpr Duration kPollInterval = milliseconds(30);
constexpr int kOctetValues = 250;

std::string BuildFolder()
{
  const char* folder = std::getenv("TEST_BUILD");
  return folder == nullptr ? "build" : folder;
}

CallResult ToCallResult(const HttpResult& aResult)
{
  CallResult call;
  call.isAnswered = aResult.outcome == HttpOutcome::Answered;
  call.isLost = aResult.outcome == HttpOutcome::Lost;
  call.status = aResult.response.status;
  call.outcome = FindHeader(aResult.response.headers, kOutcomeHeader);
  call.error = FindHeader(aResult.response.headers, "dandelion-error");
  call.upstream = FindHeader(aResult.response.headers, "x-upstream");
  call.callId = FindHeader(aResult.response.headers, "x-call-id");
  call.body = aResult.response.body;
  return call;
}

/// Returns the first sanitizer report in the logs, or an empty string. The logs are read because
/// the other processes tolerate a process that a sanitizer has aborted like any other crash.
std::string FindSanitizerReport(const std::string& aFolder)
{
  for (const auto& entry : std::filesystem::directory_iterator(aFolder)) {
    std::ifstream log(entry.path());
    std::string line;
    while (std::getline(log, line)) {
      bool isReport = line.find("ERROR: AddressSanitizer") != std::string::npos ||
                      line.find(": runtime error: ") != std::string::npos;
      if (isReport) {
        return entry.path().filename().string() + ": " + line;
      }
    }
  }
  return "";
}

} // namespace

Cluster::Cluster(ClusterShape aShape)
  : shape_(aShape)
  , build_(BuildFolder())
  , client_(loop_)
  , nodes_(static_cast<size_t>(aShape.nodes))
{
  // The addresses depend on the process ID, so that concurrent tests use different ones.
  int number = getpid();
  addressPrefix_ =
    fmt::format("127.{}.{}.", 20 + number / kOctetValues % 200, number % kOctetValues);
  folder_ = fmt::format("/tmp/dandelion-test-{}", number);
  std::filesystem::create_directories(folder_);
}

Cluster::~Cluster()
{
  for (NodeProcesses& processes : nodes_) {
    KillAndReap(processes.node, SIGKILL);
    KillAndReap(processes.upstream, SIGKILL);
  }
  KillAndReap(store_, SIGKILL);
  KillAndReap(link_, SIGKILL);
  std::string report = FindSanitizerReport(folder_);
  if (std::getenv("TEST_KEEP") == nullptr) {
    std::filesystem::remove_all(folder_);
  }
  if (!report.empty()) {
    fmt::print(stderr, "{}\n", report);
    std::abort();
  }
}

void Cluster::Start()
{
  store_ = Spawn("store", { "store_standin", "--ip=" + addressPrefix_ + "250", "--port=2379" });
  if (shape_.hasPaidLink) {
    StartLink();
  }
  for (int i = 0; i < shape_.nodes; ++i) {
    if (shape_.startsUpstreams) {
      nodes_[static_cast<size_t>(i)].upstream =
        Spawn(fmt::format("upstream-{}", i),
              { "upstream_standin",
                "--ip=" + IpOf(i),
                "--port=8080",
                "--front_port=7001",
                "--name=" + IdOf(i),
                fmt::format("--slots={}", shape_.upstreamSlots),
                fmt::format("--work_ms={}", shape_.serviceTimeMs) });
    }
    WriteSettings(i, false);
    StartNode(i);
  }
  bool areAllAlive = WaitUntil(
    [&] {
      for (int i = 0; i < shape_.nodes; ++i) {
        if (CountAliveSeenBy(i) != shape_.nodes) {
          return false;
        }
      }
      return true;
    },
    seconds(60));
  if (!areAllAlive) {
    fmt::print(stderr, "cluster: not all nodes are ready and see each other as alive after 60 s\n");
  }
}

bool Cluster::StartWithFirstNote()
{
  Start();
  return Submit(0, FirstNote()).value("state", "") == "accepted" && WaitInForce(0, "first");
}

std::string Cluster::IdOf(int aNode) const
{
  return fmt::format("node-{}", aNode);
}

std::string Cluster::ServiceOf(int aNode) const
{
  return fmt::format("s{}", aNode / (2 * shape_.zonesPerRegion) % shape_.services);
}

std::string Cluster::RegionOf(int aNode) const
{
  return aNode % 2 == 0 ? "east" : "west";
}

std::string Cluster::ZoneOf(int aNode) const
{
  return fmt::format("{}-{}", RegionOf(aNode), aNode / 2 % shape_.zonesPerRegion);
}

std::string Cluster::IpOf(int aNode) const
{
  return fmt::format("{}{}", addressPrefix_, 1 + aNode);
}

std::string Cluster::StoreIpFor(int aNode) const
{
  bool isThroughLink = shape_.hasPaidLink && RegionOf(aNode) == "west";
  return addressPrefix_ + (isThroughLink ? "252" : "250");
}

void Cluster::WriteSettings(int aNode, bool aHasSeeds)
{
  auto endpoint = [&](const std::string& aIp, int aPort) {
    return Json{ { "ip", aIp }, { "port", aPort } };
  };
  std::string ip = IpOf(aNode);
  Json settings = { { "id", IdOf(aNode) },
                    { "region", RegionOf(aNode) },
                    { "zone", ZoneOf(aNode) },
                    { "service", ServiceOf(aNode) },
                    { "upstream", endpoint(ip, 8080) },
                    { "front", endpoint(ip, 7001) },
                    { "peers", endpoint(ip, 7002) },
                    { "operators", endpoint(ip, 7003) },
                    { "store",
                      { { "servers", Json::array({ endpoint(StoreIpFor(aNode), 2379) }) },
                        { "region", "east" },
                        { "timeout_ms", 500 } } } };
  if (shape_.hasPaidLink) {
    settings["peers_from_other_regions"] = endpoint(ip, 7102);
  }
  if (!shape_.nodeKey.empty()) {
    settings["keys"] = { { "nodes", Json::array({ shape_.nodeKey }) },
                         { "operators", Json::array({ shape_.operatorKey }) } };
  }
  settings.update(Json::parse(shape_.extraSettings));
  if (extraSettingsOf_) {
    settings.update(extraSettingsOf_(aNode));
  }
  if (aHasSeeds) {
    Json seeds = Json::array();
    for (int other = 0; other < shape_.nodes; ++other) {
      if (other != aNode && RegionOf(other) == RegionOf(aNode)) {
        seeds.push_back(endpoint(IpOf(other), 7002));
      }
    }
    settings["seeds"] = seeds;
  }
  std::ofstream(fmt::format("{}/node-{}.json", folder_, aNode)) << settings.dump(2);
}

void Cluster::StartNode(int aNode)
{
  std::string settings = fmt::format("{}/node-{}.json", folder_, aNode);
  nodes_[static_cast<size_t>(aNode)].node =
    Spawn(IdOf(aNode), { "dandeliond", "--settings=" + settings });
}

void Cluster::StartLink()
{
  Json mappings = Json::array();
  for (int i = 0; i < shape_.nodes; ++i) {
    mappings.push_back(Json{ { "from", { { "ip", IpOf(i) }, { "port", 7102 } } },
                             { "to", { { "ip", IpOf(i) }, { "port", 7002 } } },
                             { "direction", "to-" + RegionOf(i) } });
  }
  mappings.push_back(Json{ { "from", { { "ip", addressPrefix_ + "252" }, { "port", 2379 } } },
                           { "to", { { "ip", addressPrefix_ + "250" }, { "port", 2379 } } },
                           { "direction", "to-store" } });
  Json traits = { { "control", { { "ip", addressPrefix_ + "251" }, { "port", 8001 } } },
                  { "mappings", mappings } };
  std::string path = folder_ + "/link.json";
  std::ofstream(path) << traits.dump(2);
  link_ = Spawn("link", { "link_standin", "--settings=" + path });
  WaitUntil([&] { return !LinkStats().empty(); });
}

pid_t Cluster::Spawn(const std::string& aName, std::vector<std::string> aArguments)
{
  std::string program = build_ + "/" + aArguments[0];
  std::string log = fmt::format("{}/{}.log", folder_, aName);
  std::vector<char*> arguments;
  for (std::string& argument : aArguments) {
    arguments.push_back(argument.data());
  }
  arguments.push_back(nullptr);
  HeldSignal held(SIGTERM);
  pid_t pid = fork();
  if (pid != 0) {
    return pid;
  }
  // A failed test exits without running destructors; its child processes must exit with it.
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  int output = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
  dup2(output, STDERR_FILENO);
  execv(program.c_str(), arguments.data());
  _exit(EXIT_FAILURE);
}

void Cluster::KillAndReap(pid_t& aPid, int aSignal)
{
  if (aPid > 0) {
    kill(aPid, aSignal);
    kill(aPid, SIGCONT);
    waitpid(aPid, nullptr, 0);
    aPid = 0;
  }
}

void Cluster::Kill(int aNode)
{
  KillAndReap(nodes_[static_cast<size_t>(aNode)].node, SIGKILL);
}

void Cluster::Suspend(int aNode)
{
  kill(PidOf(aNode), SIGSTOP);
}

void Cluster::Resume(int aNode)
{
  kill(PidOf(aNode), SIGCONT);
}

void Cluster::Restart(int aNode)
{
  WriteSettings(aNode, true);
  StartNode(aNode);
}

void Cluster::Terminate(int aNode)
{
  kill(PidOf(aNode), SIGTERM);
}

int Cluster::WaitForExit(int aNode)
{
  pid_t& pid = nodes_[static_cast<size_t>(aNode)].node;
  int state = 0;
  bool hasEnded = WaitUntil([&] { return waitpid(pid, &state, WNOHANG) == pid; }, seconds(60));
  pid = hasEnded ? 0 : pid;
  return hasEnded && WIFEXITED(state) ? WEXITSTATUS(state) : -1;
}

std::optional<int> Cluster::ExitCode(int aNode)
{
  pid_t& pid = nodes_[static_cast<size_t>(aNode)].node;
  int state = 0;
  if (waitpid(pid, &state, WNOHANG) != pid) {
    return std::nullopt;
  }
  pid = 0;
  return WIFEXITED(state) ? WEXITSTATUS(state) : -1;
}

void Cluster::SetStoreFaults(const std::string& aJson)
{
  Send({ addressPrefix_ + "250", 2379 },
       HttpRequest{ "POST", "/control", {}, aJson },
       kRequestTimeout);
}

void Cluster::SetLinkFaults(const std::string& aJson)
{
  Send({ addressPrefix_ + "251", 8001 },
       HttpRequest{ "POST", "/control", {}, aJson },
       kRequestTimeout);
}

void Cluster::SetUpstreamTraits(int aNode, const std::string& aJson)
{
  Send(UpstreamOf(aNode), HttpRequest{ "POST", "/standin/control", {}, aJson }, kRequestTimeout);
}

Json Cluster::StoreStats()
{
  return SendForJson(
    { addressPrefix_ + "250", 2379 }, HttpRequest{ "GET", "/stats", {}, "" }, kRequestTimeout);
}

Json Cluster::LinkStats()
{
  return SendForJson(
    { addressPrefix_ + "251", 8001 }, HttpRequest{ "GET", "/stats", {}, "" }, kRequestTimeout);
}

Json Cluster::Submit(int aNode, const Json& aNote, Duration aTimeLimit)
{
  HttpRequest request{ "POST", "/v1/notes", {}, aNote.dump() };
  request.headers.emplace_back("dandelion-time-limit-ms",
                               std::to_string(ToMilliseconds(aTimeLimit)));
  return SendForJson(OperatorEndpointOf(aNode), request, aTimeLimit + kRequestTimeout);
}

Json Cluster::StatusOf(int aNode, const std::string& aId)
{
  return SendForJson(
    OperatorEndpointOf(aNode), HttpRequest{ "GET", "/v1/notes/" + aId, {}, "" }, kRequestTimeout);
}

Json Cluster::VersionOf(int aNode)
{
  return SendForJson(
    OperatorEndpointOf(aNode), HttpRequest{ "GET", "/v1/version", {}, "" }, kRequestTimeout);
}

std::string Cluster::MetricsOf(int aNode)
{
  return Send(OperatorEndpointOf(aNode), HttpRequest{ "GET", "/metrics", {}, "" }, kRequestTimeout)
    .response.body;
}

int Cluster::CountAliveSeenBy(int aNode)
{
  Json answer = SendForJson(
    OperatorEndpointOf(aNode), HttpRequest{ "GET", "/v1/nodes", {}, "" }, kRequestTimeout);
  int alive = 0;
  for (const Json& node : answer.value("nodes", Json::array())) {
    alive += node.value("state", "") == "alive" ? 1 : 0;
  }
  return VersionOf(aNode).value("ready", false) ? alive : 0;
}

bool Cluster::WaitInForce(int aNode, const std::string& aId, Duration aLimit)
{
  return WaitUntil([&] { return StatusOf(aNode, aId).value("state", "") == "in-force-everywhere"; },
                   aLimit);
}

CallResult Cluster::Call(int aNode,
                         const std::string& aMethod,
                         const std::string& aPath,
                         const std::string& aCallId,
                         const HttpHeaders& aHeaders)
{
  HttpRequest request{ aMethod, aPath, aHeaders, "" };
  request.headers.emplace_back("x-call-id", aCallId);
  return ToCallResult(Send({ IpOf(aNode), 7001 }, request, seconds(20)));
}

void Cluster::BeginCall(int aNode,
                        const std::string& aMethod,
                        const std::string& aPath,
                        const std::string& aCallId,
                        std::function<void(const CallResult&)> aDone)
{
  HttpRequest request{ aMethod, aPath, { { "x-call-id", aCallId } }, "" };
  client_.Send(
    { IpOf(aNode), 7001 },
    request,
    seconds(30),
    [done = std::move(aDone)](const HttpResult& aResult) { done(ToCallResult(aResult)); });
}

int64_t Cluster::CountCancelledCalls(int aNode)
{
  HttpRequest request{ "GET", "/standin/journal", {}, "" };
  return SendForJson(UpstreamOf(aNode), request, kRequestTimeout).value("cancelled", int64_t{ 0 });
}

std::vector<std::string> Cluster::JournalOf(int aNode)
{
  HttpRequest request{ "GET", "/standin/journal", {}, "" };
  Json journal = SendForJson(UpstreamOf(aNode), request, kRequestTimeout);
  std::vector<std::string> ids;
  for (const Json& id : journal.value("calls", Json::array())) {
    ids.push_back(id.get<std::string>());
  }
  return ids;
}

bool Cluster::WaitUntil(const std::function<bool()>& aCondition, Duration aLimit)
{
  TimePoint deadline = loop_.Now() + aLimit;
  while (!aCondition()) {
    if (loop_.Now() >= deadline) {
      return false;
    }
    Wait(kPollInterval);
  }
  return true;
}

void Cluster::Wait(Duration aTime)
{
  Timer timer = loop_.After(aTime, [this] { loop_.Stop(); });
  loop_.Run();
}

HttpResult Cluster::Send(const Endpoint& aServer, const HttpRequest& aRequest, Duration aLimit)
{
  HttpResult result;
  HttpRequest request = aRequest;
  if (!shape_.operatorKey.empty()) {
    std::string signatureInput =
      OperatorSignatureInput(request.method, request.target, request.body.Text());
    SharedKeys keys({ shape_.operatorKey });
    request.headers.emplace_back(
      kSignatureHeader, ToHex(keys.Sign(SignaturePurpose::OperatorRequest, signatureInput)));
  }
  client_.Send(aServer, request, aLimit, [&](const HttpResult& aResult) {
    result = aResult;
    loop_.Stop();
  });
  loop_.Run();
  return result;
}

Json Cluster::SendForJson(const Endpoint& aServer, const HttpRequest& aRequest, Duration aLimit)
{
  HttpResult result = Send(aServer, aRequest, aLimit);
  Json json = Json::parse(result.response.body, nullptr, /*allow_exceptions=*/false);
  return json.is_object() ? json : Json::object();
}

Json Cluster::FirstNote() const
{
  Json services = Json::array();
  Json routes = Json::array();
  for (int i = 0; i < shape_.services; ++i) {
    std::string name = fmt::format("s{}", i);
    services.push_back(Json{ { "name", name }, { "slots", shape_.upstreamSlots } });
    routes.push_back(Json{ { "name", name },
                           { "path_prefix", "/" + name },
                           { "service", name },
                           { "policy", "usual" } });
  }
  Json policy = { { "name", "usual" }, { "timeout_ms", 10000 }, { "cross_region", true } };
  return Json{
    { "id", "first" },
    { "add",
      { { "services", services }, { "routes", routes }, { "policies", Json::array({ policy }) } } }
  };
}

Json ChangeNote(const std::string& aId, const std::string& aService, int aSlots)
{
  Json service = { { "name", aService }, { "slots", aSlots } };
  return Json{ { "id", aId }, { "change", { { "services", Json::array({ service }) } } } };
}

} // namespace dandelion::testing
