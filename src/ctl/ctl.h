#ifndef YP_CTL_CTL_H
#define YP_CTL_CTL_H

/// \file
/// Public header of the library yp_ctl: the commands of the operators' tool.

#include "ctl/icommand.h"

#endif
