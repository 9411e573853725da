#include "wire/SharedKeys.h"

#include "absl/strings/escaping.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>

#include <algorithm>
#include <array>
#include <cctype>

namespace dandelion {

namespace {

constexpr size_t kNonceBytes = 16;

std::string ComputeSignature(const std::string& aKey,
                             SignaturePurpose aPurpose,
                             std::string_view aBytes)
{
  // The purpose is prepended and ends with a byte that no purpose name contains, so that inputs for
  // different purposes are never equal.
  std::string input(NameOf(aPurpose));
  input += '\0';
  input += aBytes;
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest = {};
  unsigned int size = 0;
  HMAC(EVP_sha256(),
       aKey.data(),
       static_cast<int>(aKey.size()),
       reinterpret_cast<const unsigned char*>(input.data()),
       input.size(),
       digest.data(),
       &size);
  return std::string(digest.begin(), digest.begin() + SharedKeys::kSignatureBytes);
}

} // namespace

SharedKeys::SharedKeys(std::vector<std::string> aKeys)
  : keys_(std::move(aKeys))
{
}

std::string SharedKeys::Sign(SignaturePurpose aPurpose, std::string_view aBytes) const
{
  return IsEnabled() ? ComputeSignature(keys_.front(), aPurpose, aBytes) : std::string();
}

bool SharedKeys::Verify(SignaturePurpose aPurpose,
                        std::string_view aBytes,
                        std::string_view aSignature) const
{
  if (!IsEnabled()) {
    return true;
  }
  if (aSignature.size() != kSignatureBytes) {
    return false;
  }
  auto isSignedWith = [&](const std::string& aKey) {
    std::string expected = ComputeSignature(aKey, aPurpose, aBytes);
    // Constant-time comparison, so that response times do not reveal correct leading bytes.
    return CRYPTO_memcmp(expected.data(), aSignature.data(), kSignatureBytes) == 0;
  };
  return std::any_of(keys_.begin(), keys_.end(), isSignedWith);
}

std::string OperatorSignatureInput(std::string_view aMethod,
                                   std::string_view aTarget,
                                   std::string_view aBody)
{
  return fmt::format("{}\n{}\n{}", aMethod, aTarget, aBody);
}

std::string MakeNonce()
{
  std::array<unsigned char, kNonceBytes> bytes = {};
  if (RAND_bytes(bytes.data(), static_cast<int>(bytes.size())) != 1) {
    Log(LogPart::Links,
        LogLevel::Error,
        "The system provides no random bytes for a nonce; incoming links are refused.");
    return "";
  }
  return ToHex(std::string(bytes.begin(), bytes.end()));
}

std::string ToHex(std::string_view aBytes)
{
  return absl::BytesToHexString(absl::string_view(aBytes.data(), aBytes.size()));
}

std::string FromHex(std::string_view aText)
{
  auto isDigit = [](unsigned char aCharacter) { return std::isxdigit(aCharacter) != 0; };
  bool isHex = aText.size() % 2 == 0 && std::all_of(aText.begin(), aText.end(), isDigit);
  return isHex ? absl::HexStringToBytes(absl::string_view(aText.data(), aText.size()))
               : std::string();
}

} // namespace dandelion
