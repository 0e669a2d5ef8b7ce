#ifndef YP_LEAF_TESTS_FAKELEAF_H
#define YP_LEAF_TESTS_FAKELEAF_H

#include "leaf/leaf.h"
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <catch2/catch.hpp>

namespace yp {

using FakeRequest = boost::beast::http::request<boost::beast::http::string_body>;

/// One accepted connection of a fake leaf.
class FakeSession : public std::enable_shared_from_this<FakeSession>
{
public:
  explicit FakeSession(boost::asio::ip::tcp::socket aSocket)
    : socket(std::move(aSocket))
  {
  }

  /// Writes bytes as they are.
  void Raw(const std::string& aBytes)
  {
    boost::system::error_code ignored;
    boost::asio::write(this->socket, boost::asio::buffer(aBytes), ignored);
  }

  void Close()
  {
    boost::system::error_code ignored;
    this->socket.close(ignored);
    this->open = false;
  }

  void Read(std::function<void(FakeSession&, FakeRequest&)> aScript)
  {
    this->request = FakeRequest();
    boost::beast::http::async_read(
      this->socket,
      this->buffer,
      this->request,
      [self = this->shared_from_this(), aScript](const boost::system::error_code& aError, std::size_t) {
        if (aError) {
          self->Close();
          return;
        }
        FakeRequest received = std::move(self->request);
        aScript(*self, received);
        if (self->open) {
          self->Read(aScript);
        }
      });
  }

  bool open = true;

private:
  boost::asio::ip::tcp::socket socket;
  boost::beast::flat_buffer buffer;
  FakeRequest request;
};

/// Parts of a reply; the defaults match the request.
struct FakeReply
{
  std::string id;
  std::string status = "200 OK";
  std::string layout = "1";
  std::string shard = "0";
  std::string version = "7";
  std::string extra;
  std::string body = R"({"hits":[]})";

  explicit FakeReply(const FakeRequest& aRequest)
    : id(aRequest["Yp-Request-Id"])
  {
  }

  std::string Text() const
  {
    return "HTTP/1.1 " + this->status + "\r\nYp-Request-Id: " + this->id + "\r\nYp-Layout: " + this->layout +
           "\r\nYp-Shard: " + this->shard + "\r\nYp-Index-Version: " + this->version +
           "\r\nYp-Versions: 6,7\r\nYp-Load: 1/2\r\n" + this->extra +
           "Content-Length: " + std::to_string(this->body.size()) + "\r\n\r\n" + this->body;
  }
};

/// A scripted leaf on an ephemeral port, run by the test's own context.
class FakeLeaf
{
public:
  using Script = std::function<void(FakeSession&, FakeRequest&)>;

  explicit FakeLeaf(boost::asio::io_context& aContext)
    : acceptor(aContext, { boost::asio::ip::make_address("127.0.0.1"), 0 })
  {
    this->Accept();
  }

  Endpoint Address() const { return { "127.0.0.1", this->acceptor.local_endpoint().port() }; }
  void StopListening() { this->acceptor.close(); }
  std::size_t Open() const
  {
    return static_cast<std::size_t>(std::count_if(
      this->sessions.begin(), this->sessions.end(), [](const auto& aSession) { return aSession->open; }));
  }

  Script script = [](FakeSession& aSession, FakeRequest& aRequest) {
    aSession.Raw(FakeReply(aRequest).Text());
  };
  std::string greeting;         ///< written to each new connection, which is then closed
  std::vector<std::string> log; ///< "METHOD target" of each request
  std::vector<std::shared_ptr<FakeSession>> sessions;

private:
  void Accept()
  {
    this->acceptor.async_accept(
      [this](const boost::system::error_code& aError, boost::asio::ip::tcp::socket aSocket) {
        if (aError) {
          return;
        }
        this->sessions.push_back(std::make_shared<FakeSession>(std::move(aSocket)));
        if (!this->greeting.empty()) {
          this->sessions.back()->Raw(this->greeting);
          this->sessions.back()->Close();
        } else {
          this->sessions.back()->Read([this](FakeSession& aSession, FakeRequest& aRequest) {
            this->log.push_back(std::string(aRequest.method_string()) + " " + std::string(aRequest.target()));
            this->script(aSession, aRequest);
          });
        }
        this->Accept();
      });
  }

  boost::asio::ip::tcp::acceptor acceptor;
};

/// A fake leaf and the pools of one thread, over one context that the test runs.
class Bench
{
public:
  explicit Bench(std::uint32_t aConnections = 1, LeafPoolSettings aSettings = FastSettings())
    : server(context)
    , pools(MakeLeafPools({ &context }, clock, aSettings))
  {
    this->SetShare(aConnections);
  }

  static LeafPoolSettings FastSettings()
  {
    LeafPoolSettings settings;
    settings.requestIdPrefix = "t";
    settings.cancelTimeout = std::chrono::milliseconds(60);
    settings.maxReplyBytes = 4096;
    return settings;
  }

  void SetShare(std::uint32_t aConnections) { this->SetShare(aConnections, this->server.Address()); }

  void SetShare(std::uint32_t aConnections, const Endpoint& aPeer)
  {
    Ref<ServiceSpec> changed(new ServiceSpec);
    changed->name = "kiosk";
    LeafSpec spec;
    spec.leaf = "kiosk-1";
    spec.endpoint = aPeer;
    spec.layout = 1;
    changed->leafs.push_back(spec);
    this->service = changed;
    TicketState state;
    state.services["kiosk"] = this->service;
    Placement placement;
    placement.services["kiosk"].ownConnections["kiosk-1"] = aConnections;
    this->pools->Update(state, placement);
    // The share is taken over by a post.
    this->context.poll();
  }

  LeafAttempt MakeAttempt(std::chrono::milliseconds aDeadline = std::chrono::milliseconds(1000))
  {
    LeafAttempt attempt;
    attempt.id = ++this->lastId;
    attempt.service = this->service;
    attempt.leaf = &this->service->leafs[0];
    attempt.indexVersion = 7;
    attempt.body = R"({"query":{"terms":["x"]},"limit":3})";
    attempt.deadline = this->clock.Now() + aDeadline;
    attempt.queueUntil = attempt.deadline;
    return attempt;
  }

  std::uint64_t Send(LeafAttempt aAttempt)
  {
    const std::uint64_t id = aAttempt.id;
    this->pools->Transport(0).Send(std::move(aAttempt),
                                   [this](LeafReply aReply) { this->replies.push_back(std::move(aReply)); });
    return id;
  }

  /// Runs until a condition holds, at most two seconds.
  template<class Condition>
  bool RunUntil(Condition aCondition)
  {
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(2);
    while (!aCondition() && std::chrono::steady_clock::now() < end) {
      this->context.run_one_for(std::chrono::milliseconds(20));
    }
    return aCondition();
  }

  bool RunUntilReplies(std::size_t aCount)
  {
    return this->RunUntil([&] { return this->replies.size() >= aCount; });
  }

  void RunFor(std::chrono::milliseconds aTime) { this->context.run_for(aTime); }

  boost::asio::io_context context;
  SystemClock clock;
  FakeLeaf server;
  std::unique_ptr<ILeafPools> pools;
  Ref<const ServiceSpec> service;
  std::vector<LeafReply> replies;
  std::uint64_t lastId = 0;
};

} // namespace yp

#endif
