/// A call is sent on behalf of the account whose key it carries, under the configuration in force.
/// Guards against a key that still works after a version has revoked it, also on a connection that
/// stays open; against an account name that a client chose itself; and against a key that reaches
/// an upstream, another node, a log line or an answer.
#include "support/Check.h"
#include "support/Loopback.h"
#include "support/Mocks.h"
#include "support/Notes.h"

#include "dandeliond/AdmissionService.h"
#include "dandeliond/CallIdentity.h"
#include "dandeliond/CallsService.h"
#include "dandeliond/FrontService.h"
#include "platform/Platform.h"

#include <fcntl.h>
#include <unistd.h>

#include <cstdio>

using namespace dandelion;
using namespace dandelion::testing;
using trompeloeil::_;

namespace {

constexpr char kKey[] = "K3y-of-account-one";
constexpr char kOtherKey[] = "K3y-of-account-two";

AccountSpec MakeAccount(const std::string& aName, const std::string& aKey)
{
  AccountSpec account;
  account.name = aName;
  account.keyDigests = { DigestOfKey(aKey) };
  return account;
}

/// Records attempts and answers each at once.
class FakeCarrier
  : public Service
  , public Carrier
{
public:
  void Send(const Member& /* aMember */, const OpenCall& aCall, OnReply aReply) override
  {
    sent.push_back(aCall);
    CallReply reply;
    reply.outcome = CallOutcome::Ran;
    reply.status = 200;
    aReply(reply);
  }
  void Cancel(uint64_t /* aAttempt */) override {}

  std::vector<OpenCall> sent;
};

/// A spreading service that is behind until the test says otherwise.
class BehindSpreading : public FakeSpreading
{
public:
  bool IsBehind() const override { return isBehind; }
  bool isBehind = false;
};

/// A node with a front, whose configuration has two accounts and the anonymous route r1.
class Fixture
{
public:
  Fixture()
    : context{ loop, registry, settings }
    , client(loop)
  {
    settings.id = "self";
    settings.region = "east";
    settings.service = "s9";
    settings.hedge = HedgeName::None;
    settings.front = LoopbackOf(1);
    context.headerNames = platform::MakeCallHeaderNames();
    metrics = &AddService<MetricsService>(registry, ServiceName::Metrics);
    releases = &AddService<FakeReleases>(registry, ServiceName::Releases);
    auto& membership =
      AddService<FakeMembership>(registry, ServiceName::Membership, MakeMember("self", "s9", 1));
    membership.table.Merge(MakeMember("a", "s0", 2));
    membership.table.Merge(MakeMember("b", "s1", 3));
    spreading = &AddService<BehindSpreading>(registry, ServiceName::Spreading);
    carrier = &AddService<FakeCarrier>(registry, ServiceName::Carrier);
    AddService<FakeAccountCaps>(registry, ServiceName::AccountCaps);
    calls = &AddService<CallsService>(registry, ServiceName::Calls, context, 3u);
    AddService<FrontService>(registry, ServiceName::Front, context);
    cr_assert(registry.StartAll().ok());
    configuration = MakeFirstConfiguration();
    configuration.routes.at("r1").spec.isAnonymous = true;
    configuration.accounts["one"] = { MakeAccount("one", kKey), 1 };
    configuration.accounts["two"] = { MakeAccount("two", kOtherKey), 1 };
    configuration.accounts["two"].spec.priority = 0;
    releases->Set(configuration);
  }

  /// Sends a request over HTTP and returns the result.
  HttpResult Request(const std::string& aTarget, const HttpHeaders& aHeaders)
  {
    std::optional<HttpResult> result;
    client.Send(settings.front,
                HttpRequest{ "GET", aTarget, aHeaders, "" },
                seconds(10),
                [&](const HttpResult& aResult) { result = aResult; });
    cr_assert(RunUntil(loop, [&] { return result.has_value(); }));
    return *result;
  }

  static HttpHeaders WithKey(const std::string& aKey)
  {
    return { { "Authorization", "Bearer " + aKey } };
  }

