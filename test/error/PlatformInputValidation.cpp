/// What the platform, its operators and its upstreams send is read whole or refused with a reason.
#include "support/Check.h"

#include "platform/Platform.h"

using namespace dandelion;

namespace {

constexpr char kConfiguration[] = R"({
  "version": 7, "newer-field": [1],
  "routes": [
    { "name": "a", "host": "Shop.Example", "path-prefix": "/a/", "kind": "unsafe", "timeout": 1200,
      "target-latency": 500, "priority": 1, "service": "s", "max-attempts": 2 },
    { "name": "b", "host": "shop.example", "path-prefix": "/a/b/", "kind": "download",
      "timeout": 1000, "split": [{ "service": "s", "weight": 9 }, { "service": "t", "weight": 1 }] }
  ],
  "services": [{ "name": "s", "health-path": "/h" }, { "name": "t" }],
  "limits": { "idle-timeout": 15000 }
})";

HttpRequest MakeReport(const std::string& aMethod,
                       const std::string& aTarget,
                       const std::string& aBody)
{
  return HttpRequest{ aMethod, aTarget, {}, aBody };
}

OpenCall MakeCall()
{
  OpenCall call;
  call.requestId = "id-1";
  return call;
}

UpstreamResult Read(int aStatus, const HttpHeaders& aHeaders)
{
  HttpResult result{ HttpOutcome::Answered, HttpResponse{ aStatus, aHeaders, "body" } };
  return ClassifyAnswer(MakeCall(), result, platform::MakeCallHeaderNames());
}

const std::pair<std::string, std::string> kId{ "Dandelionvale-Request-Id", "id-1" };
const std::pair<std::string, std::string> kReceipt{ "Dandelionvale-Server-Signature", "x" };

} // namespace

Test(operator_configuration, becomes_the_products_objects)
{
  auto configuration = platform::ReadConfiguration(kConfiguration);
  cr_assert(configuration.ok());
  RouteTable table(std::make_shared<Configuration>(*configuration));
  auto deep = table.Match("/a/b/x?q", "SHOP.example:80");
  cr_assert(deep.has_value());
  cr_assert_eq(deep->route->name, "b");
  cr_assert(deep->policy->idempotent);
  auto shallow = table.Match("/a/", "shop.example");
  cr_assert(shallow.has_value());
  cr_assert(shallow->policy->atMostOnce);
  cr_assert_eq(shallow->policy->targetMs, 500);
  // A prefix is compared byte for byte, and hosts are told apart.
  cr_assert_not(table.Match("/a", "shop.example").has_value());
  cr_assert_not(table.Match("/a/", "other.example").has_value());
  cr_assert_eq(configuration->limits.idleTimeoutMs, 15000);
}

Test(operator_configuration, is_refused_whole_with_the_place)
{
  std::string text = kConfiguration;
  for (const auto& [good, bad, place] : std::vector<std::array<std::string, 3>>{
         { "\"unsafe\"", "\"odd\"", "routes[0].kind" },
         { "\"/a/b/\"", "\"/a/b\"", "path-prefix" },
         { "\"service\": \"s\", \"max", "\"service\": \"gone\", \"max", "gone" },
         { "\"host\": \"Shop.Example\",", "", "routes[0].host" },
         { "\"timeout\": 1000,", "\"timeout\": \"1s\",", "routes[1].timeout" },
         { "\"name\": \"b\"", "\"name\": \"a\"", "twice" },
       }) {
    std::string broken = text;
    broken.replace(broken.find(good), good.size(), bad);
    auto configuration = platform::ReadConfiguration(broken);
    cr_assert_not(configuration.ok(), "%s", bad.c_str());
    cr_assert_neq(
      MessageOf(configuration.status()).find(place), std::string::npos, "%s", place.c_str());
  }
  CHECK_PROPERTY("cut anywhere", [&] {
    size_t length = *rc::gen::inRange<size_t>(0, text.size() - 1);
    RC_ASSERT(!platform::ReadConfiguration(text.substr(0, length)).ok());
  });
}

Test(upstream_reports, are_read_or_name_nobody)
{
  std::string whole =
    R"({"service":"s","capacity":6,"state":"draining","sequence":4,"born":12,"zone":3})";
  auto report = platform::ReadReport(MakeReport("PUT", "/v1/instances/i-1", whole));
  cr_assert(report.ok());
  cr_assert(report->condition == UpstreamCondition::Draining);
  cr_assert_eq(*report->startTimeMs, 12);
  auto farewell = platform::ReadReport(MakeReport("DELETE", "/v1/instances/i-1", ""));
  cr_assert(farewell.ok());
  cr_assert(farewell->condition == UpstreamCondition::Gone);
  for (const HttpRequest& bad : {
         MakeReport("PUT", "/v1/instances/", whole),
         MakeReport("PUT", "/v1/instances/a/b", whole),
         MakeReport("POST", "/v1/instances/i-1", whole),
         MakeReport("PUT", "/v1/instances/i-1", "{"),
         MakeReport("PUT", "/v1/instances/i-1", R"({"service":"s","capacity":"6"})"),
         MakeReport("PUT",
                    "/v1/instances/i-1",
                    R"({"service":"s","capacity":6,"state":"gone","sequence":4})"),
       }) {
    cr_assert_not(platform::ReadReport(bad).ok());
  }
}

Test(upstream_answers, are_passed_on_only_as_the_upstreams_own)
{
  cr_assert(Read(200, { kId, kReceipt }).outcome == CallOutcome::Ran);
  cr_assert(Read(500, { kId, kReceipt }).outcome == CallOutcome::Ran);
  // A success without receipt, without its call's name, or in an encoding nobody asked for.
  cr_assert(Read(200, { kId }).outcome == CallOutcome::Unknown);
  cr_assert(Read(200, { kReceipt }).outcome == CallOutcome::Unknown);
  cr_assert(Read(200, { kId, kReceipt, { "Content-Encoding", "gzip" } }).outcome ==
            CallOutcome::Unknown);
  // Statuses that promise "not run" are believed only with the mark of a refusal.
  cr_assert(Read(503, { kId, kReceipt }).outcome == CallOutcome::Unknown);
  cr_assert(Read(503, { { "Dandelionvale-Not-Executed", "1" } }).outcome == CallOutcome::NotRun);
  cr_assert(Read(421, {}).outcome == CallOutcome::NotRun);
  cr_assert_not(IsAnswerTo(
    MakeCall(), { { "Dandelionvale-Request-Id", "id-0" } }, platform::MakeCallHeaderNames()));
}
