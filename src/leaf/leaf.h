#ifndef YP_LEAF_LEAF_H
#define YP_LEAF_LEAF_H

/// \file
/// Public header of the library yp_leaf: connection pools and the client side of the leaf protocol.

#include "leaf/ileafpools.h"

#endif
