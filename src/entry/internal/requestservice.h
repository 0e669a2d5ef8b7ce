#ifndef YP_ENTRY_INTERNAL_REQUESTSERVICE_H
#define YP_ENTRY_INTERNAL_REQUESTSERVICE_H

#include "entry/entry.h"
#include <set>

namespace yp {

/// Decides for each request whether it runs here or goes one hop to the node that may run it.
class RequestService final : public IRequestService
{
public:
  explicit RequestService(const RequestServiceParts& aParts);

  AbandonFunction Lookup(LookupRequest aRequest, Origin aOrigin, AnswerHandler aHandler) override;
  void Execute(ExecuteRequest aRequest, Origin aOrigin, AnswerHandler aHandler) override;
  void FindOutcome(const std::string& aId,
                   TimePoint aDeadline,
                   Origin aOrigin,
                   AnswerHandler aHandler) override;
  void IssueIds(const std::string& aService,
                std::uint32_t aCount,
                TimePoint aDeadline,
                Origin aOrigin,
                IdsHandler aHandler) override;

private:
  /// \return why the caller may not use the service now; kNone when it may
  RequestReason Refusal(const std::string& aCaller, const std::string& aService) const;
  bool HoldsService(const std::string& aService) const;
  /// Chooses a holder that was not tried before.
  Result<std::string> NextTarget(const std::string& aService, const std::set<std::string>& aTried);
  /// \param aTried holders that said that they do not serve the request
  void ForwardLookup(const LookupRequest& aRequest,
                     std::set<std::string> aTried,
                     const AnswerHandler& aHandler);
  void ForwardIssue(const std::string& aService,
                    std::uint32_t aCount,
                    TimePoint aDeadline,
                    std::set<std::string> aTried,
                    const IdsHandler& aHandler);
  void RunClaimed(const ExecuteRequest& aRequest, const AnswerHandler& aHandler);
  void AnswerKnown(const std::string& aId,
                   const ClaimResult& aClaim,
                   TimePoint aDeadline,
                   const AnswerHandler& aHandler);
  void FindAgain(const std::string& aId, TimePoint aDeadline, const AnswerHandler& aHandler);

  RequestServiceParts parts;
};

} // namespace yp

#endif
