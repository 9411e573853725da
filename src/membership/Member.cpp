#include "membership/Member.h"

#include "absl/strings/numbers.h"

namespace dandelion {

std::optional<Endpoint> ParseEndpoint(std::string_view aText)
{
  size_t colon = aText.rfind(':');
  if (colon == std::string_view::npos) {
    return std::nullopt;
  }
  std::string port(aText.substr(colon + 1));
  uint32_t number = 0;
  if (!absl::SimpleAtoi(port, &number) || number == 0 || number > UINT16_MAX) {
    return std::nullopt;
  }
  return Endpoint{ std::string(aText.substr(0, colon)), static_cast<uint16_t>(number) };
}

} // namespace dandelion
