/// Guards against input that takes effect in part or for the wrong object: a configuration that is
/// cut off or has a missing or invalid field, a report with a wrong path, method or body, and an
/// answer that is not the upstream's own answer to the call.
#include "support/Check.h"

#include "codec/Codec.h"
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

HttpRequest MakeReportRequest(const std::string& aMethod,
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

UpstreamResult Classify(int aStatus, const HttpHeaders& aHeaders)
{
  HttpResult result{ HttpOutcome::Answered, HttpResponse{ aStatus, aHeaders, "body" } };
  return ClassifyAnswer(MakeCall(), result, platform::MakeCallHeaderNames());
}

void CheckOk(const absl::Status& aStatus)
{
  cr_assert(aStatus.ok(), "%s", MessageOf(aStatus).c_str());
}

const std::pair<std::string, std::string> kId{ "Dandelionvale-Request-Id", "id-1" };
const std::pair<std::string, std::string> kSignature{ "Dandelionvale-Server-Signature", "x" };

} // namespace

Test(operator_configuration, translates_to_routes_policies_and_limits)
{
  auto configuration = platform::ReadConfiguration(kConfiguration);
  cr_assert(configuration.ok());
  RouteTable table(std::make_shared<Configuration>(*configuration));
  auto longerPrefix = table.Match("/a/b/x?q", "SHOP.example:80");
  cr_assert(longerPrefix.has_value());
  cr_assert_eq(longerPrefix->route->name, "b");
  cr_assert(longerPrefix->policy->idempotent);
  auto shorterPrefix = table.Match("/a/", "shop.example");
  cr_assert(shorterPrefix.has_value());
  cr_assert(shorterPrefix->policy->atMostOnce);
  cr_assert_eq(shorterPrefix->policy->targetMs, 500);
  // Prefixes are compared byte by byte, and routes of one host do not match another.
  cr_assert_not(table.Match("/a", "shop.example").has_value());
  cr_assert_not(table.Match("/a/", "other.example").has_value());
  cr_assert_eq(configuration->limits.idleTimeoutMs, 15000);
}

Test(operator_configuration, is_rejected_as_a_whole_and_the_message_names_the_place)
{
  std::string text = kConfiguration;
  for (const auto& [original, replacement, place] : std::vector<std::array<std::string, 3>>{
         { "\"unsafe\"", "\"odd\"", "routes[0].kind" },
         { "\"/a/b/\"", "\"/a/b\"", "path-prefix" },
         { "\"service\": \"s\", \"max", "\"service\": \"gone\", \"max", "gone" },
         { "\"host\": \"Shop.Example\",", "", "routes[0].host" },
         { "\"timeout\": 1000,", "\"timeout\": \"1s\",", "routes[1].timeout" },
         { "\"name\": \"b\"", "\"name\": \"a\"", "twice" },
       }) {
    std::string invalid = text;
    invalid.replace(invalid.find(original), original.size(), replacement);
    auto configuration = platform::ReadConfiguration(invalid);
    cr_assert_not(configuration.ok(), "%s", replacement.c_str());
    cr_assert_neq(
      MessageOf(configuration.status()).find(place), std::string::npos, "%s", place.c_str());
  }
  CHECK_PROPERTY("cut at any position", [&] {
    size_t length = *rc::gen::inRange<size_t>(0, text.size() - 1);
    RC_ASSERT(!platform::ReadConfiguration(text.substr(0, length)).ok());
  });
}

// Guards against CONFIG: a configuration that the store had accepted was never applied, because it
// had more timeouts than release notes may have policies.
Test(operator_configuration, with_any_number_of_objects_is_applied_and_passed_on)
{
  constexpr int kRoutes = 9000;
  Replica replica;
  Replica peer;
  CheckOk(replica.ApplySnapshot(*platform::ReadConfiguration(kConfiguration),
                                HashOf(*platform::ReadConfiguration(kConfiguration))));
  CheckOk(peer.ApplySnapshot(*replica.Current(), replica.CurrentHash()));
  Json json = *ParseJson(kConfiguration, sizeof(kConfiguration));
  json["version"] = 12;
  for (int i = 0; i < kRoutes; ++i) {
    std::string name = fmt::format("added-{}", i);
    json["services"].push_back({ { "name", name } });
    json["routes"].push_back({ { "name", name },
                               { "host", "shop.example" },
                               { "path-prefix", "/" + name + "/" },
                               { "kind", "safe" },
                               { "timeout", 1000 + i },
                               { "service", name } });
  }
  auto configuration = platform::ReadConfiguration(json.dump());
  CheckOk(configuration.status());
  CheckOk(replica.ApplySnapshot(*configuration, HashOf(*configuration)));
  auto deltas = replica.DeltasAfter(peer.Current()->version);
  cr_assert(deltas.has_value());
  CheckOk(peer.AdvanceByDelta(deltas->front()));
  RouteTable table(peer.Current());
  cr_assert_eq(table.Match("/added-640/x", "shop.example")->policy->timeoutMs, 1640);
}

