/// Keys that the members of a mesh share to authenticate each other's messages.
#ifndef DANDELION_WIRE_SHARED_KEYS_H
#define DANDELION_WIRE_SHARED_KEYS_H

#include "kernel/Kernel.h"

#include <string>
#include <string_view>
#include <vector>

namespace dandelion {

/// Purpose of a signature. A signature for one purpose is not valid for another.
enum class SignaturePurpose
{
  Datagram,
  LinkFromOpener,
  LinkFromListener,
  OperatorRequest,
};

template<>
struct EnumNames<SignaturePurpose>
{
  static constexpr EnumName<SignaturePurpose> kTable[] = {
    { SignaturePurpose::Datagram, "datagram" },
    { SignaturePurpose::LinkFromOpener, "link-from-opener" },
    { SignaturePurpose::LinkFromListener, "link-from-listener" },
    { SignaturePurpose::OperatorRequest, "operator-request" },
  };
};

/// HMAC-SHA-256 signatures, truncated to `kSignatureBytes`. Without a key nothing is signed and
/// every message is accepted.
class SharedKeys
{
public:
  static constexpr size_t kSignatureBytes = 16;

  SharedKeys() = default;
  /// The first key signs and all keys are accepted, so that a key can be replaced without downtime.
  explicit SharedKeys(std::vector<std::string> aKeys);

  bool IsEnabled() const { return !keys_.empty(); }
  /// Returns a signature of `kSignatureBytes` bytes, or an empty string without a key.
  std::string Sign(SignaturePurpose aPurpose, std::string_view aBytes) const;
  /// Whether the signature is valid under one of the keys. Always true without a key.
  bool Verify(SignaturePurpose aPurpose,
              std::string_view aBytes,
              std::string_view aSignature) const;

private:
  std::vector<std::string> keys_;
};

/// Header with the signature of an operator's request.
constexpr char kSignatureHeader[] = "dandelion-signature";
/// The bytes that are signed. A captured request can only be replayed unchanged, and the ID of a
/// note makes its replay harmless.
std::string OperatorSignatureInput(std::string_view aMethod,
                                   std::string_view aTarget,
                                   std::string_view aBody);

/// Returns a random nonce for one side of a handshake, in hexadecimal digits. Returns an empty
/// string and logs an error where the system provides no random bytes.
std::string MakeNonce();

/// Converts bytes to hexadecimal digits, for headers.
std::string ToHex(std::string_view aBytes);
/// Converts hexadecimal digits to bytes. Returns an empty string for invalid text.
std::string FromHex(std::string_view aText);

} // namespace dandelion

#endif