  Loop loop;
  Registry registry;
  NodeSettings settings;
  NodeContext context;
  HttpClient client;
  MetricsService* metrics = nullptr;
  FakeReleases* releases = nullptr;
  BehindSpreading* spreading = nullptr;
  FakeCarrier* carrier = nullptr;
  CallsService* calls = nullptr;
  Configuration configuration;
};

bool HasHeader(const std::vector<HeaderField>& aHeaders, const std::string& aName)
{
  return std::any_of(aHeaders.begin(), aHeaders.end(), [&](const HeaderField& aHeader) {
    return aHeader.name == aName;
  });
}

} // namespace

Test(callers, are_identified_by_their_key)
{
  Fixture fixture;
  for (const std::string& value :
       { fmt::format("Bearer {}", kOtherKey), fmt::format("bEARER  {} ", kOtherKey) }) {
    fixture.carrier->sent.clear();
    cr_assert_eq(fixture.Request("/r0/x", { { "authorization", value } }).response.status, 200);
    const OpenCall& call = fixture.carrier->sent.at(0);
    cr_assert_eq(call.account, std::string("two"));
    cr_assert_eq(call.priority, 0, "the account's priority goes before the policy's");
  }
  cr_assert_eq(fixture.Request("/r0/x", Fixture::WithKey(kKey)).response.status, 200);
  cr_assert_eq(fixture.carrier->sent.back().account, std::string("one"));
  cr_assert_eq(fixture.carrier->sent.back().priority, PolicySpec().priority);
}

Test(callers, are_counted_by_account_and_listed_without_digests)
{
  Fixture fixture;
  fixture.configuration.accounts["a\"b"] = { MakeAccount("a\"b", "third"), 2 };
  fixture.releases->Set(fixture.configuration);
  for (const std::string key : { kKey, "third", "third" }) {
    cr_assert_eq(fixture.Request("/r0/x", Fixture::WithKey(key)).response.status, 200);
  }
  std::string text = fixture.metrics->Render();
  cr_assert_neq(text.find("account_calls_ran_total{account=\"one\"} 1"), std::string::npos);
  cr_assert_neq(text.find("account_calls_ran_total{account=\"a\\\"b\"} 2"), std::string::npos);
  std::string listed = DescribeAccounts(fixture.configuration).dump();
  cr_assert_neq(listed.find("two"), std::string::npos);
  cr_assert_eq(listed.find(DigestOfKey(kKey)), std::string::npos);
}

Test(callers, without_a_known_key_are_answered_401_and_not_run)
{
  Fixture fixture;
  for (const HttpHeaders& headers : std::vector<HttpHeaders>{
         {},
         Fixture::WithKey("unknown"),
         Fixture::WithKey(""),
         { { "Authorization", kKey } },
         { { "Authorization", std::string("Basic ") + kKey } },
         { { "Authorization", std::string("Bearer ") + DigestOfKey(kKey) } },
         { { "Authorization", std::string("Bearer ") + kKey }, { "Authorization", "Bearer x" } },
       }) {
    HttpResponse response = fixture.Request("/r0/x", headers).response;
    cr_assert_eq(response.status, 401);
    cr_assert_eq(FindHeader(response.headers, "Retry-After"), std::string());
    cr_assert_eq(FindHeader(response.headers, kOutcomeHeader), std::string("not-run"));
  }
  cr_assert(fixture.carrier->sent.empty());
}

Test(callers, need_no_key_on_anonymous_routes_and_without_accounts)
{
  Fixture fixture;
  cr_assert_eq(fixture.Request("/r1/x", Fixture::WithKey(kKey)).response.status, 200);
  cr_assert_eq(fixture.carrier->sent.back().account, std::string());
  cr_assert_not(HasHeader(fixture.carrier->sent.back().headers, "Authorization"));
  fixture.releases->Set(MakeFirstConfiguration());
  cr_assert_eq(fixture.Request("/r0/x", Fixture::WithKey(kKey)).response.status, 200);
  cr_assert_eq(fixture.carrier->sent.back().account, std::string());
  // Without accounts the header is the application's own.
  cr_assert(HasHeader(fixture.carrier->sent.back().headers, "Authorization"));
}

