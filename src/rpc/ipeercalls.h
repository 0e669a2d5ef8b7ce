#ifndef YP_RPC_IPEERCALLS_H
#define YP_RPC_IPEERCALLS_H

#include "framework/global/global.h"
#include <functional>
#include <string>
#include <variant>

namespace yp {

/// Calls with a reply between nodes, over links that are opened on demand and reused. Control thread only.
class IPeerCalls
{
public:
  /// Payload of the reply, or: kUnavailable when the call was certainly not delivered, kConnection or
  /// kTimeout when it may have been.
  using ReplyHandler = std::function<void(std::variant<std::string, Error>)>;
  using Respond = std::function<void(std::string)>;
  using CallHandler = std::function<void(const std::string& aPayload, Respond aRespond)>;

  virtual ~IPeerCalls() = default;

  /// Calls a node.
  /// \param aPeer peer address of the node
  /// \param aMethod name of the method
  /// \param aPayload bytes for the method's handler
  /// \param aDeadline latest time for the reply
  /// \param aHandler runs exactly once, never from within the call
  virtual void Call(const Endpoint& aPeer,
                    const std::string& aMethod,
                    std::string aPayload,
                    TimePoint aDeadline,
                    ReplyHandler aHandler) = 0;

  /// Registers the handler of a method. A handler responds once, at any later time on the control thread.
  virtual void Serve(const std::string& aMethod, CallHandler aHandler) = 0;

  /// \return calls made whose reply has not come
  virtual std::size_t Pending() const = 0;
};

} // namespace yp

#endif