// Guards against the same for names, times and weights beyond the limits of release notes.
Test(operator_configuration, with_long_names_times_and_large_weights_is_accepted)
{
  constexpr int64_t kDayMs = 24 * 3600 * 1000;
  std::string longName(200, 'n');
  std::string longPrefix = "/" + std::string(600, 'p') + "/";
  Json json = *ParseJson(kConfiguration, sizeof(kConfiguration));
  json["services"][0]["name"] = longName;
  json["routes"][0]["name"] = longName;
  json["routes"][0]["path-prefix"] = longPrefix;
  json["routes"][0]["service"] = longName;
  json["routes"][0]["timeout"] = kDayMs;
  json["routes"][0]["target-latency"] = kDayMs;
  json["routes"][1]["split"][0] = { { "service", longName }, { "weight", 8000000000 } };
  json["routes"][1]["split"][1]["weight"] = 1000000000;
  json["limits"]["idle-timeout"] = kDayMs;
  auto configuration = platform::ReadConfiguration(json.dump());
  CheckOk(configuration.status());
  const RouteSpec& split = configuration->routes.at("b").spec;
  cr_assert_eq(split.split[0].weight, 8 * split.split[1].weight);
  RouteTable table(std::make_shared<Configuration>(*configuration));
  auto route = table.Match(longPrefix + "x", "shop.example");
  cr_assert(route.has_value());
  cr_assert_eq(route->service->name, longName);
  cr_assert_eq(route->policy->timeoutMs, kMaxTimeoutMs);
  std::string report =
    fmt::format(R"({{"service":"{}","capacity":6,"state":"ready","sequence":4}})", longName);
  CheckOk(platform::ReadReport(MakeReportRequest("PUT", "/v1/instances/i-1", report)).status());
}

Test(upstream_reports, are_accepted_or_rejected_by_path_method_and_body)
{
  std::string valid =
    R"({"service":"s","capacity":6,"state":"draining","sequence":4,"born":12,"zone":3})";
  auto report = platform::ReadReport(MakeReportRequest("PUT", "/v1/instances/i-1", valid));
  cr_assert(report.ok());
  cr_assert(report->condition == UpstreamCondition::Draining);
  cr_assert_eq(*report->startTimeMs, 12);
  auto departure = platform::ReadReport(MakeReportRequest("DELETE", "/v1/instances/i-1", ""));
  cr_assert(departure.ok());
  cr_assert(departure->condition == UpstreamCondition::Gone);
  for (const HttpRequest& invalid : {
         MakeReportRequest("PUT", "/v1/instances/", valid),
         MakeReportRequest("PUT", "/v1/instances/a/b", valid),
         MakeReportRequest("POST", "/v1/instances/i-1", valid),
         MakeReportRequest("PUT", "/v1/instances/i-1", "{"),
         MakeReportRequest("PUT", "/v1/instances/i-1", R"({"service":"s","capacity":"6"})"),
         MakeReportRequest("PUT",
                           "/v1/instances/i-1",
                           R"({"service":"s","capacity":6,"state":"gone","sequence":4})"),
       }) {
    cr_assert_not(platform::ReadReport(invalid).ok());
  }
}

