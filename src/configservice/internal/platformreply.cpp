#include "platformreply.h"
#include <nlohmann/json.hpp>

namespace yp {

namespace {

constexpr unsigned kOk = 200;

ErrorCode
CodeOfStatus(unsigned aStatus)
{
  switch (aStatus) {
    case 404:
      return ErrorCode::kNotFound;
    case 429:
      return ErrorCode::kOverloaded;
    default:
      return aStatus >= 500 ? ErrorCode::kUnavailable : ErrorCode::kBadInput;
  }
}

leaf::error_id
FailField(const char* aStep, const std::string& aPath, const char* aKey, const char* aExpected)
{
  return Fail(ErrorCode::kBadInput, aStep, "", aPath + "." + aKey + ": expected " + aExpected);
}

const Json*
FindMember(const Json& aObject, const char* aKey)
{
  if (!aObject.is_object()) {
    return nullptr;
  }
  const auto found = aObject.find(aKey);
  return found == aObject.end() ? nullptr : &*found;
}

} // namespace

Result<std::string>
TakeBody(IHttpClient::Reply aReply, const char* aStep, const std::string& aPeer)
{
  if (const Error* error = std::get_if<Error>(&aReply)) {
    return leaf::new_error(*error);
  }
  HttpResponse& response = std::get<HttpResponse>(aReply);
  if (response.status != kOk) {
    return Fail(CodeOfStatus(response.status), aStep, aPeer, "status " + std::to_string(response.status));
  }
  return std::move(response.body);
}

Result<std::uint64_t>
ReadUnsigned(const Json& aObject, const char* aKey, const char* aStep, const std::string& aPath)
{
  const Json* member = FindMember(aObject, aKey);
  if (member == nullptr || !member->is_number_unsigned()) {
    return FailField(aStep, aPath, aKey, "a whole number");
  }
  return member->get<std::uint64_t>();
}

Result<std::string>
ReadText(const Json& aObject, const char* aKey, const char* aStep, const std::string& aPath)
{
  const Json* member = FindMember(aObject, aKey);
  if (member == nullptr || !member->is_string() || member->get_ref<const std::string&>().empty()) {
    return FailField(aStep, aPath, aKey, "non-empty text");
  }
  return member->get<std::string>();
}

Result<const Json*>
ReadArray(const Json& aObject, const char* aKey, const char* aStep, const std::string& aPath)
{
  const Json* member = FindMember(aObject, aKey);
  if (member == nullptr || !member->is_array()) {
    return FailField(aStep, aPath, aKey, "an array");
  }
  return member;
}

} // namespace yp
