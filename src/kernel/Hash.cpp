#include "kernel/Hash.h"

#include <fmt/format.h>

namespace dandelion {

uint64_t HashBytes(std::string_view aBytes, uint64_t aSeed)
{
  return XXH3_64bits_withSeed(aBytes.data(), aBytes.size(), aSeed);
}

FieldHash::FieldHash()
  : state_(XXH3_createState())
{
  XXH3_128bits_reset(state_);
}

FieldHash::~FieldHash()
{
  XXH3_freeState(state_);
}

std::string FieldHash::Digest() const
{
  XXH128_hash_t digest = XXH3_128bits_digest(state_);
  return fmt::format("{:016x}{:016x}", digest.high64, digest.low64);
}

void FieldHash::AddInteger(uint64_t aValue)
{
  // Always little-endian, so that the hash is the same on all machines.
  char bytes[sizeof(aValue)];
  for (char& byte : bytes) {
    byte = static_cast<char>(aValue & 0xff);
    aValue >>= 8;
  }
  AddBytes(std::string_view(bytes, sizeof(bytes)));
}

void FieldHash::AddBytes(std::string_view aBytes)
{
  XXH3_128bits_update(state_, aBytes.data(), aBytes.size());
}

} // namespace dandelion
