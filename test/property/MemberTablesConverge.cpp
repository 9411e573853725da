/// Guards against member tables that stay different after they received the same records, because
/// the records arrived in another order or more than once.
#include "support/Check.h"

#include "membership/Membership.h"

#include <algorithm>

using namespace dandelion;

namespace {

rc::Gen<Member> ArbitraryRecord()
{
  return rc::gen::exec([] {
    Member member;
    int index = *rc::gen::inRange(0, 5);
    member.id = "m" + std::to_string(index);
    member.zone = "z" + std::to_string(index % 2);
    member.region = "r";
    member.incarnation = *rc::gen::inRange<uint64_t>(1, 4);
    member.state = static_cast<MemberState>(*rc::gen::inRange(0, 4));
    member.version = *rc::gen::inRange<uint64_t>(0, 5);
    return member;
  });
}

MemberTable TableOf(const std::vector<Member>& aRecords)
{
  MemberTable table;
  for (const Member& record : aRecords) {
    table.Merge(record);
  }
  return table;
}

} // namespace

Test(member_table, does_not_depend_on_the_order_of_records)
{
  CHECK_PROPERTY("merging is commutative and idempotent", [] {
    auto records = *rc::gen::container<std::vector<Member>>(12, ArbitraryRecord());
    MemberTable table = TableOf(records);
    std::vector<Member> shuffled = records;
    for (size_t i = shuffled.size(); i > 1; --i) {
      std::swap(shuffled[i - 1], shuffled[*rc::gen::inRange<size_t>(0, i)]);
    }
    // The repeated records come first, so that the last record of each member is a shuffled one.
    shuffled.insert(shuffled.begin(), records.begin(), records.end());
    MemberTable other = TableOf(shuffled);
    RC_ASSERT(table.Digest() == other.Digest());
    for (const auto& [id, member] : table.All()) {
      const Member* otherMember = other.Find(id);
      RC_ASSERT(otherMember != nullptr);
      RC_ASSERT(otherMember->incarnation == member.incarnation);
      RC_ASSERT(otherMember->state == member.state);
      RC_ASSERT(otherMember->version == member.version);
    }
  });
}

Test(member_table, changes_its_digest_with_every_change)
{
  CHECK_PROPERTY("equal digests mean equal incarnations and states", [] {
    auto records = *rc::gen::container<std::vector<Member>>(8, ArbitraryRecord());
    MemberTable table = TableOf(records);
    MemberTable changed = TableOf(records);
    Member extra = *ArbitraryRecord();
    bool hasChanged = changed.Merge(extra);
    RC_ASSERT(hasChanged == (table.Digest() != changed.Digest()));
  });
}

Test(member_table, never_lowers_a_version)
{
  CHECK_PROPERTY("a version never decreases", [] {
    auto records = *rc::gen::container<std::vector<Member>>(12, ArbitraryRecord());
    MemberTable table;
    std::map<std::string, uint64_t> highest;
    for (const Member& record : records) {
      table.Merge(record);
      highest[record.id] = std::max(highest[record.id], record.version);
      RC_ASSERT(table.Find(record.id)->version == highest[record.id]);
    }
  });
}
