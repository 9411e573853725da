/// Sends operators' requests to nodes and falls back to the next node if one does not respond.
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
  /// `aNodes` are the nodes' operator endpoints, in the order in which they are tried.
  OperatorClient(std::vector<Endpoint> aNodes, SharedKeys aKeys);

  /// Sends a request and waits for the answer, for at most `aTimeLimit` per node. A request may be
  /// sent again through another node: notes are idempotent by their id.
  /// Error: unreachable if no node responds.
  absl::StatusOr<OperatorAnswer> Send(const HttpRequest& aRequest, Duration aTimeLimit);

  /// Sends a request and parses the answer.
  /// Errors: unreachable; broken-message if the answer is not a JSON object.
  absl::StatusOr<Json> SendForJson(const HttpRequest& aRequest, Duration aTimeLimit);

  /// Runs the event loop for `aTime`, to space out repeated queries.
  void Wait(Duration aTime);

private:
  Loop loop_;
  HttpClient client_;
  std::vector<Endpoint> nodes_;
  SharedKeys keys_;
  size_t current_ = 0;
};

/// Reads the operators' key from the first line of a file. An empty path yields no key.
/// Error: usage if the file has no key.
absl::StatusOr<SharedKeys> ReadKeyFile(const std::string& aPath);

/// Parses "ip:port,ip:port".
/// Error: usage for an invalid address.
absl::StatusOr<std::vector<Endpoint>> ParseNodes(const std::string& aText);

} // namespace dandelion

#endif
