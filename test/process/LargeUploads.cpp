/// Guards against LOST: one upload within the limit took a machine over its memory, because its
/// node kept several copies of the body.
///
/// Load: one upload of 60 MB, with a limit of 64 MiB, through two nodes of 160 MiB each.
#include "support/Check.h"
#include "support/Cluster.h"
#include "support/PlatformStore.h"
#include "support/RawClients.h"

using namespace dandelion;
using namespace dandelion::testing;

namespace {

constexpr size_t kMiB = 1024 * 1024;
constexpr size_t kUploadBytes = 60 * 1000 * 1000;
constexpr size_t kMemoryMb = 160;
/// Shadow memory, red zones and freed memory that the address sanitizer keeps.
#ifdef __SANITIZE_ADDRESS__
constexpr size_t kMemoryFactor = 8;
#else
constexpr size_t kMemoryFactor = 1;
#endif

constexpr char kConfiguration[] = R"({
  "version": 1,
  "routes": [{ "name": "r", "host": "shop", "path-prefix": "/up/", "kind": "unsafe",
               "timeout": 60000, "service": "s0" }],
  "services": [{ "name": "s0" }],
  "limits": { "max-body-bytes": 67108864, "header-timeout": 3000 }
})";

} // namespace

Test(large_uploads, one_upload_within_the_limit_leaves_its_nodes_within_their_memory)
{
  ClusterShape shape{ 2 };
  shape.services = 1;
  shape.startsUpstreams = false;
  Cluster cluster(shape);
  std::string ip = cluster.FrontOf(0).ip;
  Endpoint storeEndpoint{ ip.substr(0, ip.rfind('.')) + ".249", 2379 };
  PlatformStore store(cluster.EventLoop(), storeEndpoint);
  store.Put("op/config", kConfiguration);
  cluster.SetExtraSettings([&](int aNode) {
    std::string nodeIp = cluster.FrontOf(aNode).ip;
    return Json{
      { "environment", "platform" },
      { "reports", { { "ip", nodeIp }, { "port", 7004 } } },
      { "readiness", { { "ip", nodeIp }, { "port", 7005 } } },
      { "store",
        { { "servers", Json::array({ { { "ip", storeEndpoint.ip }, { "port", 2379 } } }) } } },
      { "machine", { { "memory_mb", kMemoryMb }, { "max_fds", 4100 } } }
    };
  });
  size_t arrived = 0;
  HttpServer upstream(cluster.EventLoop(), [&](const std::shared_ptr<HttpExchange>& aExchange) {
    const HttpRequest& request = aExchange->Request();
    arrived = request.body.size();
    aExchange->Reply(HttpResponse{
      200,
      { { "Dandelionvale-Request-Id", FindHeader(request.headers, "Dandelionvale-Request-Id") },
        { "Dandelionvale-Server-Signature", "s" } },
      "" });
  });
  HttpLimits limits;
  limits.maxBodyBytes = 64 * kMiB;
  cr_assert(upstream.Listen(cluster.UpstreamOf(1), limits).ok());
  cluster.Start();
  // Only the upstream of the second node reports, so the upload passes both.
  HttpClient client(cluster.EventLoop());
  int status = 0;
  auto send = [&](const Endpoint& aServer, const HttpRequest& aRequest) {
    bool isDone = false;
    client.Send(aServer, aRequest, seconds(60), [&](const HttpResult& aResult) {
      status = aResult.response.status;
      isDone = true;
    });
    cluster.WaitUntil([&] { return isDone; }, seconds(60));
  };
  Json report = {
    { "service", "s0" }, { "state", "ready" }, { "capacity", 4 }, { "sequence", 1 }, { "born", 1 }
  };
  send({ cluster.FrontOf(1).ip, 7004 },
       HttpRequest{ "PUT", "/v1/instances/i-1", {}, report.dump() });
  cr_assert_eq(status, 200);
  HttpHeaders headers = { { "Host", "shop" }, { "Dandelionvale-Request-Id", "small" } };
  bool isServed = cluster.WaitUntil([&] {
    send(cluster.FrontOf(0), HttpRequest{ "POST", "/up/x", headers, "x" });
    return status == 200;
  });
  cr_assert(isServed, "the last status was %d", status);

  std::vector<size_t> idle;
  for (int i = 0; i < cluster.Size(); ++i) {
    idle.push_back(UseOf(cluster.PidOf(i)).residentBytes);
  }
  headers[1].second = "large";
  send(cluster.FrontOf(0), HttpRequest{ "POST", "/up/x", headers, std::string(kUploadBytes, 'x') });
  for (int i = 0; i < cluster.Size(); ++i) {
    ProcessUse use = UseOf(cluster.PidOf(i));
    fmt::print(stderr,
               "node {}: idle {} MiB, peak {} MiB\n",
               i,
               idle[static_cast<size_t>(i)] / kMiB,
               use.peakResidentBytes / kMiB);
    cr_expect_not(cluster.ExitCode(i).has_value());
    cr_expect_leq(use.peakResidentBytes, kMemoryMb * kMiB * kMemoryFactor);
  }
  cr_expect_eq(status, 200);
  cr_expect_eq(arrived, kUploadBytes);
}
