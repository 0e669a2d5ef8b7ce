#ifndef YP_FRAMEWORK_NETWORK_CONTEXTRUNNER_H
#define YP_FRAMEWORK_NETWORK_CONTEXTRUNNER_H

#include <boost/asio/io_context.hpp>
#include <cstdint>

namespace yp {

/// Runs the handlers of a context until it is stopped or has no more work. An exception that a handler throws
/// ends only this handler: it is logged and counted, and the other handlers continue.
void
RunContext(boost::asio::io_context& aContext);

/// \return handlers of all contexts of this process that ended with an exception
std::uint64_t
CountFailedHandlers();

} // namespace yp

#endif
