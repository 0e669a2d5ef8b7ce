#include "leaf/internal/replyreader.h"
#include <boost/asio/buffer.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/error.hpp>
#include <charconv>

namespace yp {

namespace {

namespace beast = boost::beast;
namespace http = boost::beast::http;

constexpr std::uint32_t kMaxHeaderBytes = 8 * 1024;
constexpr std::size_t kMaxVersions = 64;

template<class T>
bool
ReadNumber(std::string_view aText, T& aNumber)
{
  const auto end = aText.data() + aText.size();
  const auto read = std::from_chars(aText.data(), end, aNumber);
  return read.ec == std::errc() && read.ptr == end;
}

std::string_view
Trim(std::string_view aText)
{
  while (!aText.empty() && aText.front() == ' ') {
    aText.remove_prefix(1);
  }
  while (!aText.empty() && aText.back() == ' ') {
    aText.remove_suffix(1);
  }
  return aText;
}

bool
ReadVersions(std::string_view aText, std::vector<IndexVersion>& aVersions)
{
  while (!aText.empty()) {
    const auto comma = aText.find(',');
    IndexVersion version = 0;
    if (aVersions.size() == kMaxVersions || !ReadNumber(Trim(aText.substr(0, comma)), version)) {
      return false;
    }
    aVersions.push_back(version);
    aText = comma == std::string_view::npos ? std::string_view() : aText.substr(comma + 1);
  }
  return true;
}

bool
ReadLoad(std::string_view aText, ParsedReply& aReply)
{
  const auto slash = aText.find('/');
  return slash != std::string_view::npos && ReadNumber(aText.substr(0, slash), aReply.busySlots) &&
         ReadNumber(aText.substr(slash + 1), aReply.slots);
}

bool
ReadNotRun(std::string_view aText, NotRunReason& aReason)
{
  constexpr std::pair<std::string_view, NotRunReason> kReasons[] = {
    { "shed", NotRunReason::kShed },
    { "draining", NotRunReason::kDraining },
    { "cold", NotRunReason::kCold },
    { "connections", NotRunReason::kConnectionLimit },
    { "version", NotRunReason::kVersionNotServed },
    { "deadline", NotRunReason::kDeadline },
    { "cancelled", NotRunReason::kCancelled }
  };
  for (const auto& reason : kReasons) {
    if (reason.first == aText) {
      aReason = reason.second;
      return true;
    }
  }
  return false;
}

template<class T>
bool
ReadOptional(std::string_view aText, std::optional<T>& aNumber)
{
  T number = 0;
  const bool first = !aNumber.has_value();
  const bool good = ReadNumber(aText, number);
  aNumber = number;
  return good && first;
}

/// \return whether the field could be read; fields outside the leaf protocol are passed over
bool
ReadField(beast::string_view aName, std::string_view aValue, ParsedReply& aReply)
{
  if (aName.size() < 3 || !beast::iequals(aName.substr(0, 3), "yp-")) {
    return true;
  }
  const beast::string_view name = aName.substr(3);
  if (beast::iequals(name, "request-id")) {
    const bool first = aReply.requestId.empty();
    aReply.requestId.assign(aValue);
    return first;
  }
  if (beast::iequals(name, "layout")) {
    return ReadOptional(aValue, aReply.layout);
  }
  if (beast::iequals(name, "shard")) {
    return ReadOptional(aValue, aReply.shard);
  }
  if (beast::iequals(name, "index-version")) {
    return ReadOptional(aValue, aReply.indexVersion);
  }
  if (beast::iequals(name, "versions")) {
    return ReadVersions(aValue, aReply.versions);
  }
  if (beast::iequals(name, "load")) {
    return ReadLoad(aValue, aReply);
  }
  if (beast::iequals(name, "draining")) {
    aReply.draining = aValue == "1";
    return true;
  }
  if (beast::iequals(name, "not-run")) {
    return ReadNotRun(aValue, aReply.notRun);
  }
  return true;
}

} // namespace

/// Fills a ParsedReply directly, without a container of header fields.
class ReplyReader::Parser final : public http::basic_parser<false>
{
public:
  Parser(ParsedReply& aReply, std::size_t aMaxBytes)
    : reply(aReply)
  {
    this->header_limit(kMaxHeaderBytes);
    this->body_limit(aMaxBytes);
    this->eager(true);
  }

private:
  void on_request_impl(http::verb, // NOLINT(readability-identifier-naming)
                       beast::string_view,
                       beast::string_view,
                       int,
                       beast::error_code&) override
  {
  }
  void on_response_impl(int aStatus, // NOLINT(readability-identifier-naming)
                        beast::string_view,
                        int,
                        beast::error_code&) override
  {
    this->reply.status = static_cast<unsigned>(aStatus);
  }
  void on_field_impl(http::field, // NOLINT(readability-identifier-naming)
                     beast::string_view aName,
                     beast::string_view aValue,
                     beast::error_code&) override
  {
    if (!ReadField(aName, std::string_view(aValue.data(), aValue.size()), this->reply)) {
      this->reply.badField = true;
    }
  }
  void on_header_impl(beast::error_code& aError) override // NOLINT(readability-identifier-naming)
  {
    // A body that ends with the connection cannot be told from a truncated one.
    if (this->need_eof() || this->reply.status < 200) {
      aError = http::error::bad_content_length;
    }
  }
  void on_body_init_impl(
    const boost::optional<std::uint64_t>& aLength, // NOLINT(readability-identifier-naming)
    beast::error_code&) override
  {
    if (aLength) {
      this->reply.body.reserve(static_cast<std::size_t>(*aLength));
    }
  }
  std::size_t on_body_impl(beast::string_view aBody, // NOLINT(readability-identifier-naming)
                           beast::error_code&) override
  {
    this->reply.body.append(aBody.data(), aBody.size());
    return aBody.size();
  }
  void on_chunk_header_impl(std::uint64_t, // NOLINT(readability-identifier-naming)
                            beast::string_view,
                            beast::error_code&) override
  {
  }
  std::size_t on_chunk_body_impl(std::uint64_t, // NOLINT(readability-identifier-naming)
                                 beast::string_view aBody,
                                 beast::error_code&) override
  {
    this->reply.body.append(aBody.data(), aBody.size());
    return aBody.size();
  }
  void on_finish_impl(beast::error_code&) override // NOLINT(readability-identifier-naming)
  {
    this->reply.keepAlive = this->keep_alive();
  }

