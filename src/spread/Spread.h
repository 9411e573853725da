/// Public header of the spread library: relays, overlay, joining, catch-up, freshness and the
/// progress of versions. Contains decisions only: no sockets, no encoding.
#ifndef DANDELION_SPREAD_SPREAD_H
#define DANDELION_SPREAD_SPREAD_H

#include "spread/CatchUp.h"
#include "spread/Freshness.h"
#include "spread/Joining.h"
#include "spread/NoteStatus.h"
#include "spread/Overlay.h"
#include "spread/VersionProgress.h"

#endif
