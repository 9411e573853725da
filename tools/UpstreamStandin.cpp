#include "UpstreamStandin.h"

#include "absl/strings/numbers.h"

namespace dandelion {

namespace {

/// Lists the services still to be called in a chain, in order: "s1,s0".
constexpr char kChainHeader[] = "x-chain";
constexpr Duration kChainedCallTimeout = seconds(60);
constexpr int kBadGateway = 502;
constexpr int64_t kMaxAnswerBytes = 16 * 1024 * 1024;

int64_t IntegerHeader(const HttpRequest& aRequest, const char* aName, int64_t aDefault)
{
  int64_t value = 0;
  bool isGiven = absl::SimpleAtoi(FindHeader(aRequest.headers, aName), &value);
  return isGiven ? value : aDefault;
}

} // namespace

UpstreamStandin::UpstreamStandin(Loop& aLoop, const Endpoint& aListen, UpstreamTraits aTraits)
  : loop_(aLoop)
  , listen_(aListen)
  , traits_(std::move(aTraits))
  , client_(aLoop)
  , server_(aLoop, [this](const Exchange& aExchange) { OnRequest(aExchange); })
{
}

absl::Status UpstreamStandin::Start()
{
  return server_.Listen(listen_, HttpLimits());
}

void UpstreamStandin::OnRequest(const Exchange& aExchange)
{
  const HttpRequest& request = aExchange->Request();
  if (request.target == "/standin/journal") {
    Json json = { { "calls", journal_ }, { "cancelled", cancelled_ } };
    aExchange->Reply(HttpResponse{ 200, {}, json.dump() });
    return;
  }
  if (request.target == "/standin/control") {
    OnControl(aExchange);
    return;
  }
  if (static_cast<int64_t>(running_.size()) >= traits_.slots) {
    HttpResponse refusal{ 503,
                          { { kOutcomeHeader, std::string(NameOf(CallOutcome::NotRun)) } },
                          "" };
    aExchange->Reply(refusal);
    return;
  }
  journal_.push_back(FindHeader(request.headers, "x-call-id"));
  uint64_t id = nextId_++;
  Duration serviceTime = milliseconds(IntegerHeader(request, "x-work-ms", traits_.serviceTimeMs) *
                                      traits_.slowdownFactor);
  running_[id] =
    Running{ aExchange, loop_.After(serviceTime, [this, id] { Finish(id); }), std::nullopt };
  aExchange->OnClientDisconnected([this, id] { Cancel(id); });
}

void UpstreamStandin::Cancel(uint64_t aId)
{
  auto found = running_.find(aId);
  if (found == running_.end()) {
    return;
  }
  if (found->second.chainedCall.has_value()) {
    client_.Cancel(*found->second.chainedCall);
  }
  running_.erase(found);
  ++cancelled_;
}

void UpstreamStandin::OnControl(const Exchange& aExchange)
{
  Json json = Json::parse(aExchange->Request().body, nullptr, false);
  auto traits = FromJson<UpstreamTraits>(json, ErrorKind::Usage);
  if (!traits.ok()) {
    aExchange->Reply(HttpResponse{ 400, {}, MessageOf(traits.status()) });
    return;
  }
  traits->name = traits_.name;
  traits->front = traits_.front;
  traits_ = *traits;
  aExchange->Reply(HttpResponse{ 200, {}, "{}" });
}

void UpstreamStandin::Finish(uint64_t aId)
{
  Exchange exchange = running_.at(aId).exchange;
  std::string chain = FindHeader(exchange->Request().headers, kChainHeader);
  if (!chain.empty() && traits_.front.has_value()) {
    CallNextService(aId, chain);
    return;
  }
  running_.erase(aId);
  exchange->Reply(MakeAnswer(exchange->Request()));
}

void UpstreamStandin::CallNextService(uint64_t aId, const std::string& aChain)
{
  const HttpRequest& request = running_.at(aId).exchange->Request();
  size_t comma = aChain.find(',');
  std::string remainingChain = comma == std::string::npos ? "" : aChain.substr(comma + 1);
  HttpRequest chainedCall{ "GET", "/" + aChain.substr(0, comma) + "/x", {}, "" };
  chainedCall.headers.emplace_back("x-call-id", FindHeader(request.headers, "x-call-id"));
  if (!remainingChain.empty()) {
    chainedCall.headers.emplace_back(kChainHeader, remainingChain);
  }
  for (const char* name : { kDeadlineHeader, kClassHeader, kRetriesLeftHeader }) {
    chainedCall.headers.emplace_back(name, FindHeader(request.headers, name));
  }
  running_.at(aId).chainedCall = client_.Send(
    *traits_.front, chainedCall, kChainedCallTimeout, [this, aId](const HttpResult& aResult) {
      OnChainedAnswer(aId, aResult);
    });
}

void UpstreamStandin::OnChainedAnswer(uint64_t aId, const HttpResult& aResult)
{
  Exchange exchange = running_.at(aId).exchange;
  running_.erase(aId);
  // The chained call is the only effect of this call, so a refusal of it is returned unchanged.
  HttpResponse response = aResult.response;
  if (aResult.outcome != HttpOutcome::Answered) {
    response = HttpResponse{ kBadGateway, {}, "" };
  }
  exchange->Reply(response);
}

HttpResponse UpstreamStandin::MakeAnswer(const HttpRequest& aRequest) const
{
  int64_t size = std::min(IntegerHeader(aRequest, "x-answer-bytes", 0), kMaxAnswerBytes);
  HttpResponse response;
  response.headers = { { "x-upstream", traits_.name },
                       { "x-call-id", FindHeader(aRequest.headers, "x-call-id") } };
  if (size > 0) {
    response.body.assign(static_cast<size_t>(size), 'x');
  } else {
    response.body = fmt::format(
      "{} {} by {}: {}\n", aRequest.method, aRequest.target, traits_.name, aRequest.body);
  }
  return response;
}

} // namespace dandelion
