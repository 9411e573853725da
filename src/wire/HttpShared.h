/// Conversions between evhttp's structures and ours. Internal to the library.
#ifndef DANDELION_WIRE_HTTP_SHARED_H
#define DANDELION_WIRE_HTTP_SHARED_H

#include "wire/Http.h"

#include <event2/buffer.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>

#include <optional>

namespace dandelion {

std::string MethodName(evhttp_cmd_type aCommand);
std::optional<evhttp_cmd_type> MethodCommand(std::string_view aName);
HttpHeaders ReadHeaders(evkeyvalq* aHeaders);
std::string TakeBody(evbuffer* aBuffer);

} // namespace dandelion

#endif
