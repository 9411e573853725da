/// Writes bytes to a socket without copying them. Internal to the library.
#ifndef DANDELION_WIRE_SHARED_WRITE_H
#define DANDELION_WIRE_SHARED_WRITE_H

#include "codec/Codec.h"

struct bufferevent;

namespace dandelion {

/// Appends the text to the socket's output, which shares it until it is sent.
void WriteShared(bufferevent* aSocket, const SharedString& aText);

} // namespace dandelion

#endif
