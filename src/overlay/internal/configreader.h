#ifndef YP_OVERLAY_INTERNAL_CONFIGREADER_H
#define YP_OVERLAY_INTERNAL_CONFIGREADER_H

#include "configservice/iconfigservice.h"
#include "overlay/iconfigreader.h"
#include "tickets/iticketstore.h"
#include <functional>
#include <memory>

namespace yp {

/// What a configuration reader works with. All references outlive it.
struct ConfigReaderOptions
{
  const IClock& clock;
  IRandom& random;
  IConfigService& service;
  ITicketStore& store;
  /// Gets bodies read from the service.
  std::function<void(const IConfigService::Bodies& aBodies)> onBodies;
  /// Gets the head of each successful contact and when the call was started.
  std::function<void(TicketNumber aHead, TimePoint aStarted)> onContact;
};

/// \return a reader in state Idle
std::unique_ptr<IConfigReader>
MakeConfigReader(ConfigReaderOptions aOptions);

} // namespace yp

#endif
