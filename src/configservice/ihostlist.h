#ifndef YP_CONFIGSERVICE_IHOSTLIST_H
#define YP_CONFIGSERVICE_IHOSTLIST_H

#include "membership/membershiptypes.h"
#include <functional>
#include <variant>

namespace yp {

/// Client of the platform's host list. Handlers run on the control thread.
class IHostList
{
public:
  using Handler = std::function<void(std::variant<HostListing, Error>)>;

  virtual ~IHostList() = default;

  /// Reads the whole list, which may lag behind reality.
  virtual void Read(Handler aHandler) = 0;
};

} // namespace yp

#endif
