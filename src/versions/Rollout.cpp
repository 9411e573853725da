#include "versions/Rollout.h"
