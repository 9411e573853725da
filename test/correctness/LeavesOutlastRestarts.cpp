/// Guards against calls that reach an upstream which has left: its leaving was acknowledged by a
/// process of the node that has ended since, and reports from before arrive late at the next
/// process.
#include "support/Check.h"
#include "support/Loopback.h"
#include "support/Mocks.h"

#include "dandeliond/UpstreamStateServices.h"

using namespace dandelion;
using namespace dandelion::testing;

namespace {

constexpr int kSlots = 6;

/// A process of the node that has just started, and the upstream beside it.
struct StartedNode
{
  StartedNode()
  {
    settings.service = "s0";
    settings.upstream = LoopbackOf(1);
    settings.reports = LoopbackOf(2);
    context.headerNames.upstreamId = "instance";
    releases = &AddService<FakeReleases>(registry, ServiceName::Releases);
    auto read = [this](const HttpRequest&) -> absl::StatusOr<UpstreamReport> { return report; };
    ReportProtocol protocol{ read, [] { return HttpResponse(); } };
    state =
      &AddService<ReportedUpstreamService>(registry, ServiceName::UpstreamState, context, protocol);
    cr_assert(upstream.Listen(LoopbackOf(1), HttpLimits()).ok());
    cr_assert(registry.StartAll().ok());
  }
  ~StartedNode() { state->Stop(); }

  void Configure(const std::string& aHealthPath = "/health")
  {
    Configuration configuration;
    configuration.version = 1;
    configuration.services["s0"].spec.name = "s0";
    configuration.services["s0"].spec.healthPath = aHealthPath;
    releases->Set(configuration);
  }
  /// Sends a report "ready", waits for its acknowledgement, and lets the node ask the upstream.
  void ReportReady(int64_t aSequence, const std::string& aId = "u", int64_t aStartTimeMs = 10)
  {
    report.id = aId;
    report.service = "s0";
    report.startTimeMs = aStartTimeMs;
    report.sequence = aSequence;
    report.slots = kSlots;
    std::optional<HttpResult> result;
    client.Send(LoopbackOf(2), HttpRequest(), seconds(10), [&](const HttpResult& aResult) {
      result = aResult;
    });
    cr_assert(RunUntil(loop, [&] { return result.has_value(); }));
    RunFor(loop, milliseconds(50));
  }
  void OnHealthCheck(const std::shared_ptr<HttpExchange>& aExchange)
  {
    ++healthChecks;
    waiting.push_back(aExchange);
    if (isAnswering) {
      aExchange->Reply(HttpResponse{ healthStatus, { { "instance", id } }, "" });
    }
  }

  Loop loop;
  Registry registry;
  NodeSettings settings;
  NodeContext context{ loop, registry, settings };
  HttpServer upstream{ loop, [this](const std::shared_ptr<HttpExchange>& aExchange) {
                        OnHealthCheck(aExchange);
                      } };
  HttpClient client{ loop };
  FakeReleases* releases = nullptr;
  ReportedUpstreamService* state = nullptr;
  UpstreamReport report;
  std::string id = "u";
  int healthStatus = 200;
  bool isAnswering = true;
  int healthChecks = 0;
  /// Keeps exchanges that are not answered.
  std::vector<std::shared_ptr<HttpExchange>> waiting;
};

} // namespace

Test(leaves, outlast_a_restart_whatever_reports_are_late)
{
  StartedNode node;
  node.healthStatus = 503;
  node.Configure();
  RunFor(node.loop, milliseconds(50));
  for (int64_t sequence = 5; sequence < 9; ++sequence) {
    node.ReportReady(sequence);
    cr_assert_eq(node.state->Slots(), 0, "report %ld", sequence);
    RunFor(node.loop, milliseconds(850));
  }
}

/// An upstream that is shutting down may not answer its health check any more.
Test(leaves, outlast_a_restart_if_the_health_check_is_not_answered)
{
  StartedNode node;
  node.isAnswering = false;
  node.Configure();
  RunFor(node.loop, milliseconds(1100));
  node.ReportReady(5);
  cr_assert_eq(node.state->Slots(), 0);
}

/// The report may arrive before the configuration, which names the health check.
Test(leaves, outlast_a_restart_if_a_report_arrives_first)
{
  StartedNode node;
  node.healthStatus = 503;
  node.ReportReady(5);
  node.Configure();
  RunFor(node.loop, milliseconds(50));
  cr_assert_eq(node.state->Slots(), 0);
}

/// The next upstream at the address confirms itself, not the one that has left.
Test(leaves, outlast_a_restart_if_another_upstream_runs_now)
{
  StartedNode node;
  node.id = "next";
  node.Configure();
  RunFor(node.loop, milliseconds(50));
  cr_assert_gt(node.state->Slots(), 0);
  node.ReportReady(5);
  cr_assert_eq(node.state->Slots(), 0);
  // Its clock may have been set back since.
  node.ReportReady(1, "next", 5);
  cr_assert_eq(node.state->Slots(), kSlots);
}

Test(upstreams_of_a_restarted_node, open_as_soon_as_they_confirm_a_report)
{
  StartedNode node;
  node.healthStatus = 503;
  node.Configure();
  node.ReportReady(5);
  cr_assert_eq(node.state->Slots(), 0);
  node.healthStatus = 200;
  node.ReportReady(6);
  cr_assert_eq(node.state->Slots(), kSlots);
  // Later reports are believed, as this process sees every leaving.
  int healthChecks = node.healthChecks;
  node.ReportReady(7);
  cr_assert_eq(node.healthChecks, healthChecks);
}

Test(upstreams_of_a_restarted_node, are_asked_again_if_they_did_not_answer)
{
  StartedNode node;
  node.isAnswering = false;
  node.Configure();
  node.ReportReady(5);
  node.isAnswering = true;
  cr_assert(RunUntil(node.loop, [&] { return node.state->Slots() == kSlots; }));
}

Test(upstreams_of_a_restarted_node, open_by_a_report_if_the_service_has_no_health_check)
{
  StartedNode node;
  node.Configure("");
  node.ReportReady(5);
  cr_assert_eq(node.state->Slots(), kSlots);
}
