/// API keys of client accounts in requests. Keys are kept and compared as digests only.
#ifndef DANDELION_WIRE_ACCOUNT_KEYS_H
#define DANDELION_WIRE_ACCOUNT_KEYS_H

#include "wire/Messages.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace dandelion {

/// SHA-256 digest of a key, in lower-case hexadecimal digits.
std::string DigestOfKey(std::string_view aKey);

/// Digest of the key in the header `Authorization: Bearer KEY`. Empty if the header is missing,
/// occurs more than once, has another scheme or an empty key.
std::optional<std::string> FindKeyDigest(const std::vector<HeaderField>& aHeaders);

/// Removes the headers that carry a key.
void RemoveKeyHeaders(std::vector<HeaderField>& aHeaders);

} // namespace dandelion

#endif
