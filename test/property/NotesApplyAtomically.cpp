/// Guards against notes that are applied in part or leave dangling references, that overwrite a
/// change made after their base, or that are accepted again when they are repeated after their id
/// was forgotten.
#include "support/Check.h"
#include "support/Notes.h"

#include <set>

using namespace dandelion;
using namespace dandelion::testing;

namespace {

/// The services expected after a note: those of the parent, less the withdrawn, plus the added.
std::set<std::string> ExpectedServices(const Configuration& aParent, const Note& aNote)
{
  std::set<std::string> names;
  for (const auto& [name, versioned] : aParent.services) {
    names.insert(name);
  }
  for (const std::string& name : aNote.withdraw.services) {
    names.erase(name);
  }
  for (const ServiceSpec& spec : aNote.add.services) {
    names.insert(spec.name);
  }
  return names;
}

} // namespace

Test(notes, apply_completely_or_leave_the_configuration_unchanged)
{
  CHECK_PROPERTY("the result has no dangling references and contains the stated services", [] {
    Configuration current = MakeFirstConfiguration();
    for (int i = 0; i < 30; ++i) {
      Note note =
        *rc::gen::oneOf(ArbitraryNote(), MostlyValidNote(current, NumberedName("likely", i)));
      std::string before = HashOf(current);
      auto result = Apply(current, note, current.version);
      RC_ASSERT(HashOf(current) == before);
      if (!result.ok()) {
        RC_ASSERT(!MessageOf(result.status()).empty());
        RC_ASSERT(KindOf(result.status()) != ErrorKind::Internal);
        continue;
      }
      RC_ASSERT(result->version == current.version + 1);
      RC_ASSERT(HasNoDanglingReferences(*result));
      std::set<std::string> services;
      for (const auto& [name, versioned] : result->services) {
        services.insert(name);
      }
      RC_ASSERT(services == ExpectedServices(current, note));
      current = *std::move(result);
    }
  });
}

Test(notes, are_refused_for_objects_changed_after_their_base)
{
  CHECK_PROPERTY("two notes with the same base never both change the same service", [] {
    Configuration base = MakeFirstConfiguration();
    Note first = *MostlyValidNote(base, "a");
    Note second = *MostlyValidNote(base, "b");
    auto afterFirst = Apply(base, first, base.version);
    if (!afterFirst.ok()) {
      return;
    }
    auto afterSecond = Apply(*afterFirst, second, base.version);
    if (!afterSecond.ok()) {
      return;
    }
    auto servicesIn = [](const Note& aNote) {
      std::set<std::string> names;
      for (const auto& spec : aNote.change.services) {
        names.insert(spec.name);
      }
      for (const auto& spec : aNote.add.services) {
        names.insert(spec.name);
      }
      names.insert(aNote.withdraw.services.begin(), aNote.withdraw.services.end());
      return names;
    };
    for (const std::string& name : servicesIn(first)) {
      RC_ASSERT(servicesIn(second).count(name) == 0);
    }
  });
}

Test(notes, are_refused_when_repeated_after_their_id_is_forgotten)
{
  Configuration current = MakeFirstConfiguration();
  Version firstVersion = current.version;
  for (size_t i = 0; i < kMaxRememberedNotes + 5; ++i) {
    Note note;
    note.id = "change" + std::to_string(i);
    note.change.services = { ServiceSpec{ "s0", 1 + static_cast<int64_t>(i % 7) } };
    auto result = Apply(current, note, current.version);
    cr_assert(result.ok());
    current = *std::move(result);
  }
  cr_assert_eq(current.notes.size(), kMaxRememberedNotes);
  // The id of the first note is forgotten, but its base is older than the remembered notes, so the
  // repeated note is still refused.
  Note repeat;
  repeat.id = "change0";
  repeat.add.services = { ServiceSpec{ "new" } };
  auto result = Apply(current, repeat, firstVersion);
  cr_assert(!result.ok());
  cr_assert(KindOf(result.status()) == ErrorKind::Conflict);
}
