/// Messages are decoded as they were encoded, and decoders return an error for any invalid bytes.
///
/// Damaged or malicious bytes could otherwise crash the decoder: by an unexpected exception, by
/// nesting that overflows the stack, or by an array size that exhausts the memory.
#include "support/Check.h"
#include "support/Mutate.h"
#include "support/Notes.h"

#include "wire/Wire.h"

using namespace dandelion;
using namespace dandelion::testing;

namespace {

LinkEnvelope AnyEnvelope()
{
  Note note = *ArbitraryNote();
  switch (*rc::gen::inRange(0, 4)) {
    case 0:
      return { 3, EntriesDelivery{ { Entry{ 4, note, "p", "r" } } } };
    case 1:
      return { 3, SnapshotDelivery{ MakeFirstConfiguration(), "hash" } };
    case 2: {
      OpenCall call;
      call.id = *rc::gen::arbitrary<uint64_t>();
      call.method = "POST";
      call.headers = { { "a", "b" } };
      call.body.data = *rc::gen::arbitrary<std::string>();
      return { 9, call };
    }
    default: {
      CallReply reply;
      reply.error = ErrorKind::Overloaded;
      reply.body.data = *rc::gen::arbitrary<std::string>();
      return { 9, reply };
    }
  }
}

} // namespace

Test(messages, round_trip_unchanged)
{
  CHECK_PROPERTY("encode, decode, encode gives the same bytes", [] {
    std::string bytes = Encode(AnyEnvelope());
    auto decoded = Decode<LinkEnvelope>(bytes);
    RC_ASSERT(decoded.ok());
    RC_ASSERT(Encode(*decoded) == bytes);
  });
}

Test(messages, decode_damaged_bytes_to_message_or_error)
{
  CHECK_PROPERTY("mutated frames", [] {
    auto decoded = Decode<LinkEnvelope>(Mutate(Encode(AnyEnvelope())));
    if (!decoded.ok()) {
      RC_ASSERT(KindOf(decoded.status()) == ErrorKind::BrokenMessage);
    }
  });
  CHECK_PROPERTY("mutated fragments", [] {
    Fragment fragment{ 7, false, Bytes{ *rc::gen::arbitrary<std::string>() } };
    auto decoded = Decode<LinkFrame>(Mutate(Encode(LinkFrame(fragment))));
    if (!decoded.ok()) {
      RC_ASSERT(KindOf(decoded.status()) == ErrorKind::BrokenMessage);
    }
  });
  CHECK_PROPERTY("arbitrary datagrams", [] {
    auto decoded = Decode<Datagram>(*rc::gen::arbitrary<std::string>());
    if (!decoded.ok()) {
      RC_ASSERT(KindOf(decoded.status()) == ErrorKind::BrokenMessage);
    }
  });
}

Test(messages, reject_unbounded_nesting_and_array_sizes)
{
  std::string deep(100000, static_cast<char>(0x81));
  cr_assert(!Decode<LinkEnvelope>(deep).ok());
  // No memory may be allocated for an array that claims more elements than there are bytes.
  std::string huge("\x9b\xff\xff\xff\xff\xff\xff\xff\xff", 9);
  cr_assert(!Decode<LinkEnvelope>(huge).ok());
}

Test(notes, parse_damaged_json_to_note_or_error_with_reason)
{
  CHECK_PROPERTY("mutated JSON", [] {
    std::string text = Mutate(ToJson(*ArbitraryNote()).dump());
    auto json = ParseJson(text, kMaxNoteBytes);
    if (json.ok()) {
      auto note = FromJson<Note>(*json, ErrorKind::InvalidNote);
      RC_ASSERT(note.ok() || !MessageOf(note.status()).empty());
    } else {
      RC_ASSERT(!MessageOf(json.status()).empty());
    }
  });
}
