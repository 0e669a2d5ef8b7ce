#ifndef YP_STEERING_ISTEERING_H
#define YP_STEERING_ISTEERING_H

#include "steering/steeringtypes.h"

namespace yp {

/// Answers callers that ask which addresses to use. Safe for use by several threads.
class ISteering
{
public:
  virtual ~ISteering() = default;

  /// Takes over new inputs and moves the weights by one damped step. Control thread only.
  virtual void Update(Ref<const TicketState> aState,
                      Ref<const MemberView> aView,
                      Ref<const Placement> aPlacement,
                      const std::map<std::string, NodeLoad>& aLoads,
                      TimePoint aNow) = 0;

  /// Draws an answer for a caller.
  /// \param aCaller name of the caller
  /// \param aRandom source for order and time to live
  /// \return the addresses; kNotFound for an unknown caller, kUnavailable when no node can serve it
  virtual Result<AddressAnswer> Answer(const std::string& aCaller, IRandom& aRandom) const = 0;

  /// Chooses a holder to forward a request to.
  /// \return the host; kUnavailable when no holder is reachable
  virtual Result<std::string> ForwardTarget(const std::string& aService, IRandom& aRandom) const = 0;
};

} // namespace yp

#endif
