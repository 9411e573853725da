/// Tests that `RequestTrace` joins the log lines of several nodes about one request.
#include "support/Check.h"

#include "dandelion/RequestTrace.h"

using namespace dandelion;

namespace {

/// Log lines of two nodes, out of order. The first has the prefix that a log collector adds.
constexpr const char* kLines[] = {
  R"(  16.8131 sidecar-kgn-nl-2 {"time":"2026-04-21T22:29:40.813Z","level":"info","part":"calls","node":"sidecar-kgn-nl-2","request":"8ed9a0df07a8e87b","left_out":3,"text":"Answered unknown after 400 ms and 2 asks: deadline-exceeded."})",
  R"({"time":"2026-04-21T22:29:40.701Z","level":"info","part":"admission","node":"sidecar-mbj-fair-2","request":"8ed9a0df07a8e87b","text":"Refused as not run: leaving."})",
  R"({"time":"2026-04-21T22:29:40.702Z","level":"info","part":"admission","node":"sidecar-mbj-fair-2","request":"63fb53b5027d5676","text":"Refused as not run: leaving."})",
  R"({"time":"2026-04-21T22:29:40.500Z","level":"info","part":"kernel","node":"sidecar-mbj-fair-2","text":"sidecar-mbj-fair-2 is stopping and finishes its calls in progress."})",
};

} // namespace

Test(request_trace, collects_the_lines_of_one_request_sorted_by_time)
{
  RequestTrace trace("8ed9a0df07a8e87b");
  for (const char* line : kLines) {
    trace.AddLine(line);
  }
  std::vector<TraceLine> lines = trace.Lines();
  cr_assert_eq(lines.size(), 2);
  cr_assert_eq(lines[0].node, std::string("sidecar-mbj-fair-2"));
  cr_assert_eq(lines[0].part, std::string("admission"));
  cr_assert_eq(lines[1].text,
               std::string("Answered unknown after 400 ms and 2 asks: deadline-exceeded."));
  cr_assert_eq(trace.CountOmitted(), 3);
  cr_assert_eq(trace.CountUnreadable(), 0);
}

Test(request_trace, ignores_lines_that_are_not_log_entries)
{
  RequestTrace trace("a");
  for (const char* line :
       { "", "plain words", "{", "{\"request\":7}", "[1]", "{\"request\":\"a" }) {
    trace.AddLine(line);
  }
  cr_assert(trace.Lines().empty());
  cr_assert_eq(trace.CountUnreadable(), 4);
}
