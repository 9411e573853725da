#include "dandelion/RequestTrace.h"

#include "codec/Codec.h"

#include <algorithm>

namespace dandelion {

namespace {

std::string TextOf(const Json& aLine, const char* aName)
{
  auto found = aLine.find(aName);
  return found != aLine.end() && found->is_string() ? found->get<std::string>() : "";
}

size_t CountOf(const Json& aLine, const char* aName)
{
  auto found = aLine.find(aName);
  return found != aLine.end() && found->is_number_unsigned() ? found->get<size_t>() : 0;
}

} // namespace

void RequestTrace::AddLine(std::string_view aLine)
{
  size_t begin = aLine.find('{');
  if (begin == std::string_view::npos) {
    unreadableCount_ += aLine.empty() ? 0 : 1;
    return;
  }
  Json line = ParseForeignJson(aLine.substr(begin));
  if (!line.is_object()) {
    ++unreadableCount_;
    return;
  }
  omittedCount_ += CountOf(line, "left_out") + CountOf(line, "dropped");
  if (TextOf(line, "request") == request_) {
    lines_.push_back(TraceLine{
      TextOf(line, "time"), TextOf(line, "node"), TextOf(line, "part"), TextOf(line, "text") });
  }
}

std::vector<TraceLine> RequestTrace::Lines() const
{
  std::vector<TraceLine> lines = lines_;
  // Timestamps have a fixed width, so they sort as text. The stable sort keeps the order of equal
  // ones.
  std::stable_sort(lines.begin(), lines.end(), [](const TraceLine& aA, const TraceLine& aB) {
    return aA.time < aB.time;
  });
  return lines;
}

} // namespace dandelion
