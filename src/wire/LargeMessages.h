/// Encodes and decodes messages around a large body without copying it.
#ifndef DANDELION_WIRE_LARGE_MESSAGES_H
#define DANDELION_WIRE_LARGE_MESSAGES_H

#include "wire/Messages.h"

namespace dandelion {

/// Encoded bytes of which the middle part is shared with its owner.
struct SplitBytes
{
  SplitBytes() = default;
  SplitBytes(std::string aBytes) // NOLINT(google-explicit-constructor): bytes that are not split
    : head(std::move(aBytes))
  {
  }
  // NOLINTNEXTLINE(readability-identifier-naming): as of a string
  size_t size() const { return head.size() + body.size() + tail.size(); }
  /// A copy of up to `aCount` bytes from `aOffset` on.
  std::string Slice(size_t aOffset, size_t aCount) const;

  std::string head;
  SharedString body;
  std::string tail;
};

/// The body of a message that has one; null otherwise.
const Bytes* BodyOf(const LinkMessage& aMessage);

/// Encodes to the same bytes as `Encode`.
SplitBytes EncodeSplit(const LinkEnvelope& aEnvelope);

/// Decodes the same bytes as `Decode`. The body takes over the memory of `aBytes`.
absl::StatusOr<LinkEnvelope> DecodeInPlace(std::string aBytes);

} // namespace dandelion

#endif
