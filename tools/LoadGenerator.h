/// Generates open-loop load: calls are sent when they are due, whether or not earlier calls were
/// answered, and latencies are measured from the due time.
#ifndef DANDELION_TOOLS_LOAD_GENERATOR_H
#define DANDELION_TOOLS_LOAD_GENERATOR_H

#include "wire/Wire.h"

#include <random>
#include <string>
#include <vector>

namespace dandelion {

/// A stream of identical calls during a part of the run.
struct LoadPlan
{
  std::string name;
  /// Endpoints to which the calls are sent, round robin.
  std::vector<Endpoint> fronts;
  std::string method = "GET";
  std::string path = "/";
  HttpHeaders headers;
  double callsPerSecond = 1;
  Duration begin = Duration::zero();
  Duration end = seconds(1);
  /// Answers after this time do not count as good.
  Duration deadline = seconds(10);
};

struct LoadResult
{
  int64_t sent = 0;
  /// Answered with status 200 within the deadline. Later answers with status 200 are in none of the
  /// three counts.
  int64_t good = 0;
  /// Answered with the outcome not-run.
  int64_t notRun = 0;
  /// Other answers, and calls without an answer.
  int64_t other = 0;
  /// Milliseconds from the due times of calls to their answers with status 200.
  std::vector<double> latenciesMs;

  double Percentile(double aFraction) const;
};

class LoadGenerator
{
public:
  LoadGenerator(Loop& aLoop, uint64_t aSeed);

  void Add(const LoadPlan& aPlan);
  /// Runs all plans and returns when every call is complete.
  void Run();
  const LoadResult& ResultOf(const std::string& aName) const;

private:
  struct Stream
  {
    LoadPlan plan;
    LoadResult result;
    TimePoint nextDue;
    size_t nextFront = 0;
    Timer timer;
    bool isFinished = false;
  };
  void SendDue(Stream& aStream);
  void SendOne(Stream& aStream, TimePoint aDue);
  void OnResult(Stream& aStream, TimePoint aDue, const HttpResult& aResult);
  void StopIfFinished();

  Loop& loop_;
  HttpClient client_;
  std::mt19937_64 random_;
  TimePoint start_;
  std::vector<std::unique_ptr<Stream>> streams_;
  int64_t outstanding_ = 0;
};

} // namespace dandelion

#endif
