#ifndef YP_CONFIGSERVICE_ICONFIGSERVICE_H
#define YP_CONFIGSERVICE_ICONFIGSERVICE_H

#include "tickets/tickettypes.h"
#include <functional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace yp {

/// Client of the platform's configuration service: read and watch only. Handlers run on the control thread.
class IConfigService
{
public:
  using HeadHandler = std::function<void(std::variant<TicketNumber, Error>)>;
  using Bodies = std::vector<std::pair<TicketNumber, std::string>>;
  using BodiesHandler = std::function<void(std::variant<Bodies, Error>)>;

  virtual ~IConfigService() = default;

  /// Waits until the head is above a number, at most for a time. One call of the service.
  /// \param aAfter head known so far
  /// \param aWait longest wait; 0 asks for the head at once
  /// \param aHandler gets the head, possibly not above aAfter, or kTimeout, kConnection, kUnavailable
  virtual void Watch(TicketNumber aAfter, std::chrono::milliseconds aWait, HeadHandler aHandler) = 0;

  /// Reads tickets from aFirst on, at most to aLast; the service may return fewer, but at least one. One
  /// call.
  virtual void Read(TicketNumber aFirst, TicketNumber aLast, BodiesHandler aHandler) = 0;
};

} // namespace yp

#endif
