#include "release/Note.h"

namespace dandelion {

std::string ContentHash(const Note& aNote)
{
  Note content = aNote;
  content.base.reset();
  return HashOf(content);
}

} // namespace dandelion
