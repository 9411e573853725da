/// Order of the states of a store that may return from an older copy of itself.
///
/// Such a store gives out revisions again, so a revision means something only with the era in which
/// it was given out. The era is in the high bits, as in a ZooKeeper transaction id: a comparison of
/// two revisions compares the eras first. A store without eras stays in era 0.
#ifndef DANDELION_WIRE_STORE_REVISION_H
#define DANDELION_WIRE_STORE_REVISION_H

#include <cstdint>

namespace dandelion {

constexpr int kRevisionNumberBits = 43;
constexpr int64_t kMaxRevisionNumber = (int64_t{ 1 } << kRevisionNumberBits) - 1;
constexpr int64_t kMaxStoreEra = (int64_t{ 1 } << 20) - 1;

/// Both are at most the maximum above.
constexpr int64_t MakeRevision(int64_t aEra, int64_t aNumber)
{
  return (aEra << kRevisionNumberBits) | aNumber;
}

constexpr int64_t EraOf(int64_t aRevision)
{
  return aRevision >> kRevisionNumberBits;
}

/// The revision as the store writes it.
constexpr int64_t NumberOf(int64_t aRevision)
{
  return aRevision & kMaxRevisionNumber;
}

} // namespace dandelion

#endif
