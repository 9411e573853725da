#include "wire/AccountKeys.h"

#include "wire/SharedKeys.h"

#include "absl/strings/ascii.h"
#include "absl/strings/match.h"

#include <openssl/evp.h>

#include <algorithm>
#include <array>

namespace dandelion {

namespace {

constexpr char kKeyHeader[] = "Authorization";
constexpr char kKeyScheme[] = "Bearer";

bool IsKeyHeader(const HeaderField& aHeader)
{
  return absl::EqualsIgnoreCase(aHeader.name, kKeyHeader);
}

} // namespace

std::string DigestOfKey(std::string_view aKey)
{
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest = {};
  unsigned int size = 0;
  if (EVP_Digest(aKey.data(), aKey.size(), digest.data(), &size, EVP_sha256(), nullptr) != 1) {
    // An empty digest belongs to no account.
    return "";
  }
  return ToHex(std::string(digest.begin(), digest.begin() + size));
}

std::optional<std::string> FindKeyDigest(const std::vector<HeaderField>& aHeaders)
{
  auto header = std::find_if(aHeaders.begin(), aHeaders.end(), IsKeyHeader);
  if (header == aHeaders.end() ||
      std::find_if(std::next(header), aHeaders.end(), IsKeyHeader) != aHeaders.end()) {
    return std::nullopt;
  }
  absl::string_view value = absl::StripAsciiWhitespace(header->value);
  size_t schemeEnd = value.find_first_of(" \t");
  if (schemeEnd == absl::string_view::npos ||
      !absl::EqualsIgnoreCase(value.substr(0, schemeEnd), kKeyScheme)) {
    return std::nullopt;
  }
  absl::string_view key = absl::StripLeadingAsciiWhitespace(value.substr(schemeEnd));
  return DigestOfKey(std::string_view(key.data(), key.size()));
}

void RemoveKeyHeaders(std::vector<HeaderField>& aHeaders)
{
  aHeaders.erase(std::remove_if(aHeaders.begin(), aHeaders.end(), IsKeyHeader), aHeaders.end());
}

} // namespace dandelion
