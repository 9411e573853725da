/// Public header of the codec library: typed values as named JSON and as positional CBOR.
#ifndef DANDELION_CODEC_CODEC_H
#define DANDELION_CODEC_CODEC_H

#include "codec/CborFields.h"
#include "codec/JsonFields.h"

#endif
