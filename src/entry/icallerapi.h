#ifndef YP_ENTRY_ICALLERAPI_H
#define YP_ENTRY_ICALLERAPI_H

#include "framework/network/httptypes.h"
#include "framework/network/ihttpserver.h"

namespace yp {

/// The callers' HTTP interface on one request thread.
class ICallerApi
{
public:
  virtual ~ICallerApi() = default;

  /// Answers one request. Bad input gets a 4xx reply with outcome, reason and detail.
  virtual void Handle(HttpRequest aRequest, HttpRespond aRespond) = 0;
};

} // namespace yp

#endif
