#include "servedcontext.h"
#include <boost/asio/steady_timer.hpp>
#include <catch2/catch.hpp>

using namespace yp;
using namespace std::chrono_literals;

namespace {

/// Answers with the target, "/later" only when told to, and "/drop" never.
struct Fixture
{
  explicit Fixture(HttpServerSettings aSettings = {})
  {
    aSettings.listen = Endpoint{ "127.0.0.1", 0 };
    this->served.Call([&] {
      this->server =
        StartHttpServer(this->served.context, aSettings, [this](HttpRequest aRequest, HttpRespond aRespond) {
          this->Handle(std::move(aRequest), std::move(aRespond));
        }).value();
    });
    this->endpoint = this->server->LocalEndpoint();
  }

  ~Fixture()
  {
    this->served.Call([this] {
      this->later = nullptr;
      this->server.reset();
    });
  }

  void Handle(HttpRequest aRequest, HttpRespond aRespond)
  {
    if (aRequest.target == "/drop") {
      return;
    }
    if (aRequest.target == "/throw") {
      throw std::runtime_error("test");
    }
    if (aRequest.target == "/later") {
      aRequest.exchange->OnClientGone([this] { this->gone.set_value(); });
      this->later = std::move(aRespond);
      this->arrived.set_value();
      return;
    }
    HttpResponse response;
    if (aRequest.target == "/oversized") {
      response.headers.push_back({ "X-Long", std::string(70000, 'a') });
    }
    response.body =
      "[" + aRequest.method + aRequest.target + ":" + std::to_string(aRequest.body.size()) + "]";
    aRespond(std::move(response));
  }

  std::string Ask(const std::string& aText)
  {
    RawClient client(this->endpoint);
    client.Send(aText);
    return client.ReadAll();
  }

  bool Works()
  {
    return this->Ask("GET /ok HTTP/1.1\r\nConnection: close\r\n\r\n").find("[GET/ok:0]") != std::string::npos;
  }

  ServedContext served;
  std::unique_ptr<IHttpServer> server;
  Endpoint endpoint;
  HttpRespond later;
  std::promise<void> arrived;
  std::promise<void> gone;
};

bool
Has(const std::string& aText, const std::string& aPart)
{
  return aText.find(aPart) != std::string::npos;
}

} // namespace

// Guards against pipelined requests that overtake, get lost or are run side by side.
TEST_CASE("pipelined requests are answered in order on one connection")
{
  Fixture fixture;
  RawClient client(fixture.endpoint);
  client.Send(
    "GET /later HTTP/1.1\r\n\r\nPOST /b HTTP/1.1\r\nContent-Length: 3\r\n\r\nabcGET /c HTTP/1.1\r\n\r\n");
  fixture.arrived.get_future().wait();
  fixture.served.Call([&] {
    CHECK(fixture.server->Counters().requests == 1);
    HttpResponse response;
    response.body = "[first]";
    fixture.later(std::move(response));
  });
  const std::string text = client.ReadUntil("]", 3);
  CHECK(text.find("[first]") < text.find("[POST/b:3]"));
  CHECK(text.find("[POST/b:3]") < text.find("[GET/c:0]"));
  CHECK(Has(text, "[GET/c:0]"));
}

