#include "framework/network/tests/servedcontext.h"
#include "peer/internal/framecodec.h"
#include "peer/internal/linkstate.h"
#include "peer/peer.h"
#include <atomic>
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace yp;
using namespace std::chrono_literals;

namespace {

PeerSettings
FastSettings()
{
  PeerSettings settings;
  settings.listen = Endpoint{ "127.0.0.1", 0 };
  settings.connectTimeout = 300ms;
  settings.pingInterval = 50ms;
  settings.silenceTimeout = 300ms;
  return settings;
}

/// A transport with a thread of its own that records what it receives.
struct Node
{
  explicit Node(const PeerSettings& aSettings = FastSettings())
  {
    this->served.Call([&] {
      this->transport = StartPeerTransport(this->served.context, aSettings).value();
      this->transport->OnLink(
        LinkPurpose::kOverlay,
        [this](LinkId aLink, bool) {
          this->lastUp = aLink;
          ++this->ups;
        },
        [this](LinkId, const Error& aError) {
          this->lastError = aError;
          ++this->downs;
        });
      this->transport->OnFrame("test", [this](LinkId, const PeerFrame& aFrame) {
        this->received += aFrame.payload;
        ++this->frames;
      });
    });
    this->endpoint = this->transport->LocalEndpoint();
  }
  ~Node()
  {
    this->served.Call([this] { this->transport.reset(); });
  }

  LinkId Open(const Endpoint& aEndpoint)
  {
    return this->served.Call([&] { return this->transport->Open(aEndpoint, LinkPurpose::kOverlay); });
  }
  bool Send(const std::string& aPayload, const std::string& aType = "test")
  {
    return this->served.Call([&] {
      return static_cast<bool>(this->transport->Send(this->lastUp, PeerFrame{ aType, aPayload }));
    });
  }
  PeerCounters Counters()
  {
    return this->served.Call([&] { return this->transport->Counters(); });
  }

  ServedContext served;
  std::unique_ptr<IPeerTransport> transport;
  Endpoint endpoint;
  std::atomic<LinkId> lastUp{ 0 };
  std::atomic<int> ups{ 0 };
  std::atomic<int> downs{ 0 };
  std::atomic<int> frames{ 0 };
  std::string received; ///< read only after frames says so
  Error lastError;
};

template<class F>
bool
Eventually(F aCondition)
{
  const TimePoint limit = std::chrono::steady_clock::now() + 5s;
  while (std::chrono::steady_clock::now() < limit) {
    if (aCondition()) {
      return true;
    }
    std::this_thread::sleep_for(1ms);
  }
  return false;
}

/// Keeps the thread of a node from running anything.
struct Pause
{
  explicit Pause(Node& aNode)
  {
    boost::asio::post(aNode.served.context, [until = this->end.get_future().share()] { until.wait(); });
  }
  ~Pause() { this->end.set_value(); }
  std::promise<void> end;
};

/// Does the WebSocket handshake by hand, then sends one masked frame with a zero mask.
void
SendRaw(const Endpoint& aEndpoint, char aFirstByte, const std::string& aPayload)
{
  RawClient client(aEndpoint);
  client.Send("GET /overlay HTTP/1.1\r\nHost: x\r\nUpgrade: websocket\r\nConnection: Upgrade\r\n"
              "Sec-WebSocket-Version: 13\r\nSec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\n"
              "Sec-WebSocket-Protocol: yuccaspool.1\r\n\r\n");
  REQUIRE(client.ReadUntil("\r\n\r\n").find(" 101 ") != std::string::npos);
  REQUIRE(aPayload.size() < 126);
  client.Send(std::string{ aFirstByte, static_cast<char>(0x80 | aPayload.size()), 0, 0, 0, 0 } + aPayload);
  client.ReadAll();
}

} // namespace

// Guards against lost, reordered or damaged frames and against wrong counts.
TEST_CASE("frames pass both ways in order and unchanged")
{
  Node first;
  Node second;
  first.Open(second.endpoint);
  REQUIRE(Eventually([&] { return first.ups == 1 && second.ups == 1; }));
  std::string expected;
  for (int number = 0; number < 200; ++number) {
    const std::string payload = std::to_string(number) + std::string(1, '\0') + "\xff";
    expected += payload;
    REQUIRE(first.Send(payload));
  }
  REQUIRE(second.Send(std::string(1024 * 1024, 'x')));
  REQUIRE(Eventually([&] { return second.frames == 200 && first.frames == 1; }));
  CHECK(second.received == expected);
  CHECK(first.received.size() == 1024 * 1024);
  CHECK(second.Counters().framesIn == 200);
  CHECK(second.Counters().bytesIn == first.Counters().bytesOut);
  CHECK_FALSE(first.Send(std::string(2 * 1024 * 1024, 'x')));
  REQUIRE(first.Send("x", "unknown"));
  CHECK(Eventually([&] { return second.Counters().unknownFrames == 1; }));
  first.served.Call([&] { first.transport->Close(first.lastUp); });
  CHECK(Eventually([&] { return second.downs == 1; }));
  CHECK(first.downs == 0);
}

