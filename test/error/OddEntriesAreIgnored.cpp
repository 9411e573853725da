/// Guards against one odd entry, written by someone else, that ends a node or keeps it from the
/// other entries: deep nesting, numbers and ports out of range, values of other types, unreadable
/// bytes.
#include "support/Check.h"
#include "support/Loopback.h"
#include "support/Mocks.h"

#include "dandeliond/SeedsService.h"
#include "platform/Platform.h"

using namespace dandelion;
using namespace dandelion::testing;

namespace {

constexpr int kDeepNesting = 200000;

std::string Nested(int aDepth)
{
  return std::string(static_cast<size_t>(aDepth), '[') +
         std::string(static_cast<size_t>(aDepth), ']');
}

/// A store of the platform whose answers the test chooses by the request's target.
struct OddStore
{
  explicit OddStore(std::function<std::string(const std::string&)> aAnswer)
    : server(loop,
             [this, answer = std::move(aAnswer)](const std::shared_ptr<HttpExchange>& aExchange) {
               ++requests;
               aExchange->Reply(HttpResponse{ 200, {}, answer(aExchange->Request().target) });
             })
  {
    server.Listen(LoopbackOf(1), HttpLimits()).IgnoreError();
  }

  absl::StatusOr<ReadResult> ReadSeeds()
  {
    std::optional<absl::StatusOr<ReadResult>> result;
    ReadRequest request;
    request.key = "seeds/";
    request.end = PrefixRangeEnd(request.key);
    store.Read(request, [&](const absl::StatusOr<ReadResult>& aResult) { result = aResult; });
    cr_assert(RunUntil(loop, [&] { return result.has_value(); }));
    return *result;
  }

  Loop loop;
  int requests = 0;
  HttpServer server;
  platform::KeyValueStore store{ loop, LoopbackOf(1), seconds(30) };
};

absl::StatusOr<UpstreamReport> ReadReportBody(const std::string& aBody)
{
  return platform::ReadReport(HttpRequest{ "PUT", "/v1/instances/i-1", {}, aBody });
}

class SeedStore
  : public Service
  , public Store
{
public:
  void Read(const ReadRequest&, OnRead aDone) override { aDone(ReadResult{ items, 1 }); }
  void Create(const CreateRequest&, OnCreated) override {}
  void Put(const std::string&, const std::string&, std::optional<Duration>, OnDone) override {}
  void DeleteRange(const std::string&, const std::string&, OnDone) override {}
  void Swap(const SwapRequest&, OnSwapped) override {}
  WatchId Watch(const std::string&, int64_t, OnEvents, std::function<void()>) override { return 1; }
  void CancelWatch(WatchId) override {}
  uint64_t CallCount() const override { return 0; }
  std::vector<KeyValue> items;
};

class SeedListener : public FakeMembership
{
public:
  using FakeMembership::FakeMembership;
  void ContactSeeds(const std::vector<Endpoint>& aSeeds) override { contacted = aSeeds; }
  std::vector<Endpoint> contacted;
};

std::string SeedBytes(const Json& aPort)
{
  Json endpoint = Json::array({ "10.0.0.9", aPort });
  return ToCborBytes(Json::array({ "east", endpoint, endpoint }));
}

} // namespace

/// Guards against a page that is read again without end, and against a list that ends early.
Test(odd_entries, page_of_unreadable_items_is_passed_over)
{
  OddStore store([](const std::string& aTarget) -> std::string {
    bool isFirst = aTarget.find("after=") == std::string::npos;
    bool isSecond = aTarget.find("after=seeds/a") != std::string::npos;
    if (isFirst) {
      return R"({"items":[{"key":"seeds/a","value":"YQ=="}],"has-more":true,"at-rev":5})";
    }
    return isSecond ? R"({"items":[{"key":"seeds/b","value":7}],"has-more":true,"at-rev":5})"
                    : R"({"items":[{"key":"seeds/c","value":"Yw=="}],"at-rev":5})";
  });
  auto result = store.ReadSeeds();
  cr_assert(result.ok());
  cr_assert_eq(result->items.size(), 2);
  cr_assert_eq(result->items.back().key, "seeds/c");
  cr_assert_eq(store.requests, 3);
}

/// Guards against a page without a usable key, after which the next page cannot be named.
Test(odd_entries, page_without_any_key_ends_the_read)
{
  OddStore store([](const std::string& aTarget) -> std::string {
    return aTarget.find("after=") == std::string::npos
             ? R"({"items":[{"key":"seeds/a","value":"YQ=="}],"has-more":true,"at-rev":5})"
             : R"({"items":[{"key":8}],"has-more":true,"at-rev":5})";
  });
  cr_assert(store.ReadSeeds().ok());
  cr_assert_eq(store.requests, 2);
}

/// Guards against an answer of the store that overflows the stack of the node.
Test(odd_entries, deeply_nested_answer_of_the_store_is_an_error)
{
  OddStore store([](const std::string&) -> std::string {
    return fmt::format(R"({{"items":[{}],"at-rev":5}})", Nested(kDeepNesting));
  });
  cr_assert_not(store.ReadSeeds().ok());
}

Test(odd_entries, answer_of_the_store_with_a_number_too_large_is_an_error)
{
  OddStore store(
    [](const std::string&) -> std::string { return R"({"items":[],"at-rev":1e999})"; });
  cr_assert_not(store.ReadSeeds().ok());
}

Test(odd_entries, reports_are_rejected_and_name_no_upstream)
{
  std::string nested = Nested(7000);
  for (const std::string& capacity : { std::string("1e999"),
                                       std::string("99999999999999999999"),
                                       std::string("1.5"),
                                       std::string("-1"),
                                       std::string("\"4\""),
                                       std::string("null"),
                                       nested }) {
    auto report = ReadReportBody(
      fmt::format(R"({{"service":"s","state":"ready","sequence":4,"capacity":{}}})", capacity));
    cr_assert_not(report.ok(), "%s", capacity.substr(0, 40).c_str());
  }
  // Fields that this node does not use are ignored, whatever they hold, up to the nesting limit.
  cr_assert(
    ReadReportBody(
      R"({"service":"s","state":"ready","sequence":4,"capacity":6,"address":"10.0.0.1:99999"})")
      .ok());
  cr_assert_not(ReadReportBody(nested).ok());
}

/// Guards against seeds that hide the others or end the node that reads them.
Test(odd_entries, seeds_do_not_hide_the_others)
{
  Loop loop;
  Registry registry;
  NodeSettings settings;
  NodeContext context{ loop, registry, settings };
  auto& store = AddService<SeedStore>(registry, ServiceName::Store);
  auto& membership =
    AddService<SeedListener>(registry, ServiceName::Membership, MakeMember("node-1", "s", 1));
  int index = 0;
  for (const std::string& value : { SeedBytes(70000),
                                    SeedBytes(-1),
                                    SeedBytes(1e300),
                                    SeedBytes("80"),
                                    SeedBytes(nullptr),
                                    std::string(kDeepNesting, '\x81'),
                                    std::string("\xff\xff"),
                                    std::string(),
                                    SeedBytes(UINT64_MAX),
                                    SeedBytes(7001) }) {
    store.items.push_back(KeyValue{ fmt::format("dandelion/seeds/z/{}", index++), value });
  }
  SeedsService seeds(context, 1);
  cr_assert(seeds.Start().ok());
  cr_assert(RunUntil(loop, [&] { return !membership.contacted.empty(); }));
  cr_assert_eq(membership.contacted.size(), 1);
  cr_assert_eq(membership.contacted.front().port, 7001);
}
