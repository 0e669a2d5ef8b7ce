#include "servedcontext.h"
#include <catch2/catch.hpp>

using namespace yp;
using namespace std::chrono_literals;

namespace {

struct Fixture
{
  ~Fixture()
  {
    this->served.Call([this] {
      this->client.reset();
      this->held = nullptr;
      this->server.reset();
    });
  }

  Endpoint Serve(HttpServerSettings aSettings = {})
  {
    aSettings.listen = Endpoint{ "127.0.0.1", 0 };
    this->served.Call([&] {
      this->server =
        StartHttpServer(this->served.context, aSettings, [this](HttpRequest aRequest, HttpRespond aRespond) {
          if (aRequest.target == "/never") {
            this->held = std::move(aRespond);
            return;
          }
          HttpResponse response;
          response.body = aRequest.body;
          aRespond(std::move(response));
        }).value();
    });
    return this->server->LocalEndpoint();
  }

  IHttpClient::Reply Send(const Endpoint& aEndpoint,
                          HttpRequest aRequest,
                          std::chrono::milliseconds aTime = 5s)
  {
    std::promise<IHttpClient::Reply> promise;
    this->served.Call([&] {
      this->client->Send(aEndpoint,
                         std::move(aRequest),
                         std::chrono::steady_clock::now() + aTime,
                         [&](IHttpClient::Reply aReply) { promise.set_value(std::move(aReply)); });
    });
    return promise.get_future().get();
  }

  /// Lets a server of plain bytes answer one request.
  IHttpClient::Reply AskRaw(const std::string& aAnswer) { return this->AskEndless(aAnswer, ""); }

  /// Lets a server of plain bytes answer one request and then send aRepeated, unless it is empty, until the
  /// client closes.
  IHttpClient::Reply AskEndless(const std::string& aStart, const std::string& aRepeated)
  {
    boost::asio::io_context context;
    boost::asio::ip::tcp::acceptor acceptor(context, { boost::asio::ip::make_address("127.0.0.1"), 0 });
    const Endpoint endpoint{ "127.0.0.1", acceptor.local_endpoint().port() };
    std::thread peer([&] {
      boost::asio::ip::tcp::socket socket = acceptor.accept();
      char request[4096];
      socket.read_some(boost::asio::buffer(request));
      boost::system::error_code error;
      boost::asio::write(socket, boost::asio::buffer(aStart), error);
      while (!error && !aRepeated.empty()) {
        boost::asio::write(socket, boost::asio::buffer(aRepeated), error);
      }
    });
    const IHttpClient::Reply reply = this->Send(endpoint, HttpRequest{}, 3s);
    peer.join();
    return reply;
  }

  /// Lets a server of plain bytes answer one request and keep the connection open until the client closes it.
  IHttpClient::Reply AskOpen(const std::string& aAnswer)
  {
    boost::asio::io_context context;
    boost::asio::ip::tcp::acceptor acceptor(context, { boost::asio::ip::make_address("127.0.0.1"), 0 });
    const Endpoint endpoint{ "127.0.0.1", acceptor.local_endpoint().port() };
    std::thread peer([&] {
      boost::asio::ip::tcp::socket socket = acceptor.accept();
      char bytes[4096];
      socket.read_some(boost::asio::buffer(bytes));
      boost::system::error_code error;
      boost::asio::write(socket, boost::asio::buffer(aAnswer), error);
      while (!error) {
        socket.read_some(boost::asio::buffer(bytes), error);
      }
    });
    const IHttpClient::Reply reply = this->Send(endpoint, HttpRequest{}, 1s);
    this->served.Call([this] { this->client.reset(); });
    peer.join();
    return reply;
  }

  ServedContext served;
  std::unique_ptr<IHttpClient> client = MakeHttpClient(this->served.context);
  std::unique_ptr<IHttpServer> server;
  HttpRespond held;
};

ErrorCode
CodeOf(const IHttpClient::Reply& aReply)
{
  REQUIRE(std::holds_alternative<Error>(aReply));
  return std::get<Error>(aReply).code;
}

HttpRequest
Post(const std::string& aTarget, const std::string& aBody)
{
  HttpRequest request;
  request.method = "POST";
  request.target = aTarget;
  request.body = aBody;
  return request;
}

} // namespace

