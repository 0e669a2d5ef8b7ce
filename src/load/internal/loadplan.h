#ifndef YP_LOAD_INTERNAL_LOADPLAN_H
#define YP_LOAD_INTERNAL_LOADPLAN_H

#include "load/load.h"

namespace yp {

/// One request to send.
struct PlannedRequest
{
  Duration offset{ 0 }; ///< intended send time after the start
  std::uint32_t caller = 0;
  bool execute = false;
  std::string body; ///< JSON; without request_id for an execute request
};

/// Draws requests with Poisson arrivals. The sequence depends on the settings alone.
class LoadPlan
{
public:
  /// \param aSettings must outlive the plan
  explicit LoadPlan(const LoadSettings& aSettings);

  PlannedRequest Next();

private:
  Json DrawQuery();

  const LoadSettings& settings;
  SeededRandom arrivals;
  SeededRandom contents;
  double seconds = 0;
};

} // namespace yp

#endif
