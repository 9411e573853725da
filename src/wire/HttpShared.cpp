#include "wire/HttpShared.h"

namespace dandelion {

template<>
struct EnumNames<evhttp_cmd_type>
{
  static constexpr EnumName<evhttp_cmd_type> kTable[] = {
    { EVHTTP_REQ_GET, "GET" },       { EVHTTP_REQ_POST, "POST" },
    { EVHTTP_REQ_HEAD, "HEAD" },     { EVHTTP_REQ_PUT, "PUT" },
    { EVHTTP_REQ_DELETE, "DELETE" }, { EVHTTP_REQ_OPTIONS, "OPTIONS" },
    { EVHTTP_REQ_PATCH, "PATCH" },
  };
};

std::string MethodName(evhttp_cmd_type aCommand)
{
  return std::string(NameOf(aCommand));
}

std::optional<evhttp_cmd_type> MethodCommand(std::string_view aName)
{
  return FromName<evhttp_cmd_type>(aName);
}

HttpHeaders ReadHeaders(evkeyvalq* aHeaders)
{
  HttpHeaders headers;
  for (evkeyval* header = aHeaders->tqh_first; header != nullptr; header = header->next.tqe_next) {
    headers.emplace_back(header->key, header->value);
  }
  return headers;
}

std::string TakeBody(evbuffer* aBuffer)
{
  std::string body(evbuffer_get_length(aBuffer), '\0');
  evbuffer_remove(aBuffer, body.data(), body.size());
  return body;
}

} // namespace dandelion
