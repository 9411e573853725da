/// Asks nodes on behalf of an operator, the next one where one does not answer.
#ifndef DANDELION_DANDELION_OPERATOR_CLIENT_H
#define DANDELION_DANDELION_OPERATOR_CLIENT_H

#include "wire/Wire.h"

#include <string>
#include <vector>

namespace dandelion {

struct OperatorAnswer
{
  int httpStatus = 0;
  std::string text;
};

class OperatorClient
{
public:
  /// `aNodes` are the operators' addresses of nodes, in the order in which they are tried.
  OperatorClient(std::vector<Endpoint> aNodes, SharedKeys aKeys);

  /// Sends a request and waits for the answer. Every request here may be repeated through
  /// another node: a note's id makes its repeat harmless.
  absl::StatusOr<OperatorAnswer> Send(const HttpRequest& aRequest, Duration aTimeLimit);

  /// The same, with the answer parsed.
  absl::StatusOr<Json> SendForJson(const HttpRequest& aRequest, Duration aTimeLimit);

  /// Lets time pass, for a tool that asks again and again.
  void Wait(Duration aTime);

private:
  Loop loop_;
  HttpClient client_;
  std::vector<Endpoint> nodes_;
  SharedKeys keys_;
  size_t current_ = 0;
};

/// Reads the operators' key from the first line of a file; no key for an empty path.
absl::StatusOr<SharedKeys> ReadKeyFile(const std::string& aPath);

/// Parses "ip:port,ip:port".
absl::StatusOr<std::vector<Endpoint>> ParseNodes(const std::string& aText);

} // namespace dandelion

#endif
