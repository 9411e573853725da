/// Finds the way of one request in the logs of the nodes that it passed.
#ifndef DANDELION_DANDELION_REQUEST_TRACE_H
#define DANDELION_DANDELION_REQUEST_TRACE_H

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace dandelion {

/// One decision about the request.
struct TraceLine
{
  std::string time;
  std::string node;
  std::string part;
  std::string text;
};

class RequestTrace
{
public:
  explicit RequestTrace(std::string aRequest)
    : request_(std::move(aRequest))
  {
  }

  /// Takes one line of a log. A collector may have put other words before the node's JSON.
  void AddLine(std::string_view aLine);

  /// The decisions in the order of their times. The nodes' clocks may differ by some milliseconds.
  std::vector<TraceLine> Lines() const;
  /// Lines that are no JSON object of a node's log.
  size_t CountUnreadable() const { return unreadableCount_; }
  /// Lines that nodes left out to bound the volume of their logs: the story may lack some.
  size_t CountOmitted() const { return omittedCount_; }

private:
  std::string request_;
  std::vector<TraceLine> lines_;
  size_t unreadableCount_ = 0;
  size_t omittedCount_ = 0;
};

} // namespace dandelion

#endif
