#include "dandelion/OperatorClient.h"

#include "absl/strings/numbers.h"
#include "absl/strings/str_split.h"

#include <fstream>

namespace dandelion {

OperatorClient::OperatorClient(std::vector<Endpoint> aNodes, SharedKeys aKeys)
  : client_(loop_)
  , nodes_(std::move(aNodes))
  , keys_(std::move(aKeys))
{
}

absl::StatusOr<OperatorAnswer> OperatorClient::Send(const HttpRequest& aRequest,
                                                    Duration aTimeLimit)
{
  HttpRequest request = aRequest;
  if (keys_.IsEnabled()) {
    std::string signatureInput =
      OperatorSignatureInput(request.method, request.target, request.body.Text());
    request.headers.emplace_back(
      kSignatureHeader, ToHex(keys_.Sign(SignaturePurpose::OperatorRequest, signatureInput)));
  }
  for (size_t tried = 0; tried < nodes_.size(); ++tried) {
    HttpResult result;
    client_.Send(nodes_[current_], request, aTimeLimit, [&](const HttpResult& aResult) {
      result = aResult;
      loop_.Stop();
    });
    loop_.Run();
    if (result.outcome == HttpOutcome::Answered) {
      return OperatorAnswer{ result.response.status, result.response.body };
    }
    Log(LogPart::Tool, LogLevel::Warning, "No response from node {}.", ToText(nodes_[current_]));
    current_ = (current_ + 1) % nodes_.size();
  }
  return MakeError(ErrorKind::Unreachable,
                   "no node responds; check the addresses given with --nodes");
}

absl::StatusOr<Json> OperatorClient::SendForJson(const HttpRequest& aRequest, Duration aTimeLimit)
{
  auto answer = Send(aRequest, aTimeLimit);
  if (!answer.ok()) {
    return answer.status();
  }
  Json json = ParseForeignJson(answer->text);
  if (!json.is_object()) {
    return MakeError(ErrorKind::BrokenMessage, "the node's response is not a JSON object");
  }
  return json;
}

void OperatorClient::Wait(Duration aTime)
{
  Timer timer = loop_.After(aTime, [this] { loop_.Stop(); });
  loop_.Run();
}

absl::StatusOr<SharedKeys> ReadKeyFile(const std::string& aPath)
{
  if (aPath.empty()) {
    return SharedKeys();
  }
  std::ifstream file(aPath);
  std::string key;
  if (!std::getline(file, key) || key.empty()) {
    return MakeError(
      ErrorKind::Usage,
      fmt::format("--key_file: no key in the first line of \"{}\"; check the path", aPath));
  }
  return SharedKeys({ key });
}

absl::StatusOr<std::vector<Endpoint>> ParseNodes(const std::string& aText)
{
  std::vector<Endpoint> nodes;
  for (const std::string& address : std::vector<std::string>(absl::StrSplit(aText, ','))) {
    std::vector<std::string> parts = absl::StrSplit(address, ':');
    uint32_t port = 0;
    bool isValid =
      parts.size() == 2 && absl::SimpleAtoi(parts[1], &port) && port > 0 && port <= UINT16_MAX;
    if (!isValid) {
      return MakeError(ErrorKind::Usage,
                       fmt::format("--nodes: \"{}\" is not ip:port; write 10.0.0.1:7003", address));
    }
    nodes.push_back(Endpoint{ parts[0], static_cast<uint16_t>(port) });
  }
  return nodes;
}

} // namespace dandelion
