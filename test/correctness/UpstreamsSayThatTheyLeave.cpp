/// Guards against calls that reach an upstream long after one of its answers has told a caller that
/// it leaves: its report was late or lost, or a late report says that it is still ready.
#include "support/Check.h"
#include "support/Loopback.h"
#include "support/Mocks.h"
#include "support/Notes.h"

#include "dandeliond/AdmissionService.h"
#include "dandeliond/UpstreamStateServices.h"
#include "platform/Platform.h"

using namespace dandelion;
using namespace dandelion::testing;
using trompeloeil::_;

namespace {

constexpr int kSlots = 6;

/// The node of an upstream that may say in its answers that it leaves.
class NodeOfLeaver
{
public:
  NodeOfLeaver()
  {
    settings.service = "s0";
    settings.upstream = LoopbackOf(1);
    settings.reports = LoopbackOf(2);
    context.headerNames = platform::MakeCallHeaderNames();
    AddService<MetricsService>(registry, ServiceName::Metrics);
    auto& links = AddService<MockLinks>(registry, ServiceName::Links);
    AddService<HttpUpstream>(
      registry, ServiceName::Upstream, loop, LoopbackOf(1), context.headerNames);
    auto& releases = AddService<FakeReleases>(registry, ServiceName::Releases);
    AddService<FakeMembership>(registry, ServiceName::Membership, MakeMember("self", "s0", 1));
    auto read = [this](const HttpRequest&) -> absl::StatusOr<UpstreamReport> { return report; };
    ReportProtocol protocol{ read, [] { return HttpResponse(); } };
    state =
      &AddService<ReportedUpstreamService>(registry, ServiceName::UpstreamState, context, protocol);
    admission = &AddService<AdmissionService>(registry, ServiceName::Admission, context);
    cr_assert(upstream_.Listen(LoopbackOf(1), HttpLimits()).ok());
    ALLOW_CALL(links, AddHandler(_));
    cr_assert(registry.StartAll().ok());
    Configuration configuration = MakeFirstConfiguration();
    configuration.services["s0"].spec.healthPath = "/health";
    releases.Set(configuration);
    RunFor(loop, milliseconds(50));
  }
  ~NodeOfLeaver() { state->Stop(); }

  void ReportReady(int64_t aSequence, int64_t aStartTimeMs = 10)
  {
    report = UpstreamReport{ "u", "s0", UpstreamCondition::Ready, aSequence, aStartTimeMs, kSlots };
    bool isAcknowledged = false;
    client_.Send(LoopbackOf(2), HttpRequest(), seconds(10), [&](const HttpResult& /* aResult */) {
      isAcknowledged = true;
    });
    cr_assert(RunUntil(loop, [&] { return isAcknowledged; }));
    RunFor(loop, milliseconds(50));
  }
  CallReply Serve(const std::string& aRequestId)
  {
    OpenCall call;
    call.service = "s0";
    call.route = "r0";
    call.version = 1;
    call.method = "GET";
    call.target = "/call";
    call.requestId = aRequestId;
    call.headers = { { context.headerNames.requestId, aRequestId } };
    call.deadlineMs = 10000;
    std::optional<CallReply> reply;
    admission->Serve(call, [&](const CallReply& aReply) { reply = aReply; });
    cr_assert(RunUntil(loop, [&] { return reply.has_value(); }));
    return *reply;
  }

  Loop loop;
  Registry registry;
  NodeSettings settings;
  NodeContext context{ loop, registry, settings };
  ReportedUpstreamService* state = nullptr;
  AdmissionService* admission = nullptr;
  UpstreamReport report;
  bool isLeaving = false;
  int healthStatus = 200;
  int calls = 0;

private:
  void OnRequest(const std::shared_ptr<HttpExchange>& aExchange)
  {
    HttpResponse response;
    response.headers = { { context.headerNames.upstreamId, "u" } };
    if (aExchange->Request().target == "/health") {
      response.status = healthStatus;
      aExchange->Reply(response);
      return;
    }
    ++calls;
    response.headers = {
      { context.headerNames.answerSignature, "signed" },
      { context.headerNames.requestId,
        FindHeader(aExchange->Request().headers, context.headerNames.requestId) },
    };
    if (isLeaving) {
      response.headers.emplace_back("Server-Leaving", "1");
    }
    aExchange->Reply(response);
  }

  HttpServer upstream_{ loop, [this](const std::shared_ptr<HttpExchange>& aExchange) {
                         OnRequest(aExchange);
                       } };
  HttpClient client_{ loop };
};

} // namespace

Test(upstreams_that_say_they_leave, get_no_further_call)
{
  NodeOfLeaver node;
  node.ReportReady(5);
  cr_assert(node.Serve("id-1").outcome == CallOutcome::Ran);
  node.isLeaving = true;
  cr_assert(node.Serve("id-2").outcome == CallOutcome::Ran);
  CallReply refusal = node.Serve("id-3");
  cr_assert(refusal.outcome == CallOutcome::NotRun);
  cr_assert(refusal.error == ErrorKind::Leaving);
  cr_assert_eq(node.calls, 2);
}

Test(upstreams_that_say_they_leave, stay_closed_though_a_report_says_ready)
{
  NodeOfLeaver node;
  node.ReportReady(5);
  node.isLeaving = true;
  node.Serve("id-1");
  node.ReportReady(6);
  cr_assert_eq(node.state->Slots(), 0);
  // Started anew under the same id.
  node.isLeaving = false;
  node.ReportReady(1, 20);
  cr_assert_eq(node.state->Slots(), kSlots);
}

/// A health check has opened the upstream after a restart of its node.
Test(upstreams_that_say_they_leave, stay_closed_if_their_first_report_comes_later)
{
  NodeOfLeaver node;
  cr_assert_gt(node.state->Slots(), 0);
  node.isLeaving = true;
  node.healthStatus = 503;
  node.Serve("id-1");
  cr_assert_eq(node.state->Slots(), 0);
  node.ReportReady(6);
  cr_assert_eq(node.state->Slots(), 0);
}