  ParsedReply& reply;
};

struct ReplyReader::State
{
  std::size_t maxBytes = 0;
  ParsedReply reply;
  std::optional<Parser> parser;
};

ReplyReader::ReplyReader(std::size_t aMaxBytes)
  : state(std::make_unique<State>())
{
  this->state->maxBytes = aMaxBytes;
  this->Restart();
}

ReplyReader::~ReplyReader() = default;

void
ReplyReader::Restart()
{
  this->state->reply = ParsedReply();
  this->state->parser.emplace(this->state->reply, this->state->maxBytes);
}

ReplyReader::Progress
ReplyReader::Feed(const char* aData, std::size_t aSize, std::size_t& aConsumed)
{
  Parser& parser = *this->state->parser;
  aConsumed = 0;
  while (aConsumed < aSize && !parser.is_done()) {
    beast::error_code error;
    const std::size_t used =
      parser.put(boost::asio::const_buffer(aData + aConsumed, aSize - aConsumed), error);
    aConsumed += used;
    if (error && error != http::error::need_more) {
      return Progress::kMalformed;
    }
    if (error || used == 0) {
      break;
    }
  }
  return parser.is_done() ? Progress::kComplete : Progress::kNeedMore;
}

ParsedReply&
ReplyReader::Reply()
{
  return this->state->reply;
}

} // namespace yp
