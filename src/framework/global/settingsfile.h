#ifndef YP_FRAMEWORK_GLOBAL_SETTINGSFILE_H
#define YP_FRAMEWORK_GLOBAL_SETTINGSFILE_H

#include "framework/global/errors.h"
#include <chrono>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace yp {

/// An IP address and port. Names are not resolved.
struct Endpoint
{
  std::string address;
  std::uint16_t port = 0;

  bool operator==(const Endpoint& aOther) const
  {
    return this->address == aOther.address && this->port == aOther.port;
  }
  bool operator!=(const Endpoint& aOther) const { return !(*this == aOther); }
  bool operator<(const Endpoint& aOther) const
  {
    return this->address != aOther.address ? this->address < aOther.address : this->port < aOther.port;
  }
};

/// \return "address:port"
std::string
ToString(const Endpoint& aEndpoint);

/// Parses "address:port" with a numeric IPv4 address or a bracketed IPv6 address.
Result<Endpoint>
ParseEndpoint(std::string_view aText);

/// An INI file whose keys are read with a check each. Every getter records a problem instead of failing, so
/// that all problems of a file are reported at once by Finish.
class SettingsFile
{
public:
  /// Reads and parses a file.
  /// \param aPath path, named in every error
  /// \return the settings; kBadInput when the file cannot be read or is not INI
  static Result<SettingsFile> Load(const std::string& aPath);

  /// Parses text as if it were the content of the named file.
  static Result<SettingsFile> Parse(const std::string& aName, const std::string& aText);

  /// Reads a required text value.
  std::string RequiredText(const std::string& aSection, const std::string& aKey);

  /// Reads an optional text value.
  std::string Text(const std::string& aSection, const std::string& aKey, const std::string& aDefault);

  /// Reads one of several words.
  std::string Choice(const std::string& aSection,
                     const std::string& aKey,
                     const std::string& aDefault,
                     const std::vector<std::string>& aAllowed);

  /// Reads a number within [aMin, aMax].
  std::int64_t Integer(const std::string& aSection,
                       const std::string& aKey,
                       std::int64_t aDefault,
                       std::int64_t aMin,
                       std::int64_t aMax);

  /// Reads a fraction or ratio within [aMin, aMax].
  double Real(const std::string& aSection,
              const std::string& aKey,
              double aDefault,
              double aMin,
              double aMax);

  /// Reads a duration in whole milliseconds within [aMin, aMax].
  std::chrono::milliseconds Milliseconds(const std::string& aSection,
                                         const std::string& aKey,
                                         std::chrono::milliseconds aDefault,
                                         std::chrono::milliseconds aMin,
                                         std::chrono::milliseconds aMax);

  /// Reads a required numeric IP address.
  std::string RequiredAddress(const std::string& aSection, const std::string& aKey);

  /// Reads a required port, 1 to 65535.
  std::uint16_t RequiredPort(const std::string& aSection, const std::string& aKey);

  /// Reads a required "address:port".
  Endpoint RequiredEndpoint(const std::string& aSection, const std::string& aKey);

  /// \return whether the key is present
  bool Has(const std::string& aSection, const std::string& aKey) const;

  /// Ends the checks: keys that no getter asked for are problems too.
  /// \return success, or kBadInput listing file, section, key, value and what is allowed, one problem a line
  Result<void> Finish();

private:
  const std::string* Find(const std::string& aSection, const std::string& aKey);
  void AddProblem(const std::string& aSection,
                  const std::string& aKey,
                  const std::string& aValue,
                  const std::string& aAllowed);

  std::string name;
  std::map<std::pair<std::string, std::string>, std::string> values;
  std::set<std::pair<std::string, std::string>> known;
  std::vector<std::string> problems;
};

} // namespace yp

#endif
