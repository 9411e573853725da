/// Writes the head of a request. Internal to the library.
#ifndef DANDELION_WIRE_HTTP_REQUEST_HEAD_H
#define DANDELION_WIRE_HTTP_REQUEST_HEAD_H

#include "wire/Http.h"

namespace dandelion {

/// The request line and the headers, up to the body.
std::string RequestHead(const HttpRequest& aRequest, const Endpoint& aServer);

} // namespace dandelion

#endif
