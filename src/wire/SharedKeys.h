/// Keys that members of one mesh share, by which they know each other's messages.
#ifndef DANDELION_WIRE_SHARED_KEYS_H
#define DANDELION_WIRE_SHARED_KEYS_H

#include "kernel/Kernel.h"

#include <string>
#include <string_view>
#include <vector>

namespace dandelion {

/// What a signature is for; one for one purpose is worthless for another.
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

/// HMAC-SHA-256 signatures. Without a key nothing is signed and everything is believed.
class SharedKeys
{
public:
  static constexpr size_t kSignatureBytes = 16;

  SharedKeys() = default;
  /// The first key signs and all are believed, so that a new key can be brought in beside the old.
  explicit SharedKeys(std::vector<std::string> aKeys);

  bool IsEnabled() const { return !keys_.empty(); }
  /// `kSignatureBytes` bytes; empty without a key.
  std::string Sign(SignaturePurpose aPurpose, std::string_view aBytes) const;
  bool IsSigned(SignaturePurpose aPurpose,
                std::string_view aBytes,
                std::string_view aSignature) const;

private:
  std::vector<std::string> keys_;
};

/// Header with the signature of an operator's request, and the text that is signed. A captured
/// request can only be repeated as it is, and a note's id makes its repeat harmless.
constexpr char kSignatureHeader[] = "dandelion-signature";
std::string OperatorSignatureInput(std::string_view aMethod,
                                   std::string_view aTarget,
                                   std::string_view aBody);

/// Random text that was never used before, for one side of a handshake.
std::string MakeNonce();

/// Bytes as hexadecimal digits, for headers, and back; what is no such text gives no bytes.
std::string ToHex(std::string_view aBytes);
std::string FromHex(std::string_view aText);

} // namespace dandelion

#endif
