#ifndef YP_FRAMEWORK_NETWORK_ASIOTIMERS_H
#define YP_FRAMEWORK_NETWORK_ASIOTIMERS_H

#include "framework/global/itimers.h"
#include <boost/asio/io_context.hpp>
#include <memory>

namespace yp {

/// Timers of one io_context that is run by a single thread.
class AsioTimers final : public ITimers
{
public:
  /// \param aContext must outlive this object
  explicit AsioTimers(boost::asio::io_context& aContext);
  ~AsioTimers() override;
  AsioTimers(const AsioTimers&) = delete;
  AsioTimers& operator=(const AsioTimers&) = delete;

  TimerId At(TimePoint aWhen, std::function<void()> aFunction) override;
  void Cancel(TimerId aTimer) override;

private:
  struct State;
  std::shared_ptr<State> state;
};

} // namespace yp

#endif
