#ifndef YP_RPC_IPEERCALLS_H
#define YP_RPC_IPEERCALLS_H

#include "framework/global/global.h"
#include <functional>
#include <string>
#include <variant>

namespace yp {

/// Request/response calls between nodes, over links that are opened on demand and reused. Control thread
/// only.
class IPeerCalls
{
public:
  /// Receives the payload of the reply or an error: kUnavailable if the remote handler was certainly not run,
  /// kConnection or kTimeout if it may have been.
  using ReplyHandler = std::function<void(std::variant<std::string, Error>)>;
  using Respond = std::function<void(std::string)>;
  using CallHandler = std::function<void(const std::string& aPayload, Respond aRespond)>;

  virtual ~IPeerCalls() = default;

  /// Calls a method of another node.
  /// \param aPeer peer address of the called node
  /// \param aMethod name of the method
  /// \param aPayload argument bytes passed to the handler of the method
  /// \param aDeadline time by which the reply must arrive
  /// \param aHandler runs exactly once, and only after Call has returned
  virtual void Call(const Endpoint& aPeer,
                    const std::string& aMethod,
                    std::string aPayload,
                    TimePoint aDeadline,
                    ReplyHandler aHandler) = 0;

  /// Registers the handler of a method, replacing an earlier one. The handler must respond once, immediately
  /// or later, on the control thread.
  virtual void Serve(const std::string& aMethod, CallHandler aHandler) = 0;

  /// \return number of outgoing calls that have neither a reply nor an error yet
  virtual std::size_t Pending() const = 0;
};

} // namespace yp

#endif
