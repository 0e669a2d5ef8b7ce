#ifndef YP_CONFIGSERVICE_INTERNAL_PLATFORMREPLY_H
#define YP_CONFIGSERVICE_INTERNAL_PLATFORMREPLY_H

#include "framework/network/network.h"
#include <optional>
#include <variant>

namespace yp {

/// \return the body of a 200 response, or the typed error that the response or the failure stands for
Result<std::string>
TakeBody(IHttpClient::Reply aReply, const char* aStep, const std::string& aPeer);

/// \return the member of an object as a whole number of at least 0; kBadInput otherwise
Result<std::uint64_t>
ReadUnsigned(const Json& aObject, const char* aKey, const char* aStep, const std::string& aPath);

/// \return the member of an object as non-empty text; kBadInput otherwise
Result<std::string>
ReadText(const Json& aObject, const char* aKey, const char* aStep, const std::string& aPath);

/// \return the member of an object that is an array; kBadInput otherwise
Result<const Json*>
ReadArray(const Json& aObject, const char* aKey, const char* aStep, const std::string& aPath);

/// Runs a parser and turns its result into what handlers take.
/// \param aParse returns Result<T>
template<class T, class F>
std::variant<T, Error>
ToVariant(F&& aParse)
{
  using Variant = std::variant<T, Error>;
  return Recover(
    [&]() -> Result<Variant> {
      BOOST_LEAF_AUTO(value, aParse());
      return Variant(std::move(value));
    },
    [](const Error& aError) { return Variant(aError); });
}

} // namespace yp

#endif
