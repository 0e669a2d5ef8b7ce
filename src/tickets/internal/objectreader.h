#ifndef YP_TICKETS_INTERNAL_OBJECTREADER_H
#define YP_TICKETS_INTERNAL_OBJECTREADER_H

#include "framework/global/global.h"
#include <nlohmann/json.hpp>
#include <string>
#include <utility>
#include <vector>

namespace yp {

/// Reads a JSON object field by field and reports each problem with the path inside the document.
class ObjectReader
{
public:
  /// \param aValue value that has to be an object
  /// \param aPath path of the value, for example "objects[0].state"
  static Result<ObjectReader> Open(const Json& aValue, const std::string& aPath);

  /// \return the path of a field
  std::string PathOf(const std::string& aKey) const { return this->path + "." + aKey; }

  /// Reads a required name: 1 to 64 characters out of letters, digits, '-', '_' and '.'.
  Result<std::string> Name(const std::string& aKey);

  /// Reads a required text of at most aMaxSize bytes.
  Result<std::string> Text(const std::string& aKey, std::size_t aMaxSize);

  /// Reads one of several words.
  Result<std::string> Word(const std::string& aKey, const std::vector<std::string>& aAllowed);

  /// Reads a required whole number within [aMin, aMax].
  Result<std::uint64_t> Integer(const std::string& aKey, std::uint64_t aMin, std::uint64_t aMax);

  /// Reads a number within [aMin, aMax]; the default stands for an absent field.
  Result<double> Real(const std::string& aKey, double aDefault, double aMin, double aMax);

  /// Reads a required array of aMin to aMax elements.
  Result<const Json*> Array(const std::string& aKey, std::size_t aMin, std::size_t aMax);

  /// Reads any required value.
  Result<const Json*> Value(const std::string& aKey);

  /// \return whether the field is present
  bool Has(const std::string& aKey) const { return this->value->contains(aKey); }

  /// Fails for a field that was not read.
  Result<void> Finish() const;

private:
  ObjectReader(const Json& aValue, std::string aPath)
    : value(&aValue)
    , path(std::move(aPath))
  {
  }

  leaf::error_id Problem(const std::string& aKey, const std::string& aDetail) const;

  const Json* value;
  std::string path;
  std::vector<std::string> known; ///< fields that were asked for
};

} // namespace yp

#endif
