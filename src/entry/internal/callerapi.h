#ifndef YP_ENTRY_INTERNAL_CALLERAPI_H
#define YP_ENTRY_INTERNAL_CALLERAPI_H

#include "entry/entry.h"

namespace yp {

/// Reads and checks callers' HTTP requests and writes the replies.
class CallerApi final : public ICallerApi
{
public:
  explicit CallerApi(const CallerApiParts& aParts);

  void Handle(HttpRequest aRequest, HttpRespond aRespond) override;

private:
  Result<void> Route(const HttpRequest& aRequest, const HttpRespond& aRespond);
  Result<void> Addresses(const HttpTarget& aTarget, const HttpRespond& aRespond);
  Result<void> Query(const HttpRequest& aRequest, const HttpRespond& aRespond);
  Result<void> RequestIds(const HttpRequest& aRequest, const HttpRespond& aRespond);
  Result<void> Execute(const HttpRequest& aRequest, const HttpRespond& aRespond);
  Result<void> Outcome(const HttpRequest& aRequest, const std::string& aId, const HttpRespond& aRespond);
  Result<TimePoint> DeadlineOf(const HttpRequest& aRequest, const std::string& aCaller) const;
  IRequestService::AnswerHandler AnswerTo(const HttpRespond& aRespond);

  CallerApiParts parts;
};

} // namespace yp

#endif