// Guards against bad input that hangs a connection, harms other connections or is closed without a reason.
TEST_CASE("bad input gets a 4xx and other connections go on")
{
  HttpServerSettings settings;
  settings.maxBodyBytes = 1000;
  settings.maxHeaderBytes = 2000;
  settings.headerTimeout = 60ms;
  settings.bodyTimeout = 60ms;
  settings.idleTimeout = 200ms;
  Fixture fixture(settings);
  CHECK(Has(fixture.Ask("nonsense\r\n\r\n"), "HTTP/1.1 400"));
  CHECK(Has(fixture.Ask("POST / HTTP/1.1\r\nContent-Length: -3\r\n\r\n"), "HTTP/1.1 400"));
  CHECK(Has(fixture.Ask("GET / HTTP/1.1\r\nA: " + std::string(100000, 'a') + "\r\n\r\n"), "HTTP/1.1 431"));
  CHECK(Has(fixture.Ask("GET /" + std::string(100000, 'a')), "HTTP/1.1 431"));
  const std::string big = "POST / HTTP/1.1\r\nContent-Length: 3000000\r\n\r\n" + std::string(3000000, 'a');
  CHECK(Has(fixture.Ask(big), "HTTP/1.1 413"));
  const std::string chunk = "400\r\n" + std::string(1024, 'a') + "\r\n";
  CHECK(Has(fixture.Ask("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk), "HTTP/1.1 413"));
  const std::string chunked = "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";
  CHECK(Has(fixture.Ask(chunked + "4;" + std::string(100000, 'a')), "HTTP/1.1 400"));
  CHECK(Has(fixture.Ask(chunked + "0\r\nA: " + std::string(100000, 'a')), "HTTP/1.1 400"));
  CHECK(Has(fixture.Ask("GET / HTTP/1.1\r\nHo"), "HTTP/1.1 408"));
  CHECK(Has(fixture.Ask("POST / HTTP/1.1\r\nContent-Length: 9\r\n\r\nabc"), "HTTP/1.1 408"));
  CHECK(fixture.Ask("").empty());
  CHECK(fixture.Works());
}

// Guards against requests that a changed configuration allows and that get 413, 431 or a closed connection
// because their connection was idle when the limits changed.
TEST_CASE("changed limits hold for the next request of an idle connection")
{
  HttpServerSettings settings;
  settings.maxBodyBytes = 1000;
  settings.maxHeaderBytes = 2000;
  settings.idleTimeout = 300ms;
  Fixture fixture(settings);
  RawClient fresh(fixture.endpoint);
  RawClient used(fixture.endpoint);
  used.Send("GET /a HTTP/1.1\r\n\r\n");
  used.ReadUntil("[GET/a:0]");
  settings.maxBodyBytes = 5000;
  settings.maxHeaderBytes = 9000;
  settings.idleTimeout = 5000ms;
  fixture.served.Call([&] { fixture.server->SetLimits(settings); });
  std::this_thread::sleep_for(400ms);
  const std::string request = "POST /b HTTP/1.1\r\nA: " + std::string(3000, 'a') +
                              "\r\nContent-Length: 4000\r\nConnection: close\r\n\r\n" +
                              std::string(4000, 'b');
  for (RawClient* client : { &fresh, &used }) {
    client->Send(request);
    CHECK(Has(client->ReadAll(), "[POST/b:4000]"));
  }
}

// Guards against a response that cannot be written and ends the process: the library throws for a field of 64
// KB.
TEST_CASE("a response that cannot be written becomes a 500 and other connections go on")
{
  Fixture fixture;
  const std::string text = fixture.Ask("GET /oversized HTTP/1.1\r\nConnection: close\r\n\r\n");
  CHECK(Has(text, "HTTP/1.1 500"));
  CHECK_FALSE(Has(text, "X-Long"));
  CHECK(fixture.Works());
}

// Guards against a stopping server that closes a connection in the middle of a request with no answer.
TEST_CASE("requests that have not arrived completely are answered with 408 when the server ends")
{
  Fixture fixture;
  RawClient head(fixture.endpoint);
  head.Send("GET /ok HTTP/1.1\r\nHo");
  RawClient body(fixture.endpoint);
  body.Send("POST /ok HTTP/1.1\r\nContent-Length: 9\r\n\r\nabc");
  RawClient idle(fixture.endpoint);
  std::this_thread::sleep_for(50ms);
  fixture.served.Call([&] { fixture.server->RejectIncomplete(); });
  CHECK(Has(head.ReadAll(), "HTTP/1.1 408"));
  CHECK(Has(body.ReadAll(), "HTTP/1.1 408"));
  idle.Send("GET /idle HTTP/1.1\r\nConnection: close\r\n\r\n");
  CHECK(Has(idle.ReadAll(), "[GET/idle:0]"));
}

// Guards against the limit of chunk heads being applied to the data of a chunk.
TEST_CASE("a chunk larger than the limit of a header is received")
{
  HttpServerSettings settings;
  settings.maxHeaderBytes = 2000;
  Fixture fixture(settings);
  const std::string chunk = "C350\r\n" + std::string(50000, 'a') + "\r\n0\r\n\r\n";
  const std::string head = "POST /big HTTP/1.1\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n";
  CHECK(Has(fixture.Ask(head + chunk), "[POST/big:50000]"));
}

// Guards against a crash or a leaked connection for arbitrary bytes.
TEST_CASE("random and damaged requests leave the server working")
{
  HttpServerSettings settings;
  settings.headerTimeout = 20ms;
  settings.bodyTimeout = 20ms;
  Fixture fixture(settings);
  SeededRandom random(5);
  const std::string whole =
    "POST /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n";
  for (int round = 0; round < 150; ++round) {
    std::string text = whole.substr(0, 1 + random.Below(whole.size()));
    text[random.Below(text.size())] = static_cast<char>(random.Below(256));
    RawClient client(fixture.endpoint);
    client.Send(text);
    client.socket.shutdown(boost::asio::ip::tcp::socket::shutdown_send);
    client.ReadAll();
  }
  CHECK(fixture.Works());
  CHECK(fixture.served.Call([&] { return fixture.server->Counters().connections; }) <= 1);
}

// Guards against a client that waits for ever because a handler failed or forgot its response.
TEST_CASE("a handler without a response yields 500")
{
  Fixture fixture;
  CHECK(Has(fixture.Ask("GET /drop HTTP/1.1\r\nConnection: close\r\n\r\n"), "HTTP/1.1 500"));
  CHECK(Has(fixture.Ask("GET /throw HTTP/1.1\r\nConnection: close\r\n\r\n"), "HTTP/1.1 500"));
}

// Guards against a body after the header of a response to HEAD, which the client would take for the next
// response.
TEST_CASE("HEAD gets the length of the body and no body")
{
  Fixture fixture;
  const std::string text = fixture.Ask("HEAD /ok HTTP/1.1\r\nConnection: close\r\n\r\n");
  CHECK(Has(text, "Content-Length: 11"));
  CHECK_FALSE(Has(text, "[HEAD/ok:0]"));
}

// Guards against work that goes on for a client that has left.
TEST_CASE("the handler learns that its client has gone")
{
  Fixture fixture;
  {
    RawClient client(fixture.endpoint);
    client.Send("GET /later HTTP/1.1\r\n\r\n");
    fixture.arrived.get_future().wait();
  }
  CHECK(fixture.gone.get_future().wait_for(5s) == std::future_status::ready);
  CHECK(fixture.Works());
}

// Guards against more connections than the limit, and against a limit that locks clients out for good.
TEST_CASE("connections over the limit are refused with 503")
{
  HttpServerSettings settings;
  settings.maxConnections = 1;
  Fixture fixture(settings);
  {
    RawClient first(fixture.endpoint);
    first.Send("GET /a HTTP/1.1\r\n\r\n");
    first.ReadUntil("]");
    RawClient second(fixture.endpoint);
    CHECK(Has(second.ReadAll(), "HTTP/1.1 503"));
  }
  while (fixture.served.Call([&] { return fixture.server->Counters().connections; }) != 0) {
    std::this_thread::sleep_for(1ms);
  }
  CHECK(fixture.Works());
}

// Guards against a drain that cuts a request off, takes new connections or never ends.
TEST_CASE("a drain finishes requests, closes and reports idle")
{
  Fixture fixture;
  RawClient busy(fixture.endpoint);
  busy.Send("GET /later HTTP/1.1\r\n\r\n");
  fixture.arrived.get_future().wait();
  RawClient idle(fixture.endpoint);
  idle.Send("GET /a HTTP/1.1\r\n\r\n");
  idle.ReadUntil("]");
  std::promise<void> drained;
  std::future<void> done = drained.get_future();
  fixture.served.Call([&] { fixture.server->Drain(30s, [&] { drained.set_value(); }); });
  CHECK_THROWS(RawClient(fixture.endpoint));
  idle.Send("GET /b HTTP/1.1\r\n\r\n");
  const std::string last = idle.ReadAll();
  CHECK(Has(last, "[GET/b:0]"));
  CHECK(Has(last, "Connection: close"));
  idle.socket.close();
  CHECK(done.wait_for(50ms) == std::future_status::timeout);
  fixture.served.Call([&] { fixture.later(HttpResponse{}); });
  CHECK(Has(busy.ReadAll(), "Connection: close"));
  busy.socket.close();
  CHECK(done.wait_for(5s) == std::future_status::ready);
}

// Guards against a cancelled timer that still fires, and a call from within At.
TEST_CASE("timers fire in order, later and not after Cancel")
{
  boost::asio::io_context context;
  AsioTimers timers(context);
  const TimePoint now = std::chrono::steady_clock::now();
  std::string order;
  TimerId second = 0;
  timers.At(now + 2ms, [&] { order += 'c'; });
  timers.At(now, [&] {
    order += 'a';
    timers.Cancel(second);
  });
  second = timers.At(now, [&] { order += 'b'; });
  CHECK(order.empty());
  context.run();
  CHECK(order == "ac");
}