Test(upstream_answers, are_classified_by_status_signature_and_call_id)
{
  cr_assert(Classify(200, { kId, kSignature }).outcome == CallOutcome::Ran);
  cr_assert(Classify(500, { kId, kSignature }).outcome == CallOutcome::Ran);
  // Successes without a signature, without the call's id, or with an encoding that was not
  // requested.
  cr_assert(Classify(200, { kId }).outcome == CallOutcome::Unknown);
  cr_assert(Classify(200, { kSignature }).outcome == CallOutcome::Unknown);
  cr_assert(Classify(200, { kId, kSignature, { "Content-Encoding", "gzip" } }).outcome ==
            CallOutcome::Unknown);
  // Statuses that mean "not run" are trusted only with the header of a refusal; 421 needs no
  // header.
  cr_assert(Classify(503, { kId, kSignature }).outcome == CallOutcome::Unknown);
  cr_assert(Classify(503, { { "Dandelionvale-Not-Executed", "1" } }).outcome ==
            CallOutcome::NotRun);
  cr_assert(Classify(421, {}).outcome == CallOutcome::NotRun);
  cr_assert_not(IsAnswerTo(
    MakeCall(), { { "Dandelionvale-Request-Id", "id-0" } }, platform::MakeCallHeaderNames()));
}

/// Guards against an order that is taken for another service, and against a report that is rejected
/// as a whole for an odd version, which would keep its upstream closed.
Test(rollout_orders, are_read_only_if_they_name_the_service_of_their_key)
{
  auto read = [](const std::string& aKey, const std::string& aValue) {
    return platform::ReadRolloutOrder(KeyValue{ aKey, aValue, 5 });
  };
  std::string key = platform::RolloutOrderKey("s");
  auto order = read(key, R"({"service":"s","target-version":"2","duration":12.5,"by":"x"})");
  CheckOk(order.status());
  cr_assert(order->duration == milliseconds(12500));
  cr_assert_eq(order->revision, 5);
  for (const char* invalid : { R"({"service":"t","target-version":"2","duration":9})",
                               R"({"service":"s","target-version":"","duration":9})",
                               R"({"service":"s","target-version":"2","duration":0})",
                               R"({"service":"s","target-version":"2"})" }) {
    cr_assert_not(read(key, invalid).ok(), "%s", invalid);
  }
  RolloutRecord record;
  record.targetVersion = "2";
  record.stage = RolloutStage::RolledBack;
  Json status = ParseForeignJson(platform::MakeRolloutStatus("s", record).value);
  cr_assert_eq(status["state"].get<std::string>(), "rolled_back");
  std::string report =
    R"({"service":"s","state":"ready","capacity":1,"sequence":1,"version":7,"warmup-left":2.5})";
  auto parsed = platform::ReadReport(MakeReportRequest("PUT", "/v1/instances/u", report));
  CheckOk(parsed.status());
  cr_assert_eq(parsed->softwareVersion, "7");
}

Test(upstream_notices, with_odd_values_name_no_limit)
{
  const std::string kLimit = "Server-Limit";
  auto limitOf = [&](const std::string& aValue) {
    UpstreamResult result = Classify(200, { kId, kSignature, { kLimit, aValue } });
    cr_assert(result.outcome == CallOutcome::Ran);
    cr_assert(result.notices.has_value());
    return result.notices->maxCallsPerSecond;
  };
  cr_assert_eq(limitOf("16.6").value_or(-1), 16.6);
  cr_assert_eq(limitOf("0").value_or(-1), 0);
  for (const char* odd : { "", "-1", "nan", "inf", "1e999", "many", "1,5", "5 calls" }) {
    cr_assert_not(limitOf(odd).has_value(), "%s", odd);
  }
}

/// The answers of another upstream at the address, and those to another call, say nothing.
Test(upstream_notices, are_taken_from_the_addressed_upstream_only)
{
  const std::pair<std::string, std::string> kLeaving{ "Server-Leaving", "1" };
  cr_assert(Classify(200, { kId, kSignature, kLeaving }).notices->isLeaving);
  cr_assert(Classify(500, { kId, kLeaving }).notices->isLeaving);
  cr_assert(
    Classify(503, { kId, { "Dandelionvale-Not-Executed", "1" }, kLeaving }).notices->isLeaving);
  cr_assert_not(Classify(421, { kId, kLeaving }).notices.has_value());
  HttpResult other{ HttpOutcome::Answered, HttpResponse{ 200, { kSignature, kLeaving }, "body" } };
  other.isFirstOnConnection = false;
  UpstreamResult result = ClassifyAnswer(MakeCall(), other, platform::MakeCallHeaderNames());
  cr_assert_not(result.notices.has_value());
}
