#include "framework/global/global.h"
#include "framework/network/network.h"
#include <boost/asio/post.hpp>
#include <catch2/catch.hpp>

using namespace yp;

// Guards against one unexpected exception that ends the process, and with it all requests in progress.
TEST_CASE("an exception of a handler does not end the other handlers")
{
  boost::asio::io_context context;
  int called = 0;
  boost::asio::post(context, [] { throw std::length_error("field too long"); });
  boost::asio::post(context, [] { throw 7; });
  boost::asio::post(context, [&called] { ++called; });
  const std::uint64_t before = CountFailedHandlers();
  RunContext(context);
  CHECK(called == 1);
  CHECK(CountFailedHandlers() - before == 2);
}

// Guards against an error line that does not say what failed.
TEST_CASE("an exception within a fallible function becomes an error with its text")
{
  const std::string detail =
    Recover([]() -> Result<std::string> { throw std::length_error("field too long"); },
            [](const Error& aError) { return std::string(ToString(aError.code)) + ": " + aError.detail; });
  CHECK(detail == "internal: field too long");
}
