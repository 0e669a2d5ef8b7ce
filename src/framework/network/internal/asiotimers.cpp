#include "framework/network/asiotimers.h"
#include <boost/asio/steady_timer.hpp>
#include <unordered_map>

namespace yp {

struct AsioTimers::State
{
  explicit State(boost::asio::io_context& aContext)
    : context(aContext)
  {
  }

  boost::asio::io_context& context;
  TimerId lastId = 0;
  std::unordered_map<TimerId, std::unique_ptr<boost::asio::steady_timer>> timers;
};

AsioTimers::AsioTimers(boost::asio::io_context& aContext)
  : state(std::make_shared<State>(aContext))
{
}

AsioTimers::~AsioTimers()
{
  this->state->timers.clear();
}

TimerId
AsioTimers::At(TimePoint aWhen, std::function<void()> aFunction)
{
  const TimerId id = ++this->state->lastId;
  auto timer = std::make_unique<boost::asio::steady_timer>(this->state->context, aWhen);
  // A cancelled timer may already be queued as expired, so its removal from the map decides.
  timer->async_wait([weak = std::weak_ptr<State>(this->state), id, function = std::move(aFunction)](
                      const boost::system::error_code&) {
    const std::shared_ptr<State> locked = weak.lock();
    if (locked && locked->timers.erase(id) != 0) {
      function();
    }
  });
  this->state->timers.emplace(id, std::move(timer));
  return id;
}

void
AsioTimers::Cancel(TimerId aTimer)
{
  this->state->timers.erase(aTimer);
}

} // namespace yp
