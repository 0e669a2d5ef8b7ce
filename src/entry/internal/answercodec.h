#ifndef YP_ENTRY_INTERNAL_ANSWERCODEC_H
#define YP_ENTRY_INTERNAL_ANSWERCODEC_H

#include "query/querytypes.h"

namespace yp {

/// \return the JSON reply for a caller
Json
AnswerToJson(const RequestAnswer& aAnswer);

/// \return the HTTP status that goes with an answer
unsigned
AnswerStatus(const RequestAnswer& aAnswer);

std::string
EncodeLookup(const LookupRequest& aRequest, TimePoint aNow);

std::string
EncodeExecute(const ExecuteRequest& aRequest, TimePoint aNow);

/// \param aNow time of receipt, from which the remaining time counts
Result<LookupRequest>
DecodeLookup(std::string_view aBytes, TimePoint aNow);

Result<ExecuteRequest>
DecodeExecute(std::string_view aBytes, TimePoint aNow);

std::string
EncodeAnswer(const RequestAnswer& aAnswer);

Result<RequestAnswer>
DecodeAnswer(std::string_view aBytes);

/// A question for the outcome of a request id, or for new ids.
struct IdQuestion
{
  std::string id;
  std::string service;
  std::uint32_t count = 0;
  std::chrono::milliseconds remaining{ 0 };
};

std::string
EncodeIdQuestion(const IdQuestion& aQuestion);

Result<IdQuestion>
DecodeIdQuestion(std::string_view aBytes);

std::string
EncodeIds(const std::vector<std::string>& aIds);

/// \return the ids; kUnavailable when the other node issued none
Result<std::vector<std::string>>
DecodeIds(std::string_view aBytes);

} // namespace yp

#endif
