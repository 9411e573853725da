/// Guards against accounts that are taken in part or wrongly: a key that two accounts hold, an
/// empty one, a cap that is negative or becomes no limit by rounding, and an error text that shows
/// a key.
#include "support/Check.h"
#include "support/Notes.h"

#include "platform/Platform.h"

using namespace dandelion;
using namespace dandelion::testing;

namespace {

constexpr char kConfiguration[] = R"({
  "version": 7,
  "routes": [
    { "name": "a", "host": "h", "path-prefix": "/a/", "kind": "safe", "timeout": 9, "service": "s" },
    { "name": "b", "host": "h", "path-prefix": "/b/", "kind": "safe", "timeout": 9, "service": "s",
      "anonymous": true }
  ],
  "services": [{ "name": "s" }],
  "tenants": [
    { "name": "small", "api-keys": ["SECRET-1", "SECRET-2"], "rate-per-s": 0.4, "burst": 0.2,
      "newer-field": {} },
    { "name": "large", "api-keys": ["SECRET-3"], "priority": 2.0, "rate-per-s": 7.0, "burst": 9 },
    { "name": "free", "rate-per-s": 0 }
  ]
})";

std::string DigestOfDigit(char aDigit)
{
  return std::string(kKeyDigestDigits, aDigit);
}

Note AccountNote(const std::string& aId, const std::vector<AccountSpec>& aAccounts)
{
  Note note;
  note.id = aId;
  note.add.accounts = aAccounts;
  return note;
}

} // namespace

Test(accounts, of_the_operators_configuration_are_translated)
{
  auto configuration = platform::ReadConfiguration(kConfiguration);
  cr_assert(configuration.ok(), "%s", MessageOf(configuration.status()).c_str());
  const AccountSpec& small = configuration->accounts.at("small").spec;
  cr_assert_eq(small.ratePerS, 1, "a cap below one call a second must not become no limit");
  cr_assert_eq(small.burst, 1);
  cr_assert_not(small.priority.has_value());
  cr_assert_eq(small.keyDigests.at(1), DigestOfKey("SECRET-2"));
  cr_assert_eq(small.keyDigests.at(1).size(), kKeyDigestDigits);
  const AccountSpec& large = configuration->accounts.at("large").spec;
  cr_assert_eq(*large.priority, 2);
  cr_assert_eq(large.ratePerS, 7);
  cr_assert_eq(configuration->accounts.at("free").spec.ratePerS, 0);
  cr_assert_not(configuration->routes.at("a").spec.isAnonymous);
  cr_assert(configuration->routes.at("b").spec.isAnonymous);
  // Published test vector of SHA-256.
  cr_assert_eq(DigestOfKey("abc"),
               std::string("ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad"));
}

Test(accounts, of_the_operators_configuration_are_rejected_as_a_whole_without_showing_a_key)
{
  for (const auto& [original, replacement, place] : std::vector<std::array<std::string, 3>>{
         { "SECRET-3", "SECRET-1", "\"large\" and \"small\" hold the same key" },
         { "\"SECRET-2\"", "\"\"", "small" },
         { "\"SECRET-2\"", "7", "tenants[0].api-keys[1]" },
         { "[\"SECRET-3\"]", "\"SECRET-3\"", "tenants[1].api-keys" },
         { "\"SECRET-2\"", "\"SECRET-2", "not JSON" },
         { "\"SECRET-2\"", "\"SECRET-\\q2\"", "not JSON" },
         { "\"SECRET-2\"", "SECRET-2", "not JSON" },
         { "\"burst\": 9", "\"burst\": -9", "large" },
         { "0.4", "-0.4", "small" },
         { "0.4", "\"0.4\"", "tenants[0].rate-per-s" },
         { "2.0", "-0.5", "large" },
         { "\"large\"", "\"small\"", "twice" },
         { "\"large\"", "\"la\\r\\nrge\"", "control" },
         { "\"anonymous\": true", "\"anonymous\": 1", "routes[1].anonymous" },
       }) {
    std::string invalid = kConfiguration;
    invalid.replace(invalid.find(original), original.size(), replacement);
    auto configuration = platform::ReadConfiguration(invalid);
    cr_assert_not(configuration.ok(), "%s", replacement.c_str());
    std::string message = MessageOf(configuration.status());
    cr_assert_neq(message.find(place), std::string::npos, "%s", message.c_str());
    cr_assert_eq(message.find("SECRET"), std::string::npos, "%s", message.c_str());
  }
}

Test(accounts, are_added_changed_and_withdrawn_by_notes)
{
  Configuration first = MakeFirstConfiguration();
  AccountSpec account;
  account.name = "one";
  account.keyDigests = { DigestOfDigit('a') };
  auto added = Apply(first, AccountNote("add", { account }), first.version);
  cr_assert(added.ok(), "%s", MessageOf(added.status()).c_str());
  Note change;
  change.id = "change";
  account.ratePerS = 5;
  change.change.accounts = { account };
  auto changed = Apply(*added, change, added->version);
  cr_assert(changed.ok());
  cr_assert_eq(changed->accounts.at("one").spec.ratePerS, 5);
  Note withdraw;
  withdraw.id = "withdraw";
  withdraw.withdraw.accounts = { "one" };
  auto withdrawn = Apply(*changed, withdraw, changed->version);
  cr_assert(withdrawn.ok());
  cr_assert(withdrawn->accounts.empty());
  change.id = "change-again";
  cr_assert(KindOf(Apply(*withdrawn, change, withdrawn->version).status()) ==
            ErrorKind::UnknownObject);
}

Test(accounts, of_notes_are_refused_with_the_account_and_without_the_key)
{
  Configuration first = MakeFirstConfiguration();
  AccountSpec one;
  one.name = "one";
  one.keyDigests = { DigestOfDigit('a') };
  first.accounts["one"] = { one, 1 };
  auto refuse = [&](auto aSpoil, const std::string& aPlace) {
    AccountSpec two;
    two.name = "two";
    two.keyDigests = { DigestOfDigit('b') };
    cr_assert(Apply(first, AccountNote("n", { two }), first.version).ok());
    aSpoil(two);
    absl::Status status = Apply(first, AccountNote("n", { two }), first.version).status();
    cr_assert_not(status.ok());
    cr_assert_neq(MessageOf(status).find(aPlace), std::string::npos, "%s", aPlace.c_str());
    cr_assert_eq(MessageOf(status).find("SECRET"), std::string::npos);
  };
  refuse([](AccountSpec& aTwo) { aTwo.keyDigests = { DigestOfDigit('a') }; }, "same key");
  refuse([](AccountSpec& aTwo) { aTwo.keyDigests.emplace_back(); }, "empty key");
  refuse([](AccountSpec& aTwo) { aTwo.keyDigests = { "SECRET" }; }, "not a SHA-256 digest");
  refuse([](AccountSpec& aTwo) { aTwo.ratePerS = -1; }, "rate_per_s -1");
  refuse([](AccountSpec& aTwo) { aTwo.burst = -1; }, "burst -1");
  refuse([](AccountSpec& aTwo) { aTwo.priority = kLowestPriority + 1; }, "priority");
  refuse([](AccountSpec& aTwo) { aTwo.keyDigests.resize(20000, DigestOfDigit('b')); }, "limit");
  refuse([](AccountSpec& aTwo) { aTwo.name = "Two!"; }, "not a valid name");
}
