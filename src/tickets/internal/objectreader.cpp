#include "tickets/internal/objectreader.h"
#include <algorithm>

namespace yp {

namespace {

constexpr const char* kStep = "tickets.parse";
constexpr std::size_t kMaxNameBytes = 64;

bool
IsName(const std::string& aText)
{
  constexpr const char* kAllowed = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.";
  return !aText.empty() && aText.size() <= kMaxNameBytes &&
         aText.find_first_not_of(kAllowed) == std::string::npos;
}

} // namespace

Result<ObjectReader>
ObjectReader::Open(const Json& aValue, const std::string& aPath)
{
  if (!aValue.is_object()) {
    return Fail(ErrorCode::kBadInput, kStep, "", aPath + ": has to be an object");
  }
  return ObjectReader(aValue, aPath);
}

leaf::error_id
ObjectReader::Problem(const std::string& aKey, const std::string& aDetail) const
{
  return Fail(ErrorCode::kBadInput, kStep, "", this->PathOf(aKey) + ": " + aDetail);
}

Result<const Json*>
ObjectReader::Value(const std::string& aKey)
{
  this->known.push_back(aKey);
  const auto found = this->value->find(aKey);
  if (found == this->value->end()) {
    return this->Problem(aKey, "is missing");
  }
  return &*found;
}

Result<std::string>
ObjectReader::Name(const std::string& aKey)
{
  BOOST_LEAF_AUTO(field, this->Value(aKey));
  if (!field->is_string() || !IsName(field->get_ref<const std::string&>())) {
    return this->Problem(aKey, "has to be a name of 1 to 64 letters, digits, '-', '_' or '.'");
  }
  return field->get<std::string>();
}

Result<std::string>
ObjectReader::Text(const std::string& aKey, std::size_t aMaxSize)
{
  BOOST_LEAF_AUTO(field, this->Value(aKey));
  if (!field->is_string() || field->get_ref<const std::string&>().size() > aMaxSize) {
    return this->Problem(aKey, "has to be a text of at most " + std::to_string(aMaxSize) + " bytes");
  }
  return field->get<std::string>();
}

Result<std::string>
ObjectReader::Word(const std::string& aKey, const std::vector<std::string>& aAllowed)
{
  BOOST_LEAF_AUTO(field, this->Value(aKey));
  std::string allowed;
  for (const std::string& word : aAllowed) {
    if (field->is_string() && field->get_ref<const std::string&>() == word) {
      return word;
    }
    allowed += (allowed.empty() ? "" : ", ") + word;
  }
  return this->Problem(aKey, "has to be one of " + allowed);
}

Result<std::uint64_t>
ObjectReader::Integer(const std::string& aKey, std::uint64_t aMin, std::uint64_t aMax)
{
  BOOST_LEAF_AUTO(field, this->Value(aKey));
  const bool inRange =
    field->is_number_unsigned() && field->get<std::uint64_t>() >= aMin && field->get<std::uint64_t>() <= aMax;
  if (!inRange) {
    return this->Problem(aKey,
                         "has to be a whole number, " + std::to_string(aMin) + " to " + std::to_string(aMax));
  }
  return field->get<std::uint64_t>();
}

Result<double>
ObjectReader::Real(const std::string& aKey, double aDefault, double aMin, double aMax)
{
  if (!this->Has(aKey)) {
    return aDefault;
  }
  BOOST_LEAF_AUTO(field, this->Value(aKey));
  const bool inRange = field->is_number() && field->get<double>() >= aMin && field->get<double>() <= aMax;
  if (!inRange) {
    return this->Problem(aKey, "has to be a number, " + std::to_string(aMin) + " to " + std::to_string(aMax));
  }
  return field->get<double>();
}

Result<const Json*>
ObjectReader::Array(const std::string& aKey, std::size_t aMin, std::size_t aMax)
{
  BOOST_LEAF_AUTO(field, this->Value(aKey));
  if (!field->is_array() || field->size() < aMin || field->size() > aMax) {
    return this->Problem(
      aKey, "has to be an array of " + std::to_string(aMin) + " to " + std::to_string(aMax) + " elements");
  }
  return field;
}

Result<void>
ObjectReader::Finish() const
{
  for (const auto& field : this->value->items()) {
    if (std::find(this->known.begin(), this->known.end(), field.key()) == this->known.end()) {
      return this->Problem(field.key().substr(0, kMaxNameBytes), "is not a known field");
    }
  }
  return {};
}

} // namespace yp
