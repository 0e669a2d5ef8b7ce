#ifndef YP_FRAMEWORK_GLOBAL_ERRORS_H
#define YP_FRAMEWORK_GLOBAL_ERRORS_H

#include <boost/leaf/error.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <boost/leaf/result.hpp>
#include <exception>
#include <string>
#include <utility>

namespace yp {

namespace leaf = boost::leaf;

/// Kinds of failure that callers of a function can tell apart.
enum class ErrorCode
{
  kBadInput,    ///< the input is malformed or out of range
  kNotFound,    ///< the named thing does not exist
  kUnavailable, ///< the peer refused or is not reachable; nothing was done
  kConnection,  ///< the connection failed after something was sent
  kTimeout,     ///< the deadline passed
  kOverloaded,  ///< a limit was reached; nothing was done
  kInternal     ///< a fault of this program
};

/// \return the stable lower-case name of an error code, as it appears in logs
const char*
ToString(ErrorCode aCode);

/// Error value of every result: what failed, at which step and with which peer.
struct Error
{
  ErrorCode code = ErrorCode::kInternal;
  std::string step;   ///< step at which the error arose, for example "tickets.parse"
  std::string peer;   ///< address or name of the peer; empty when no peer is involved
  std::string detail; ///< one sentence for a person
};

/// \return one line with code, step, peer and detail as key=value pairs
std::string
Describe(const Error& aError);

/// Result of a fallible function; a failure carries an Error.
template<class T>
using Result = leaf::result<T>;

/// Creates the error id of a failed result.
/// \param aCode kind of failure
/// \param aStep step at which it arose
/// \param aPeer peer involved, or empty
/// \param aDetail one sentence for a person
[[nodiscard]] inline leaf::error_id
Fail(ErrorCode aCode, std::string aStep, std::string aPeer, std::string aDetail)
{
  return leaf::new_error(Error{ aCode, std::move(aStep), std::move(aPeer), std::move(aDetail) });
}

/// Runs a fallible function and hands its error, if any, to a handler. An exception counts as an error of the
/// kind kInternal.
/// \param aFunction returns Result<T>
/// \param aHandler called with the Error; returns T
/// \return the value of either
template<class F, class H>
auto
Recover(F&& aFunction, H&& aHandler)
{
  return leaf::try_handle_all(
    std::forward<F>(aFunction),
    [&aHandler](const Error& aError) { return aHandler(aError); },
    [&aHandler](const std::exception& aException) {
      return aHandler(Error{ ErrorCode::kInternal, "unknown", "", aException.what() });
    },
    [&aHandler] {
      return aHandler(Error{ ErrorCode::kInternal, "unknown", "", "unspecified error" });
    });
}

} // namespace yp

#endif
