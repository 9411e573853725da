/// JSON bodies of the platform's store.
#ifndef DANDELION_PLATFORM_STORE_MESSAGES_H
#define DANDELION_PLATFORM_STORE_MESSAGES_H

#include "codec/Codec.h"
#include "wire/Wire.h"

namespace dandelion::platform {

/// Percent-encodes a key for a query string. Slashes are not encoded.
std::string PercentEncode(const std::string& aText);

/// Parses a revision that the store gave out in an era; 0 if the field is missing or out of range.
int64_t ReadRevision(const Json& aBody, const char* aName, int64_t aEra);

/// Parses an item of the store. Its field `rev` is the revision that last changed it.
/// Returns nothing if the key or the value is missing or invalid.
std::optional<KeyValue> ReadItem(const Json& aItem, int64_t aEra);

/// Parses a list of items. Items that cannot be read are logged and left out.
std::vector<KeyValue> ReadItems(const Json& aBody, const char* aName, int64_t aEra);

/// The highest key of a page, also of items that cannot be read; empty if it has none.
std::string LastKeyOf(const Json& aBody);

bool IsTrue(const Json& aBody, const char* aName);

Json MakePut(const std::string& aKey, const std::string& aValue, int64_t aLease);
Json MakeTransaction(const Json& aConditions, const Json& aPuts, const Json& aRemovedKeys);

} // namespace dandelion::platform

#endif
