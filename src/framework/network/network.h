#ifndef YP_FRAMEWORK_NETWORK_NETWORK_H
#define YP_FRAMEWORK_NETWORK_NETWORK_H

/// \file
/// Public header of the library yp_network: timers, an HTTP/1.1 server and an HTTP/1.1 client over Asio.

#include "framework/network/asiotimers.h"
#include "framework/network/contextrunner.h"
#include "framework/network/httptypes.h"
#include "framework/network/ihttpclient.h"
#include "framework/network/ihttpserver.h"

#endif
