#include "framework/global/settingsfile.h"
#include <boost/asio/ip/address.hpp>
#include <boost/property_tree/ini_parser.hpp>
#include <charconv>
#include <fstream>
#include <sstream>

namespace yp {

namespace {

constexpr const char* kStep = "settings.load";

template<class T>
bool
ParseNumber(const std::string& aText, T& aValue)
{
  const auto parsed = std::from_chars(aText.data(), aText.data() + aText.size(), aValue);
  return parsed.ec == std::errc() && parsed.ptr == aText.data() + aText.size();
}

bool
IsAddress(const std::string& aText)
{
  boost::system::error_code error;
  boost::asio::ip::make_address(aText, error);
  return !error;
}

std::string
Range(const std::string& aMin, const std::string& aMax)
{
  return aMin + " to " + aMax;
}

} // namespace

std::string
ToString(const Endpoint& aEndpoint)
{
  if (aEndpoint.address.find(':') != std::string::npos) {
    return "[" + aEndpoint.address + "]:" + std::to_string(aEndpoint.port);
  }
  return aEndpoint.address + ":" + std::to_string(aEndpoint.port);
}

Result<Endpoint>
ParseEndpoint(std::string_view aText)
{
  const std::string text(aText);
  const std::size_t colon = text.rfind(':');
  Endpoint endpoint;
  if (colon != std::string::npos) {
    endpoint.address = text.substr(0, colon);
    if (endpoint.address.size() > 2 && endpoint.address.front() == '[' && endpoint.address.back() == ']') {
      endpoint.address = endpoint.address.substr(1, endpoint.address.size() - 2);
    }
    if (IsAddress(endpoint.address) && ParseNumber(text.substr(colon + 1), endpoint.port) &&
        endpoint.port != 0) {
      return endpoint;
    }
  }
  return Fail(
    ErrorCode::kBadInput, "endpoint.parse", "", "not a numeric address:port: " + text.substr(0, 80));
}

Result<SettingsFile>
SettingsFile::Load(const std::string& aPath)
{
  std::ifstream stream(aPath);
  std::stringstream content;
  if (!stream || !(content << stream.rdbuf())) {
    return Fail(ErrorCode::kBadInput, kStep, "", "file=" + aPath + " cannot be read");
  }
  return Parse(aPath, content.str());
}

Result<SettingsFile>
SettingsFile::Parse(const std::string& aName, const std::string& aText)
{
  boost::property_tree::ptree tree;
  std::istringstream stream(aText);
  try {
    boost::property_tree::read_ini(stream, tree);
  } catch (const boost::property_tree::ini_parser_error& error) {
    return Fail(ErrorCode::kBadInput,
                kStep,
                "",
                "file=" + aName + " line=" + std::to_string(error.line()) + " " + error.message());
  }
  SettingsFile file;
  file.name = aName;
  for (const auto& section : tree) {
    if (section.second.empty() && !section.second.data().empty()) {
      file.AddProblem("", section.first, section.second.data(), "keys inside a [section]");
      continue;
    }
    for (const auto& entry : section.second) {
      file.values[{ section.first, entry.first }] = entry.second.data();
    }
  }
  return file;
}

const std::string*
SettingsFile::Find(const std::string& aSection, const std::string& aKey)
{
  this->known.insert({ aSection, aKey });
  const auto found = this->values.find({ aSection, aKey });
  return found == this->values.end() ? nullptr : &found->second;
}

void
SettingsFile::AddProblem(const std::string& aSection,
                         const std::string& aKey,
                         const std::string& aValue,
                         const std::string& aAllowed)
{
  this->problems.push_back("file=" + this->name + " section=" + aSection + " key=" + aKey + " value=\"" +
                           aValue + "\" allowed=\"" + aAllowed + "\"");
}

bool
SettingsFile::Has(const std::string& aSection, const std::string& aKey) const
{
  return this->values.count({ aSection, aKey }) != 0;
}

std::string
SettingsFile::RequiredText(const std::string& aSection, const std::string& aKey)
{
  const std::string* value = this->Find(aSection, aKey);
  if (value == nullptr || value->empty()) {
    this->AddProblem(aSection, aKey, "", "a value; the key is required");
    return {};
  }
  return *value;
}

std::string
SettingsFile::Text(const std::string& aSection, const std::string& aKey, const std::string& aDefault)
{
  const std::string* value = this->Find(aSection, aKey);
  return value == nullptr ? aDefault : *value;
}

std::string
SettingsFile::Choice(const std::string& aSection,
                     const std::string& aKey,
                     const std::string& aDefault,
                     const std::vector<std::string>& aAllowed)
{
  const std::string value = this->Text(aSection, aKey, aDefault);
  std::string allowed;
  for (const std::string& word : aAllowed) {
    if (word == value) {
      return value;
    }
    allowed += (allowed.empty() ? "" : ", ") + word;
  }
  this->AddProblem(aSection, aKey, value, "one of " + allowed);
  return aDefault;
}

std::int64_t
SettingsFile::Integer(const std::string& aSection,
                      const std::string& aKey,
                      std::int64_t aDefault,
                      std::int64_t aMin,
                      std::int64_t aMax)
{
  const std::string* text = this->Find(aSection, aKey);
  if (text == nullptr) {
    return aDefault;
  }
  std::int64_t value = 0;
  if (!ParseNumber(*text, value) || value < aMin || value > aMax) {
    this->AddProblem(
      aSection, aKey, *text, "a whole number, " + Range(std::to_string(aMin), std::to_string(aMax)));
    return aDefault;
  }
  return value;
}

double
SettingsFile::Real(const std::string& aSection,
                   const std::string& aKey,
                   double aDefault,
                   double aMin,
                   double aMax)
{
  const std::string* text = this->Find(aSection, aKey);
  if (text == nullptr) {
    return aDefault;
  }
  double value = 0;
  if (!ParseNumber(*text, value) || !(value >= aMin && value <= aMax)) {
    this->AddProblem(aSection, aKey, *text, "a number, " + Range(std::to_string(aMin), std::to_string(aMax)));
    return aDefault;
  }
  return value;
}

std::chrono::milliseconds
SettingsFile::Milliseconds(const std::string& aSection,
                           const std::string& aKey,
                           std::chrono::milliseconds aDefault,
                           std::chrono::milliseconds aMin,
                           std::chrono::milliseconds aMax)
{
  return std::chrono::milliseconds(
    this->Integer(aSection, aKey, aDefault.count(), aMin.count(), aMax.count()));
}

std::string
SettingsFile::RequiredAddress(const std::string& aSection, const std::string& aKey)
{
  const std::string value = this->RequiredText(aSection, aKey);
  if (!value.empty() && !IsAddress(value)) {
    this->AddProblem(aSection, aKey, value, "a numeric IPv4 or IPv6 address");
  }
  return value;
}

std::uint16_t
SettingsFile::RequiredPort(const std::string& aSection, const std::string& aKey)
{
  if (!this->Has(aSection, aKey)) {
    this->RequiredText(aSection, aKey);
    return 0;
  }
  return static_cast<std::uint16_t>(this->Integer(aSection, aKey, 0, 1, 65535));
}

Endpoint
SettingsFile::RequiredEndpoint(const std::string& aSection, const std::string& aKey)
{
  const std::string value = this->RequiredText(aSection, aKey);
  if (value.empty()) {
    return {};
  }
  return Recover([&value] { return ParseEndpoint(value); },
                 [&](const Error&) {
                   this->AddProblem(aSection, aKey, value, "numeric address:port");
                   return Endpoint{};
                 });
}

Result<void>
SettingsFile::Finish()
{
  for (const auto& entry : this->values) {
    if (this->known.count(entry.first) == 0) {
      this->AddProblem(
        entry.first.first, entry.first.second, entry.second, "only documented keys; this one is unknown");
    }
  }
  if (this->problems.empty()) {
    return {};
  }
  std::string detail;
  for (const std::string& problem : this->problems) {
    detail += (detail.empty() ? "" : "\n") + problem;
  }
  return Fail(ErrorCode::kBadInput, kStep, "", detail);
}

} // namespace yp
