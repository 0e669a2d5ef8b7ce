#ifndef YP_STANDINS_HOSTLIST_HOSTLISTSTANDIN_H
#define YP_STANDINS_HOSTLIST_HOSTLISTSTANDIN_H

#include "common/standinprogram.h"
#include <deque>

namespace yp {

/// Answers with a list of hosts, each change of which becomes visible after a lag. Rows are not checked, so
/// that wrong lists can be given too.
class HostListStandin
{
public:
  explicit HostListStandin(std::chrono::milliseconds aLag);

  /// Replaces the list. The first list is visible at once, later ones after the lag.
  /// \param aBody {"hosts": [...], "servers": [...]}; servers may be absent
  /// \return the version given to the list; kBadInput when it is not of this form
  Result<std::uint64_t> SetList(std::string_view aBody);

  /// Sets the list from a file.
  Result<void> LoadFile(const std::string& aPath);

  /// Handles one request; the handler of the HTTP server.
  void Handle(HttpRequest aRequest, HttpRespond aRespond);

private:
  struct Version
  {
    std::uint64_t number = 0;
    TimePoint visibleFrom;
    std::string text;
  };

  /// \return the newest visible list, or that of the time at which the mode became stale
  const Version& Visible();
  HttpResponse ChangeList(const std::string& aBody);
  HttpResponse ChangeMode(const std::string& aBody);
  HttpResponse ChangeLag(const std::string& aBody);
  HttpResponse Stats();

  std::chrono::milliseconds lag;
  std::deque<Version> versions; ///< the visible one first, then those that wait for their lag
  std::uint64_t lastNumber = 0;
  StandinMode mode = StandinMode::kUp;
  std::uint64_t reads = 0;
};

} // namespace yp

#endif
