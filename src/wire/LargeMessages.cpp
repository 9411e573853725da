#include "wire/LargeMessages.h"

#include <algorithm>

namespace dandelion {

namespace {

/// Smaller bodies are copied; that costs less than encoding twice.
constexpr size_t kMinSplitBytes = 4 * 1024;
constexpr char kEmptyByteString = 0x40;

Bytes* MutableBodyOf(LinkMessage& aMessage)
{
  return std::visit(Overloaded{
                      [](OpenCall& aCall) { return &aCall.body; },
                      [](CallReply& aReply) { return &aReply.body; },
                      [](auto&) -> Bytes* { return nullptr; },
                    },
                    aMessage);
}

void AppendPart(std::string& aTo, const std::string& aPart, size_t& aOffset, size_t aCount)
{
  if (aOffset >= aPart.size()) {
    aOffset -= aPart.size();
    return;
  }
  aTo.append(aPart, aOffset, aCount - aTo.size());
  aOffset = 0;
}

} // namespace

std::string SplitBytes::Slice(size_t aOffset, size_t aCount) const
{
  std::string slice;
  slice.reserve(aCount);
  for (const std::string* part : { &head, &body.Text(), &tail }) {
    if (slice.size() < aCount) {
      AppendPart(slice, *part, aOffset, aCount);
    }
  }
  return slice;
}

const Bytes* BodyOf(const LinkMessage& aMessage)
{
  return std::visit(Overloaded{
                      [](const OpenCall& aCall) { return &aCall.body; },
                      [](const CallReply& aReply) { return &aReply.body; },
                      [](const auto&) -> const Bytes* { return nullptr; },
                    },
                    aMessage);
}

SplitBytes EncodeSplit(const LinkEnvelope& aEnvelope)
{
  const Bytes* body = BodyOf(aEnvelope.message);
  if (body == nullptr || body->data.size() < kMinSplitBytes) {
    return Encode(aEnvelope);
  }
  SplitBytes split;
  split.body = body->data;
  LinkEnvelope rest = aEnvelope;
  MutableBodyOf(rest.message)->data.clear();
  std::string withoutBody = Encode(rest);
  // The encodings of an empty body and of one byte differ first in the head of the byte string.
  MutableBodyOf(rest.message)->data.assign(1, 'x');
  std::string withOneByte = Encode(rest);
  auto [differs, other] =
    std::mismatch(withoutBody.begin(), withoutBody.end(), withOneByte.begin());
  split.tail.assign(differs + 1, withoutBody.end());
  split.head.assign(withoutBody.begin(), differs);
  split.head += CborByteStringHead(split.body.size());
  return split;
}

absl::StatusOr<LinkEnvelope> DecodeInPlace(std::string aBytes)
{
  std::optional<CborByteString> found = FindLargeByteString(aBytes, kMinSplitBytes);
  if (!found.has_value() || found->size > aBytes.size() - found->begin) {
    return Decode<LinkEnvelope>(aBytes);
  }
  std::string rest = aBytes.substr(0, found->head);
  rest += kEmptyByteString;
  rest.append(aBytes, found->begin + found->size, std::string::npos);
  auto envelope = Decode<LinkEnvelope>(rest);
  if (!envelope.ok()) {
    return envelope;
  }
  Bytes* body = MutableBodyOf(envelope->message);
  if (body == nullptr || !body->data.empty()) {
    return MakeError(ErrorKind::BrokenMessage,
                     "a message has a large byte string in place of another field");
  }
  aBytes.resize(found->begin + found->size);
  aBytes.erase(0, found->begin);
  body->data = std::move(aBytes);
  return envelope;
}

} // namespace dandelion
