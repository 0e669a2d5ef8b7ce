#include "framework/global/global.h"
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace yp;

namespace {

std::string
JsonProblem(const std::string& aText)
{
  return Recover(
    [&aText]() -> Result<std::string> {
      BOOST_LEAF_CHECK(ParseJson(aText));
      return std::string();
    },
    [](const Error& aError) { return aError.detail; });
}

bool
CborAccepted(const std::string& aBytes)
{
  return Recover(
    [&aBytes]() -> Result<bool> {
      BOOST_LEAF_CHECK(ParseCbor(aBytes));
      return true;
    },
    [](const Error&) { return false; });
}

} // namespace

// Guards against two nodes reading a repeated key differently.
TEST_CASE("JSON with a duplicate key is rejected and the key is named")
{
  CHECK(JsonProblem(R"({"a":1,"b":{"c":1,"c":2}})").find("\"c\"") != std::string::npos);
  CHECK(JsonProblem(R"({"a":{"c":1},"b":{"c":2}})").empty());
}

// Guards against a stack overflow by deeply nested input.
TEST_CASE("deep nesting is rejected before the parser recurses deeply")
{
  CHECK_FALSE(JsonProblem(std::string(500000, '[')).empty());
  CHECK_FALSE(CborAccepted(std::string(500000, '\x81')));
  CHECK_FALSE(CborAccepted(std::string(500000, '\x9f')));
}

// Guards against crashes and silent acceptance of damaged input.
TEST_CASE("truncated, oversized and non-UTF-8 input is rejected")
{
  CHECK_FALSE(JsonProblem(R"({"a":)").empty());
  CHECK_FALSE(JsonProblem("{\"a\":\"\xff\xfe\"}").empty());
  CHECK_FALSE(JsonProblem(std::string(2 * 1024 * 1024, ' ')).empty());
  CHECK_FALSE(JsonProblem("{} {}").empty());
  CHECK_FALSE(CborAccepted(std::string("\x9b\xff\xff\xff\xff\xff\xff\xff\xff", 9)));
  const std::string whole = EncodeCbor(Json{ { "t", "digest" }, { "n", { 1, 2, 3 } } });
  CHECK(CborAccepted(whole));
  for (std::size_t size = 0; size < whole.size(); ++size) {
    CHECK_FALSE(CborAccepted(whole.substr(0, size)));
  }
}
