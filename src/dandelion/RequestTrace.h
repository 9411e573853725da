/// Reconstructs the path of one request from the logs of the nodes that handled it.
#ifndef DANDELION_DANDELION_REQUEST_TRACE_H
#define DANDELION_DANDELION_REQUEST_TRACE_H

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace dandelion {

/// One log entry about the request.
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

  /// Parses one line of a log. Text that a log collector put before the node's JSON is ignored.
  void AddLine(std::string_view aLine);

  /// Returns the entries sorted by time. The nodes' clocks may differ by some milliseconds.
  std::vector<TraceLine> Lines() const;
  /// Number of lines that are not JSON log entries of a node.
  size_t CountUnreadable() const { return unreadableCount_; }
  /// Number of lines that nodes omitted to limit the volume of their logs. The trace may lack
  /// entries if it is not 0.
  size_t CountOmitted() const { return omittedCount_; }

private:
  std::string request_;
  std::vector<TraceLine> lines_;
  size_t unreadableCount_ = 0;
  size_t omittedCount_ = 0;
};

} // namespace dandelion

#endif
