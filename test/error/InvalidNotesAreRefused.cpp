/// Guards against invalid notes that are accepted, or refused without naming the object, its
/// position in the note and the remedy.
#include "support/Check.h"
#include "support/Notes.h"

#include "codec/Codec.h"

using namespace dandelion;
using namespace dandelion::testing;

namespace {

absl::StatusOr<Configuration> ApplyText(const std::string& aText)
{
  auto json = ParseJson(aText, kMaxNoteBytes);
  if (!json.ok()) {
    return json.status();
  }
  auto note = FromJson<Note>(*json, ErrorKind::InvalidNote);
  if (!note.ok()) {
    return note.status();
  }
  Configuration current = MakeFirstConfiguration();
  return Apply(current, *note, note->base.value_or(current.version));
}

void CheckRefused(const std::string& aText, ErrorKind aKind, const std::string& aExpectedText)
{
  auto result = ApplyText(aText);
  cr_assert(!result.ok(), "the note was accepted: %s", aText.c_str());
  std::string reason = MessageOf(result.status());
  cr_assert_neq(reason.find(aExpectedText), std::string::npos, "%s", reason.c_str());
  cr_assert(KindOf(result.status()) == aKind, "%s", reason.c_str());
}

} // namespace

Test(invalid_notes, report_the_position_of_malformed_input)
{
  CheckRefused("{ \"id\": ", ErrorKind::InvalidNote, "not JSON");
  CheckRefused("[]", ErrorKind::InvalidNote, "one object in braces");
  CheckRefused("{}", ErrorKind::InvalidNote, "id is missing");
  CheckRefused(R"({"id": "n", "ad": {}})",
               ErrorKind::InvalidNote,
               "ad is not a known key; the keys here are: add");
  CheckRefused(R"({"id": 3})", ErrorKind::InvalidNote, "id must be a text");
  CheckRefused(R"({"id": "n", "id": "m"})", ErrorKind::InvalidNote, "\"id\" stands twice");
  CheckRefused(R"({"id": "n", "add": {"services": {}}})",
               ErrorKind::InvalidNote,
               "add.services must be a list");
  CheckRefused(R"({"id": "n", "add": {"services": [{"name": "a", "slots": 0}]}})",
               ErrorKind::InvalidNote,
               "add.services[0].slots must be a whole number from 1 to 4096");
  CheckRefused(R"({"id": "n", "add": {"policies": [{"name": "a", "class": "fast"}]}})",
               ErrorKind::InvalidNote,
               "add.policies[0].class must be one of: short, certificate");
  CheckRefused(
    std::string(100, '[') + std::string(100, ']'), ErrorKind::InvalidNote, "nests deeper");
  CheckRefused(std::string(kMaxNoteBytes + 1, ' '), ErrorKind::TooLarge, "split it");
}

Test(invalid_notes, report_all_errors_at_once)
{
  auto result = ApplyText(R"({"add": {"services": [{"slots": -1}]}, "nothing": 1})");
  std::string reason = MessageOf(result.status());
  for (const char* part : { "id is missing",
                            "add.services[0].name is missing",
                            "add.services[0].slots must be",
                            "nothing is not a known key" }) {
    cr_assert_neq(reason.find(part), std::string::npos, "%s", reason.c_str());
  }
}

Test(invalid_notes, report_the_affected_object)
{
  CheckRefused(R"({"id": "n"})", ErrorKind::InvalidNote, "is empty");
  CheckRefused(R"({"id": "N!", "withdraw": {"routes": ["r0"]}})",
               ErrorKind::InvalidNote,
               "\"N!\" is not a valid name");
  CheckRefused(R"({"id": "n", "add": {"services": [{"name": "s0"}]}})",
               ErrorKind::AlreadyExists,
               "service \"s0\" exists already; put it under \"change\"");
  CheckRefused(R"({"id": "n", "change": {"services": [{"name": "s9"}]}})",
               ErrorKind::UnknownObject,
               "service \"s9\" does not exist");
  CheckRefused(R"({"id": "n", "withdraw": {"services": ["s0"]}})",
               ErrorKind::InUse,
               "service \"s0\" is used by route \"r0\"");
  CheckRefused(R"({"id": "n", "withdraw": {"policies": ["policy"]}})",
               ErrorKind::InUse,
               "policy \"policy\" is used by route \"r0\"");
  CheckRefused(R"({"id": "n", "add": {"services": [{"name": "a"}, {"name": "a"}]}})",
               ErrorKind::InvalidNote,
               "service/a is listed twice");
  CheckRefused(R"({"id": "n", "add": {"routes": [
                 {"name": "x", "path_prefix": "/x", "service": "gone", "policy": "policy"}]}})",
               ErrorKind::DanglingReference,
               "route \"x\" uses service \"gone\", which does not exist");
  CheckRefused(R"({"id": "n", "add": {"routes": [
                 {"name": "x", "path_prefix": "/r0", "service": "s0", "policy": "policy"}]}})",
               ErrorKind::AlreadyExists,
               "both match path_prefix \"/r0\"");
  CheckRefused(R"({"id": "n", "add": {"routes": [
                 {"name": "x", "path_prefix": "x y", "service": "s0", "policy": "policy"}]}})",
               ErrorKind::InvalidNote,
               "start it with '/'");
  CheckRefused(R"({"id": "first", "withdraw": {"routes": ["r0"]}})",
               ErrorKind::DuplicateId,
               "was accepted as version 1");
  CheckRefused(R"({"id": "n", "base": 9, "withdraw": {"routes": ["r0"]}})",
               ErrorKind::Conflict,
               "base 9 is newer");
}

Test(invalid_notes, do_not_exceed_the_number_of_objects)
{
  constexpr int kPoliciesLeft = 511;
  Configuration current = MakeFirstConfiguration();
  Note note;
  note.id = "policies";
  for (int i = 0; i < kPoliciesLeft; ++i) {
    PolicySpec policy;
    policy.name = NumberedName("added", i);
    note.add.policies.push_back(policy);
  }
  cr_assert(Apply(current, note, current.version).ok());
  note.add.policies.push_back(PolicySpec{ "one-too-many" });
  auto result = Apply(current, note, current.version);
  cr_assert(KindOf(result.status()) == ErrorKind::TooLarge);
  cr_assert_neq(MessageOf(result.status()).find("513 policy objects exceed the limit of 512"),
                std::string::npos);
}
