#include "framework/global/global.h"
#include <catch2/catch.hpp>

using namespace yp;

namespace {

std::string
Problems(const std::string& aText)
{
  return Recover(
    [&]() -> Result<std::string> {
      BOOST_LEAF_AUTO(file, SettingsFile::Parse("node.ini", aText));
      file.RequiredAddress("node", "address");
      file.RequiredPort("node", "port");
      file.Milliseconds("limits",
                        "drain_ms",
                        std::chrono::seconds(30),
                        std::chrono::milliseconds(0),
                        std::chrono::minutes(5));
      BOOST_LEAF_CHECK(file.Finish());
      return std::string();
    },
    [](const Error& aError) { return aError.detail; });
}

} // namespace

// Guards against a daemon that starts with a mistyped or missing setting.
TEST_CASE("settings errors name file, section, key, value and what is allowed")
{
  CHECK(Problems("[node]\naddress = 127.0.0.1\nport = 80\n").empty());
  const std::string problems =
    Problems("[node]\naddress = localhost\nport = 70000\ncolour = red\n[limits]\ndrain_ms = 1x\n");
  for (const char* part : { "file=node.ini",
                            "key=address value=\"localhost\" allowed=\"a numeric IPv4 or IPv6 address\"",
                            "key=port value=\"70000\"",
                            "key=colour",
                            "section=limits key=drain_ms value=\"1x\"" }) {
    CHECK(problems.find(part) != std::string::npos);
  }
  CHECK(Problems("").find("key=port") != std::string::npos);
  CHECK_FALSE(Problems("[node\n").empty());
  CHECK_FALSE(Problems("[node]\nport=1\nport=2\n").empty());
}
