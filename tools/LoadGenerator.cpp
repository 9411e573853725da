#include "LoadGenerator.h"

#include <algorithm>

namespace dandelion {

namespace {

/// Calls without an answer after this time are counted as `other`.
constexpr Duration kCallTimeout = seconds(20);

} // namespace

double LoadResult::Percentile(double aFraction) const
{
  if (latenciesMs.empty()) {
    return 0;
  }
  std::vector<double> sorted = latenciesMs;
  std::sort(sorted.begin(), sorted.end());
  return sorted[static_cast<size_t>(aFraction * static_cast<double>(sorted.size() - 1) + 0.5)];
}

LoadGenerator::LoadGenerator(Loop& aLoop, uint64_t aSeed)
  : loop_(aLoop)
  , client_(aLoop)
  , random_(aSeed)
{
}

void LoadGenerator::Add(const LoadPlan& aPlan)
{
  auto stream = std::make_unique<Stream>();
  stream->plan = aPlan;
  streams_.push_back(std::move(stream));
}

void LoadGenerator::Run()
{
  start_ = loop_.Now();
  for (auto& stream : streams_) {
    stream->nextDue = start_ + stream->plan.begin;
    Stream& current = *stream;
    current.timer = loop_.After(stream->plan.begin, [this, &current] { SendDue(current); });
  }
  loop_.Run();
}

const LoadResult& LoadGenerator::ResultOf(const std::string& aName) const
{
  for (const auto& stream : streams_) {
    if (stream->plan.name == aName) {
      return stream->result;
    }
  }
  static const LoadResult kNone;
  return kNone;
}

void LoadGenerator::SendDue(Stream& aStream)
{
  TimePoint now = loop_.Now();
  TimePoint end = start_ + aStream.plan.end;
  // Exponential gaps give Poisson arrivals, like independent calls of many callers.
  std::exponential_distribution<double> gap(aStream.plan.callsPerSecond);
  while (aStream.nextDue <= now && aStream.nextDue < end) {
    SendOne(aStream, aStream.nextDue);
    constexpr double kMicrosecondsPerSecond = 1e6;
    aStream.nextDue += Duration(static_cast<int64_t>(gap(random_) * kMicrosecondsPerSecond));
  }
  if (aStream.nextDue >= end) {
    aStream.isFinished = true;
    StopIfFinished();
    return;
  }
  aStream.timer = loop_.After(aStream.nextDue - now, [this, &aStream] { SendDue(aStream); });
}

void LoadGenerator::SendOne(Stream& aStream, TimePoint aDue)
{
  const LoadPlan& plan = aStream.plan;
  HttpRequest request{ plan.method, plan.path, plan.headers, "" };
  const Endpoint& front = plan.fronts[aStream.nextFront++ % plan.fronts.size()];
  ++aStream.result.sent;
  ++outstanding_;
  client_.Send(front, request, kCallTimeout, [this, &aStream, aDue](const HttpResult& aResult) {
    OnResult(aStream, aDue, aResult);
  });
}

void LoadGenerator::OnResult(Stream& aStream, TimePoint aDue, const HttpResult& aResult)
{
  --outstanding_;
  Duration latency = loop_.Now() - aDue;
  std::string outcome = FindHeader(aResult.response.headers, kOutcomeHeader);
  constexpr int kOk = 200;
  // An upstream that is called directly sends no outcome header, so the HTTP status decides.
  bool isSuccess = aResult.outcome == HttpOutcome::Answered && aResult.response.status == kOk;
  if (isSuccess) {
    aStream.result.latenciesMs.push_back(
      std::chrono::duration<double, std::milli>(latency).count());
    aStream.result.good += latency <= aStream.plan.deadline ? 1 : 0;
  } else if (outcome == NameOf(CallOutcome::NotRun)) {
    ++aStream.result.notRun;
  } else {
    ++aStream.result.other;
  }
  StopIfFinished();
}

void LoadGenerator::StopIfFinished()
{
  auto isFinished = [](const auto& aStream) { return aStream->isFinished; };
  if (outstanding_ == 0 && std::all_of(streams_.begin(), streams_.end(), isFinished)) {
    loop_.Stop();
  }
}

} // namespace dandelion