Test(callers, of_a_platform_node_without_configuration_are_answered_503)
{
  Fixture fixture;
  fixture.settings.environment = EnvironmentName::Platform;
  fixture.releases->Set(Configuration());
  cr_assert_eq(fixture.Request("/r0/x", {}).response.status, 503);
}

Test(callers, on_an_open_connection_lose_a_revoked_key_and_gain_an_added_one)
{
  Fixture fixture;
  cr_assert_eq(fixture.Request("/r0/x", Fixture::WithKey(kKey)).response.status, 200);
  fixture.configuration.version++;
  fixture.configuration.accounts["one"] = { MakeAccount("one", "new"), 2 };
  fixture.releases->Set(fixture.configuration);
  HttpResult revoked = fixture.Request("/r0/x", Fixture::WithKey(kKey));
  cr_assert_eq(revoked.response.status, 401);
  HttpResult added = fixture.Request("/r0/x", Fixture::WithKey("new"));
  cr_assert_eq(added.response.status, 200);
  cr_assert_not(revoked.isFirstOnConnection || added.isFirstOnConnection);
}

Test(callers, wait_for_a_newer_version_that_may_hold_their_key)
{
  Fixture fixture;
  fixture.spreading->isBehind = true;
  Timer applied = fixture.loop.After(milliseconds(50), [&] {
    fixture.configuration.version++;
    fixture.configuration.accounts["one"] = { MakeAccount("one", "new"), 2 };
    fixture.releases->Set(fixture.configuration);
    fixture.spreading->isBehind = false;
  });
  cr_assert_eq(fixture.Request("/r0/x", Fixture::WithKey("new")).response.status, 200);
  // A key that the newer version does not hold either is refused then.
  fixture.spreading->isBehind = true;
  Timer caughtUp =
    fixture.loop.After(milliseconds(50), [&] { fixture.spreading->isBehind = false; });
  cr_assert_eq(fixture.Request("/r0/x", Fixture::WithKey(kKey)).response.status, 401);
}

Test(keys, appear_in_no_log_line_no_answer_and_no_message)
{
  char path[] = "/tmp/dandelion-log-XXXXXX";
  int file = mkstemp(path);
  cr_assert_geq(file, 0);
  int original = dup(STDERR_FILENO);
  dup2(file, STDERR_FILENO);
  SetLogLevel(LogLevel::Debug);
  Fixture fixture;
  std::string seen;
  for (const char* target : { "/r0/x", "/r1/x", "/none" }) {
    for (const std::string& key : { std::string(kKey), std::string(kKey) + "-unknown" }) {
      HttpResponse response = fixture.Request(target, Fixture::WithKey(key)).response;
      seen += response.body;
      for (const auto& [name, value] : response.headers) {
        seen += name + value;
      }
    }
  }
  for (const OpenCall& call : fixture.carrier->sent) {
    seen += Encode(call);
  }
  cr_assert_not(fixture.carrier->sent.empty());
  seen += Encode(fixture.configuration);
  seen += DescribeAccounts(fixture.configuration).dump() + fixture.metrics->Render();
  dup2(original, STDERR_FILENO);
  std::string log(static_cast<size_t>(lseek(file, 0, SEEK_END)), '\0');
  cr_assert_eq(pread(file, log.data(), log.size(), 0), static_cast<ssize_t>(log.size()));
  close(file);
  unlink(path);
  cr_assert_not(log.empty());
  cr_assert_eq((seen + log).find(kKey), std::string::npos);
}