// Guards against a new connection for each request, and against using one that the server has closed.
TEST_CASE("connections are reused until the server closes them")
{
  Fixture fixture;
  HttpServerSettings settings;
  settings.idleTimeout = 100ms;
  const Endpoint endpoint = fixture.Serve(settings);
  for (int number = 0; number < 3; ++number) {
    CHECK(std::get<HttpResponse>(fixture.Send(endpoint, Post("/", "abc"))).body == "abc");
  }
  CHECK(fixture.served.Call([&] { return fixture.server->Counters().accepted; }) == 1);
  while (fixture.served.Call([&] { return fixture.server->Counters().connections; }) != 0) {
    std::this_thread::sleep_for(5ms);
  }
  CHECK(std::get<HttpResponse>(fixture.Send(endpoint, Post("/", "abc"))).body == "abc");
}

// Guards against errors that cannot be told apart although only some allow a retry.
TEST_CASE("failures to connect and missed deadlines have their own codes")
{
  Fixture fixture;
  const Endpoint endpoint = fixture.Serve();
  CHECK(CodeOf(fixture.Send(Endpoint{ "localhost", 1 }, {})) == ErrorCode::kBadInput);
  const IHttpClient::Reply late = fixture.Send(endpoint, Post("/never", ""), 30ms);
  CHECK(CodeOf(late) == ErrorCode::kTimeout);
  CHECK(std::get<Error>(late).step == "http.response");
  fixture.served.Call([&] { fixture.server.reset(); });
  CHECK(CodeOf(fixture.Send(endpoint, {})) == ErrorCode::kUnavailable);
}

// Guards against a truncated or malformed response that is taken for a whole one.
TEST_CASE("broken responses are errors")
{
  Fixture fixture;
  CHECK(CodeOf(fixture.AskRaw("")) == ErrorCode::kConnection);
  CHECK(CodeOf(fixture.AskRaw("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc")) == ErrorCode::kConnection);
  CHECK(CodeOf(fixture.AskRaw("nonsense\r\n\r\n")) == ErrorCode::kBadInput);
  CHECK(CodeOf(fixture.AskRaw("HTTP/1.1 200 OK\r\nContent-Length: 99999999\r\n\r\n")) ==
        ErrorCode::kBadInput);
  CHECK(CodeOf(fixture.AskRaw("HTTP/1.1 200 OK\r\nA: " + std::string(50000, 'a'))) == ErrorCode::kBadInput);
}

// Guards against a store or peer whose answer has an impossible status: it was used like one of another
// status, or waited for until the deadline.
TEST_CASE("a response with a status that HTTP does not define is an error at once")
{
  for (const std::string status : { "000", "001", "099", "101", "600", "999" }) {
    for (const std::string rest : { "Content-Length: 0\r\n\r\n", "\r\n" }) {
      CAPTURE(status, rest);
      Fixture fixture;
      CHECK(CodeOf(fixture.AskOpen("HTTP/1.1 " + status + " x\r\nStore-Era: 9\r\n" + rest)) ==
            ErrorCode::kBadInput);
    }
  }
}

// Guards against an interim response that is taken for the answer.
TEST_CASE("an interim response precedes the answer")
{
  Fixture fixture;
  const IHttpClient::Reply reply =
    fixture.AskOpen("HTTP/1.1 103 x\r\nA: b\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc");
  REQUIRE(std::holds_alternative<HttpResponse>(reply));
  CHECK(std::get<HttpResponse>(reply).body == "abc");
}

// Guards against a peer or store that sends without end: its bytes were held until the deadline.
TEST_CASE("a response without end is given up before its deadline")
{
  const std::string head = "HTTP/1.1 200 OK\r\n";
  const std::string chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
  const std::string block(10000, 'a');
  const std::vector<std::pair<std::string, std::string>> cases = {
    { "", block },
    { head, "A: b\r\n" },
    { head + "\r\n", block },
    { chunked + "4;", block },
    { chunked + "0\r\n", "A: b\r\n" },
    { "", "HTTP/1.1 102 Processing\r\n\r\n" },
  };
  for (const auto& [start, repeated] : cases) {
    CAPTURE(start, repeated.substr(0, 30));
    Fixture fixture;
    CHECK(CodeOf(fixture.AskEndless(start, repeated)) != ErrorCode::kTimeout);
  }
}

// Guards against parameters that are cut, merged or decoded wrongly.
TEST_CASE("a target splits into path and decoded parameters")
{
  const HttpTarget target = ParseTarget("/v1/x?a=1%202&b&c=%41+").value();
  CHECK(target.path == "/v1/x");
  CHECK(target.parameters ==
        std::map<std::string, std::string>{ { "a", "1 2" }, { "b", "" }, { "c", "A " } });
  CHECK_FALSE(ParseTarget("/x?a=%4"));
  CHECK_FALSE(ParseTarget("/x?a=%zz"));
  CHECK_FALSE(ParseTarget("/x?a=1&a=2"));
}
