#ifndef YP_ENTRY_IFORWARDER_H
#define YP_ENTRY_IFORWARDER_H

#include "query/querytypes.h"
#include <functional>
#include <variant>

namespace yp {

/// Sends requests one hop to another node. Safe for use by several threads; handlers run on the given thread.
class IForwarder
{
public:
  using AnswerHandler = std::function<void(RequestAnswer)>;
  using IdsHandler = std::function<void(std::variant<std::vector<std::string>, Error>)>;
  /// Runs a function on the thread that asked.
  using Post = std::function<void(std::function<void()>)>;

  virtual ~IForwarder() = default;

  /// Forwards a lookup to a holder of its service.
  virtual void Lookup(const std::string& aHost,
                      const LookupRequest& aRequest,
                      Post aPost,
                      AnswerHandler aHandler) = 0;

  /// Forwards a non-idempotent request to the incarnation that its id names.
  virtual void Execute(const Incarnation& aOwner,
                       const ExecuteRequest& aRequest,
                       Post aPost,
                       AnswerHandler aHandler) = 0;

  /// Asks the incarnation that an id names for the outcome of its request.
  virtual void FindOutcome(const Incarnation& aOwner,
                           const std::string& aId,
                           TimePoint aDeadline,
                           Post aPost,
                           AnswerHandler aHandler) = 0;

  /// Asks a holder of a service for request ids.
  virtual void IssueIds(const std::string& aHost,
                        const std::string& aService,
                        std::uint32_t aCount,
                        TimePoint aDeadline,
                        Post aPost,
                        IdsHandler aHandler) = 0;
};

} // namespace yp

#endif
