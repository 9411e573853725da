#include "wire/HttpRequestHead.h"

namespace dandelion {

std::string RequestHead(const HttpRequest& aRequest, const Endpoint& aServer)
{
  std::string bytes = fmt::format("{} {} HTTP/1.1\r\n", aRequest.method, aRequest.target);
  for (const auto& [name, value] : aRequest.headers) {
    bytes += fmt::format("{}: {}\r\n", name, value);
  }
  if (FindHeader(aRequest.headers, "Host").empty()) {
    bytes += fmt::format("Host: {}\r\n", ToText(aServer));
  }
  bool hasBody = !aRequest.body.empty() || aRequest.method == "POST" || aRequest.method == "PUT" ||
                 aRequest.method == "PATCH";
  if (hasBody) {
    bytes += fmt::format("Content-Length: {}\r\n", aRequest.body.size());
  }
  bytes += "\r\n";
  return bytes;
}

} // namespace dandelion