// Guards against the overlay closing links that were opened for calls, which lost the calls.
TEST_CASE("events of a link reach only the users of its purpose, on both sides")
{
  Node first;
  Node second;
  std::atomic<int> callUps{ 0 };
  std::atomic<int> callDowns{ 0 };
  const auto onUp = [&callUps](LinkId, bool) { ++callUps; };
  const auto onDown = [&callDowns](LinkId, const Error&) { ++callDowns; };
  for (Node* node : { &first, &second }) {
    node->served.Call([&] { node->transport->OnLink(LinkPurpose::kCalls, onUp, onDown); });
  }
  const LinkId calls =
    first.served.Call([&] { return first.transport->Open(second.endpoint, LinkPurpose::kCalls); });
  REQUIRE(Eventually([&] { return callUps == 2; }));
  first.Open(second.endpoint);
  REQUIRE(Eventually([&] { return first.ups == 1 && second.ups == 1; }));
  first.served.Call([&] { first.transport->Close(calls); });
  CHECK(Eventually([&] { return callDowns == 1; }));
  CHECK(callUps == 2);
  CHECK(first.ups + second.ups == 2);
  CHECK(first.downs + second.downs == 0);
}

// Guards against a paused or cut-off peer that is taken for alive, and a live, idle one that is dropped.
TEST_CASE("a silent peer is detected and an idle one is kept")
{
  Node first;
  Node second;
  first.Open(second.endpoint);
  REQUIRE(Eventually([&] { return first.ups == 1 && second.ups == 1; }));
  std::this_thread::sleep_for(700ms);
  CHECK(first.downs + second.downs == 0);
  const TimePoint begin = std::chrono::steady_clock::now();
  const Pause pause(second);
  REQUIRE(Eventually([&] { return first.downs == 1; }));
  CHECK(std::chrono::steady_clock::now() - begin < 900ms);
  CHECK(first.lastError.code == ErrorCode::kTimeout);
}

// Guards against an Open without an outcome.
TEST_CASE("links that cannot be established are reported with their reason")
{
  Node node;
  boost::asio::io_context context;
  boost::asio::ip::tcp::acceptor mute(context, { boost::asio::ip::make_address("127.0.0.1"), 0 });
  const std::uint16_t mutePort = mute.local_endpoint().port();
  node.Open(Endpoint{ "127.0.0.1", mutePort });
  REQUIRE(Eventually([&] { return node.downs == 1; }));
  CHECK(node.lastError.code == ErrorCode::kTimeout);
  mute.close();
  node.Open(Endpoint{ "127.0.0.1", mutePort });
  REQUIRE(Eventually([&] { return node.downs == 2; }));
  CHECK(node.lastError.code == ErrorCode::kUnavailable);
  node.Open(Endpoint{ "localhost", 1 });
  REQUIRE(Eventually([&] { return node.downs == 3; }));
  CHECK(node.lastError.code == ErrorCode::kBadInput);
  CHECK(node.ups == 0);
}

// Guards against memory that grows without bound for a peer that does not read.
TEST_CASE("sending to a peer that does not read ends in overload")
{
  PeerSettings settings = FastSettings();
  settings.silenceTimeout = 20s;
  Node first(settings);
  Node second(settings);
  first.Open(second.endpoint);
  REQUIRE(Eventually([&] { return first.ups == 1 && second.ups == 1; }));
  const Pause pause(second);
  int sent = 0;
  while (sent < 200 && first.Send(std::string(1000 * 1000, 'x'))) {
    ++sent;
  }
  CHECK(sent < 100);
  CHECK(first.Counters().overloads == 1);
}

// Guards against a crash or a lasting link after input that is not of the protocol.
TEST_CASE("malformed frames close their link only")
{
  Node first;
  Node second;
  first.Open(second.endpoint);
  REQUIRE(Eventually([&] { return first.ups == 1 && second.ups == 1; }));
  SendRaw(second.endpoint, '\x82', "\xff\xff garbage");
  SendRaw(second.endpoint, '\x82', EncodeCbor(Json{ { "t", "test" } }));
  SendRaw(second.endpoint, '\x82', EncodeCbor(Json{ { "t", 1 }, { "p", Json::binary({}) } }));
  SendRaw(second.endpoint, '\x81', "text");
  CHECK(second.Counters().malformedFrames == 4);
  SendRaw(second.endpoint, '\x8f', "reserved opcode");
  const std::string good = EncodeFrame(PeerFrame{ "test", "abc" });
  SeededRandom random(3);
  for (int round = 0; round < 40; ++round) {
    // Shorter than the whole frame by at least one byte, so it can never be complete.
    std::string bad = good.substr(0, random.Below(good.size() - 1));
    bad += static_cast<char>(random.Below(256));
    CHECK_FALSE(DecodeFrame(bad, 1000));
  }
  RawClient other(second.endpoint);
  other.Send("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
  CHECK(other.ReadAll().find(" 101 ") == std::string::npos);
  CHECK(Eventually([&] { return second.Counters().links == 1; }));
  CHECK(first.Send("still up"));
  CHECK(Eventually([&] { return second.frames == 1; }));
}

// Guards against an event that takes a link to a state out of order.
TEST_CASE("a link passes its states in order")
{
  LinkState state;
  CHECK(state.Phase() == LinkPhase::kConnecting);
  CHECK_FALSE(state.HandshakeDone());
  CHECK(state.Connected());
  CHECK(state.Phase() == LinkPhase::kHandshaking);
  CHECK(state.HandshakeDone());
  CHECK(state.Phase() == LinkPhase::kEstablished);
  CHECK_FALSE(state.Connected());
  CHECK(state.Close());
  CHECK(state.Phase() == LinkPhase::kClosed);
  CHECK_FALSE(state.Close());
  CHECK_FALSE(state.Connected());
}
