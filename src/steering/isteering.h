#ifndef YP_STEERING_ISTEERING_H
#define YP_STEERING_ISTEERING_H

#include "steering/steeringtypes.h"

namespace yp {

/// Selects the addresses that callers connect to. Thread-safe, except Update.
class ISteering
{
public:
  virtual ~ISteering() = default;

  /// Replaces the inputs and adjusts the weights by one damped step. Control thread only.
  /// \param aLoads last reported loads by host
  virtual void Update(Ref<const TicketState> aState,
                      Ref<const MemberView> aView,
                      Ref<const Placement> aPlacement,
                      const std::map<std::string, NodeLoad>& aLoads,
                      TimePoint aNow) = 0;

  /// Draws the addresses for a caller at random, by weight.
  /// \param aCaller name of the caller
  /// \param aRandom random source for the order of the addresses and the time to live
  /// \return the addresses; kNotFound for an unknown caller, kUnavailable when no node can serve it
  virtual Result<AddressAnswer> Answer(const std::string& aCaller, IRandom& aRandom) const = 0;

  /// Chooses a holder of a service to forward a request to: the less loaded of two random ones.
  /// \return the host; kUnavailable when no holder other than this node is reachable
  virtual Result<std::string> ForwardTarget(const std::string& aService, IRandom& aRandom) const = 0;
};

} // namespace yp

#endif
