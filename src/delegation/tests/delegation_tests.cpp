#include "delegation/delegation.h"
#include <catch2/catch.hpp>

namespace yp {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// A gateway that answers parts when it is told to.
class HeldGateway final : public IGateway
{
public:
  bool SetRouting(Ref<const RoutingState>) override { return false; }
  Ref<const RoutingState> Routing() const override { return nullptr; }
  void SetExtraLoadShare(double) override {}
  std::uint64_t Start(GatewayRequest, Handler) override { return 0; }

  std::uint64_t StartParts(PartsRequest aRequest, PartsHandler aHandler) override
  {
    this->request = std::move(aRequest);
    if (this->reply) {
      aHandler(*this->reply);
      return 0;
    }
    return 1;
  }

  void Abandon(std::uint64_t) override { ++this->abandoned; }
  std::size_t InProgress() const override { return 0; }
  const GatewayStats& Stats() const override { return this->stats; }

  std::optional<PartsReply> reply;
  PartsRequest request;
  std::size_t abandoned = 0;
  GatewayStats stats;
};

/// Delegates that ask one node over real sockets.
struct DelegationWorld
{
  DelegationWorld()
  {
    PeerRecord peer;
    peer.host = "other";
    peer.failureDomain = "c";
    peer.capacity = 100;
    peer.peers = this->server->LocalEndpoint();
    this->plan.entries = { peer };
    this->request.message = std::make_shared<ForwardedRequest>();
    this->request.shards = { "s1", "s2" };
    this->request.objective = milliseconds(200);
  }

  std::unique_ptr<IHttpServer> Serve()
  {
    HttpServerSettings settings;
    settings.listen = { "127.0.0.1", 0 };
    return Recover(
      [&]() {
        return StartHttpServer(this->context, settings, [this](HttpRequest aRequest, HttpRespond aRespond) {
          ServeParts(this->gateway, std::move(aRequest), std::move(aRespond));
        });
      },
      [](const Error& aError) -> std::unique_ptr<IHttpServer> { throw std::runtime_error(aError.detail); });
  }

  std::uint64_t Send(const std::string& aDomain)
  {
    return this->delegates->Send(aDomain, this->request, [this](IPartDelegates::Result aResult) {
      this->results.push_back(std::move(aResult));
    });
  }

  boost::asio::io_context context;
  SystemClock clock;
  SeededRandom random{ 1 };
  HeldGateway gateway;
  EntryPlan plan;
  PartsRequest request;
  std::unique_ptr<IHttpServer> server{ Serve() };
  std::unique_ptr<IPartDelegates> delegates{ MakePeerDelegates(
    context,
    clock,
    random,
    [this]() -> const EntryPlan& { return this->plan; },
    "own") };
  std::vector<IPartDelegates::Result> results;
};

} // namespace

TEST_CASE("Requests and replies for parts survive their encoding", "[delegation]")
{
  auto message = std::make_shared<ForwardedRequest>();
  message->id = "id";
  message->method = "GET";
  message->target = "/x?y";
  message->headers = { { "Host", "h" } };
  message->body = std::string("\0\xff", 2);
  const PartsRequest request{ message, "route", { "a", "b" }, 2, 5, milliseconds(30), milliseconds(400) };
  const PartsReply reply{ { "a" }, { "sig" }, { { "b", { "leaf" } } }, std::string(16, '\xfe') };
  const bool equal = Recover(
    [&]() -> Result<bool> {
      BOOST_LEAF_AUTO(decoded, DecodePartsRequest(EncodePartsRequest(request)));
      BOOST_LEAF_AUTO(answer, DecodePartsReply(EncodePartsReply(reply)));
      return decoded.message->body == message->body && decoded.shards == request.shards &&
             decoded.objective == request.objective && answer.records == reply.records &&
             answer.missing[0].triedLeafs == reply.missing[0].triedLeafs;
    },
    [](const Error&) { return false; });
  REQUIRE(equal);
}

TEST_CASE("A reply whose shards and signatures differ in number is refused", "[delegation]")
{
  const PartsReply reply{ { "a", "b" }, { "sig" }, {}, "" };
  const bool decoded = Recover(
    [&]() -> Result<bool> {
      BOOST_LEAF_CHECK(DecodePartsReply(EncodePartsReply(reply)));
      return true;
    },
    [](const Error&) { return false; });
  REQUIRE_FALSE(decoded);
}

TEST_CASE("A node next to the leafs answers for its domain only", "[delegation]")
{
  DelegationWorld world;
  world.gateway.reply = PartsReply{ { "s1" }, { "sig" }, { { "s2", {} } }, "" };
  REQUIRE(world.Send("elsewhere") == 0);
  const std::uint64_t number = world.Send("c");
  REQUIRE(number != 0);
  world.context.run_for(milliseconds(100));
  REQUIRE(world.results.size() == 1);
  REQUIRE(world.results[0].reply->shards.size() == 1);
  REQUIRE(world.gateway.request.shards.size() == 2);
}

TEST_CASE("A cancelled request ends the work of the other node", "[delegation][gone]")
{
  DelegationWorld world;
  const std::uint64_t number = world.Send("c");
  world.context.run_for(milliseconds(50));
  world.delegates->Cancel(number, false);
  world.context.run_for(milliseconds(50));
  REQUIRE(world.gateway.abandoned == 1);
  REQUIRE(world.results.empty());
}

TEST_CASE("A node that cannot be reached is avoided, and nothing counts as sent", "[delegation]")
{
  DelegationWorld world;
  world.server.reset();
  world.Send("c");
  world.context.run_for(milliseconds(100));
  REQUIRE(world.results.size() == 1);
  REQUIRE_FALSE(world.results[0].reply);
  REQUIRE_FALSE(world.results[0].sent);
  REQUIRE(world.Send("c") == 0);
}

} // namespace yp