/// The upstream's node, whose configuration has one account.
Test(callers, names_of_accounts_reach_the_upstream_from_the_mesh_only)
{
  CallHeaderNames names = platform::MakeCallHeaderNames();
  cr_assert(names.IsReserved("dandelionvale-TENANT"));
  cr_assert(CallHeaderNames().IsReserved(kAccountHeader));
  Loop loop;
  HttpRequest received;
  HttpServer server(loop, [&](std::shared_ptr<HttpExchange> aExchange) {
    received = aExchange->Request();
    aExchange->Reply(HttpResponse());
  });
  Endpoint endpoint = LoopbackOf(1);
  cr_assert(server.Listen(endpoint, HttpLimits()).ok());
  HttpUpstream upstream(loop, endpoint, names);
  for (const std::string account : { "one", "" }) {
    OpenCall call;
    call.method = "GET";
    call.target = "/r0/x";
    call.deadlineMs = 5000;
    call.account = account;
    call.headers = { { "Dandelionvale-Tenant", "chosen" }, { "X-Other", "kept" } };
    bool isAnswered = false;
    upstream.Send(call, [&](const UpstreamResult&) { isAnswered = true; });
    cr_assert(RunUntil(loop, [&] { return isAnswered; }));
    int count = 0;
    for (const auto& [name, value] : received.headers) {
      count += name == "Dandelionvale-Tenant" ? 1 : 0;
    }
    cr_assert_eq(count, account.empty() ? 0 : 1);
    cr_assert_eq(FindHeader(received.headers, "Dandelionvale-Tenant"), account);
    cr_assert_eq(FindHeader(received.headers, "X-Other"), std::string("kept"));
  }
}

Test(upstreams_node_of_accounts, refuses_queued_calls_of_a_withdrawn_account_only)
{
  // Calls that were accepted with a key that is revoked later may finish; the account is gone only
  // if the newer version has no account of the name.
  Loop loop;
  Registry registry;
  NodeSettings settings;
  settings.service = "s0";
  NodeContext context{ loop, registry, settings };
  AddService<MetricsService>(registry, ServiceName::Metrics);
  auto& links = AddService<MockLinks>(registry, ServiceName::Links);
  auto& upstream = AddService<MockUpstream>(registry, ServiceName::Upstream);
  auto& releases = AddService<FakeReleases>(registry, ServiceName::Releases);
  AddService<FakeMembership>(registry, ServiceName::Membership, MakeMember("self", "s0", 1));
  AddService<FakeUpstreamState>(registry, ServiceName::UpstreamState);
  auto& admission = AddService<AdmissionService>(registry, ServiceName::Admission, context);
  ALLOW_CALL(links, AddHandler(_));
  cr_assert(registry.StartAll().ok());
  Configuration configuration = MakeFirstConfiguration();
  configuration.accounts["one"] = { MakeAccount("one", kKey), 1 };
  configuration.accounts["two"] = { MakeAccount("two", kOtherKey), 1 };
  releases.Set(configuration);
  std::vector<OpenCall> sent;
  Upstream::OnResult onResult;
  ALLOW_CALL(upstream, Send(_, _)).LR_SIDE_EFFECT(sent.push_back(_1); onResult = _2).RETURN(7u);
  std::map<uint64_t, CallReply> replies;
  for (uint64_t id = 1; id <= 3; ++id) {
    OpenCall call;
    call.id = id;
    call.service = "s0";
    call.route = "r0";
    call.version = 1;
    call.deadlineMs = 10000;
    call.account = id == 2 ? "two" : "one";
    call.headers = { { "authorization", "Bearer x" } };
    admission.Serve(call, [&](const CallReply& aReply) { replies[aReply.id] = aReply; });
  }
  configuration.version = 2;
  configuration.accounts["one"].spec.keyDigests.clear();
  configuration.accounts.erase("two");
  releases.Set(configuration);
  cr_assert(replies.at(2).error == ErrorKind::Withdrawn);
  onResult(UpstreamResult{ CallOutcome::Ran, false, 200, {}, "" });
  cr_assert_eq(sent.size(), 2u);
  cr_assert_eq(sent[1].id, 3u);
  cr_assert(sent[0].headers.empty() && sent[1].headers.empty());
}
