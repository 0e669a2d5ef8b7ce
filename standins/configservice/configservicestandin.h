#ifndef YP_STANDINS_CONFIGSERVICE_CONFIGSERVICESTANDIN_H
#define YP_STANDINS_CONFIGSERVICE_CONFIGSERVICESTANDIN_H

#include "common/standinprogram.h"
#include "tickets/tickettypes.h"
#include <map>
#include <optional>

namespace yp {

/// Keeps published tickets in memory and answers by section 6.1 of the design. Tickets are not validated, so
/// that invalid ones can be published; bytes that are not UTF-8 are replaced in answers, because JSON cannot
/// carry them.
class ConfigServiceStandin
{
public:
  /// \param aCallsPerSecond watches and reads answered within a second; others get 429
  ConfigServiceStandin(boost::asio::io_context& aContext, std::uint64_t aCallsPerSecond);

  /// Adds a ticket.
  /// \return its number
  TicketNumber Publish(std::string aBody);

  /// Publishes the files of a directory, ordered by name.
  /// \return success; kBadInput when one cannot be read or has more than 1 MB
  Result<void> LoadDirectory(const std::string& aPath);

  /// Handles one request; the handler of the HTTP server.
  void Handle(HttpRequest aRequest, HttpRespond aRespond);

  /// Answers all waiting watches with 503, for a stop.
  void EndWatches();

private:
  struct Waiter
  {
    TicketNumber after = 0;
    HttpRespond respond;
    TimerId timer = 0;
  };

  struct Counts
  {
    std::uint64_t watches = 0;
    std::uint64_t reads = 0;
    std::uint64_t limited = 0;     ///< answered 429
    std::uint64_t unavailable = 0; ///< answered 503
    std::uint64_t publishes = 0;
  };

  /// \return the head that callers see in the present mode
  TicketNumber VisibleHead() const;
  /// Counts a call and answers it when it is over the limit or the mode is down.
  bool Admit(const HttpRespond& aRespond);
  void Watch(const HttpRequest& aRequest, const HttpTarget& aTarget, HttpRespond aRespond);
  HttpResponse Read(const HttpTarget& aTarget) const;
  HttpResponse ChangeMode(const std::string& aBody);
  /// Counts an answered read against the number after which the service goes down.
  void CountReadUntilDown();
  void EnterMode(StandinMode aMode);
  HttpResponse Stats() const;
  void AnswerWaiter(std::uint64_t aWaiter, HttpResponse aResponse);
  void WakeWaiters();

  AsioTimers timers;
  std::uint64_t callsPerSecond;
  TimePoint window;
  std::uint64_t callsInWindow = 0;
  std::vector<std::string> bodies; ///< ticket n is at n - 1
  StandinMode mode = StandinMode::kUp;
  TicketNumber staleHead = 0;
  std::optional<std::uint64_t> readsUntilDown; ///< unset: the mode changes only on request
  std::map<std::uint64_t, Waiter> waiters;
  std::uint64_t lastWaiter = 0;
  Counts counts;
};

} // namespace yp

#endif
