#include "framework/global/errors.h"

namespace yp {

const char*
ToString(ErrorCode aCode)
{
  switch (aCode) {
    case ErrorCode::kBadInput:
      return "bad_input";
    case ErrorCode::kNotFound:
      return "not_found";
    case ErrorCode::kUnavailable:
      return "unavailable";
    case ErrorCode::kConnection:
      return "connection";
    case ErrorCode::kTimeout:
      return "timeout";
    case ErrorCode::kOverloaded:
      return "overloaded";
    case ErrorCode::kInternal:
      return "internal";
  }
  return "internal";
}

std::string
Describe(const Error& aError)
{
  std::string text = std::string("code=") + ToString(aError.code) + " step=" + aError.step;
  if (!aError.peer.empty()) {
    text += " peer=" + aError.peer;
  }
  return text + " detail=\"" + aError.detail + "\"";
}

} // namespace yp
