#include "wire/SharedWrite.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>

namespace dandelion {

namespace {

/// Smaller texts are copied, which costs less than an owner for the output.
constexpr size_t kMinSharedBytes = 16 * 1024;

} // namespace

void WriteShared(bufferevent* aSocket, const SharedString& aText)
{
  if (aText.size() < kMinSharedBytes) {
    bufferevent_write(aSocket, aText.Text().data(), aText.size());
    return;
  }
  using Owner = std::shared_ptr<const std::string>;
  auto* owner = new Owner(aText.Shared());
  auto release = [](const void*, size_t, void* aOwner) { delete static_cast<Owner*>(aOwner); };
  evbuffer* output = bufferevent_get_output(aSocket);
  if (evbuffer_add_reference(output, (*owner)->data(), (*owner)->size(), release, owner) != 0) {
    delete owner;
  }
}

} // namespace dandelion
