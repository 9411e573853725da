#include "UpstreamStandin.h"

#include "absl/strings/numbers.h"

namespace dandelion {

namespace {

constexpr int64_t kMostAnswerBytes = 16 * 1024 * 1024;

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
    HttpResponse shed{ 503, { { kOutcomeHeader, std::string(NameOf(CallOutcome::NotRun)) } }, "" };
    aExchange->Reply(shed);
    return;
  }
  journal_.push_back(FindHeader(request.headers, "x-call-id"));
  uint64_t id = nextId_++;
  Duration work =
    milliseconds(IntegerHeader(request, "x-work-ms", traits_.workMs) * traits_.slowness);
  running_[id] = Running{ aExchange, loop_.After(work, [this, id] { Finish(id); }) };
  aExchange->OnGone([this, id] { cancelled_ += static_cast<int64_t>(running_.erase(id)); });
}

void UpstreamStandin::OnControl(const Exchange& aExchange)
{
  Json json = Json::parse(aExchange->Request().body, nullptr, false);
  auto traits = FromJson<UpstreamTraits>(json, ErrorKind::Usage);
  if (!traits.ok()) {
    aExchange->Reply(HttpResponse{ 400, {}, Reason(traits.status()) });
    return;
  }
  traits->name = traits_.name;
  traits_ = *traits;
  aExchange->Reply(HttpResponse{ 200, {}, "{}" });
}

void UpstreamStandin::Finish(uint64_t aId)
{
  Exchange exchange = running_.at(aId).exchange;
  running_.erase(aId);
  exchange->Reply(AnswerTo(exchange->Request()));
}

HttpResponse UpstreamStandin::AnswerTo(const HttpRequest& aRequest) const
{
  int64_t size = std::min(IntegerHeader(aRequest, "x-answer-bytes", 0), kMostAnswerBytes);
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
