#ifndef YP_ENTRY_IREQUESTSERVICE_H
#define YP_ENTRY_IREQUESTSERVICE_H

#include "query/querytypes.h"
#include <functional>
#include <variant>

namespace yp {

/// Serves requests on one request thread, here or one hop away.
class IRequestService
{
public:
  using AnswerHandler = std::function<void(RequestAnswer)>;
  using IdsHandler = std::function<void(std::variant<std::vector<std::string>, Error>)>;
  /// Ends the interest in a request; empty when there is nothing to end.
  using AbandonFunction = std::function<void()>;

  /// Where a request came from.
  enum class Origin
  {
    kCaller,
    kPeer ///< forwarded once; not forwarded again
  };

  virtual ~IRequestService() = default;

  /// Runs a lookup.
  /// \return what to call when the caller goes away
  virtual AbandonFunction Lookup(LookupRequest aRequest, Origin aOrigin, AnswerHandler aHandler) = 0;

  /// Runs a non-idempotent request at most once. A request id that is already running is waited for.
  virtual void Execute(ExecuteRequest aRequest, Origin aOrigin, AnswerHandler aHandler) = 0;

  /// Tells what is known of a request id.
  virtual void FindOutcome(const std::string& aId,
                           TimePoint aDeadline,
                           Origin aOrigin,
                           AnswerHandler aHandler) = 0;

  /// Issues request ids of a holder of the service.
  virtual void IssueIds(const std::string& aService,
                        std::uint32_t aCount,
                        TimePoint aDeadline,
                        Origin aOrigin,
                        IdsHandler aHandler) = 0;
};

} // namespace yp

#endif
