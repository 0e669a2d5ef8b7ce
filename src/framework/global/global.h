#ifndef YP_FRAMEWORK_GLOBAL_GLOBAL_H
#define YP_FRAMEWORK_GLOBAL_GLOBAL_H

/// \file
/// Public header of the library yp_global: what every module uses.

#include "framework/global/blackboard.h"
#include "framework/global/clock.h"
#include "framework/global/codec.h"
#include "framework/global/errors.h"
#include "framework/global/hash.h"
#include "framework/global/incarnation.h"
#include "framework/global/invariant.h"
#include "framework/global/itimers.h"
#include "framework/global/latencycounts.h"
#include "framework/global/log.h"
#include "framework/global/position.h"
#include "framework/global/random.h"
#include "framework/global/rcucell.h"
#include "framework/global/settingsfile.h"
#include "framework/global/settingswatch.h"
#include "framework/global/signals.h"
#include "framework/global/version.h"

#endif
