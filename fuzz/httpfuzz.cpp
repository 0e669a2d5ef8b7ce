#include "entry/tests/entryfixture.h"
#include "fuzztarget.h"
#include <nlohmann/json.hpp>

using namespace yp;

namespace {

/// Sends one body to one path and checks that exactly one reply comes, or that the engine got the request.
void
Send(EntryFixture& aNode, const std::string& aTarget, const std::string& aBody)
{
  int replies = 0;
  HttpRequest request;
  request.method = "POST";
  request.target = aTarget;
  request.body = aBody;
  const std::size_t before = aNode.engine.handlers.size();
  aNode.api->Handle(request, [&replies](const HttpResponse& aResponse) {
    ++replies;
    const Json reply = Json::parse(aResponse.body, nullptr, false);
    YP_INVARIANT(!reply.is_discarded() && reply.contains("outcome"), "reply_has_an_outcome", aResponse.body);
  });
  const std::size_t taken = aNode.engine.handlers.size() - before;
  YP_INVARIANT(replies + static_cast<int>(taken) == 1, "one_reply_a_request", std::to_string(replies));
}

} // namespace

std::vector<std::string>
yp::FuzzSeeds()
{
  return { R"({"caller":"screen","service":"kiosk","query":{"terms":["cr2032","centrs"]},"limit":10})",
           R"({"caller":"screen","service":"refill","query":{"terms":[]}})",
           R"({"caller":"screen","service":"kiosk","count":5})",
           R"({"request_id":"1-2","caller":"screen","service":"kiosk","key":"k","body":{"a":1}})" };
}

// Guards against a crash by a caller's input, and against a request without exactly one reply.
extern "C" int
LLVMFuzzerTestOneInput(const std::uint8_t* aData, std::size_t aSize)
{
  const std::string input(reinterpret_cast<const char*>(aData), aSize);
  EntryFixture node;
  Send(node, "/v1/query", input);
  Send(node, "/v1/request-ids", input);
  Send(node, "/v1/requests", input);
  node.api->Handle(HttpRequest{ "GET", "/v1/requests/" + input, {}, "", {}, nullptr },
                   [](const HttpResponse&) {});
  node.api->Handle(HttpRequest{ "GET", input, {}, "", {}, nullptr }, [](const HttpResponse&) {});
  return 0;
}
