#include "overlay/internal/messages.h"
#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace std::chrono_literals;

namespace yp {

namespace {

MemberRecord
Record()
{
  MemberRecord record;
  record.host = "a";
  record.failureDomain = "centrs";
  record.region = "riga";
  record.peerEndpoint = { "127.0.0.1", 4000 };
  record.callerEndpoint = { "127.0.0.1", 4001 };
  record.adminEndpoint = { "127.0.0.2", 4002 };
  record.incarnation = { 12345ms, 7, 8 };
  record.sequence = 9;
  record.state = MemberState::kLeaving;
  return record;
}

TicketHeader
Header()
{
  return { 17, std::string(32, 'a'), 5, true, { { ObjectKind::kService, "kiosk" } } };
}

template<class T>
std::optional<T>
TryDecode(const std::string& aPayload)
{
  return Recover(
    [&aPayload]() -> Result<std::optional<T>> {
      BOOST_LEAF_AUTO(value, Decode<T>(aPayload));
      return std::optional<T>(std::move(value));
    },
    [](const Error&) { return std::optional<T>(); });
}

/// Decodes a payload as every type.
void
DecodeAll(const std::string& aPayload)
{
  TryDecode<HelloMessage>(aPayload);
  TryDecode<RecordsMessage>(aPayload);
  TryDecode<SuspectMessage>(aPayload);
  TryDecode<TicketMessage>(aPayload);
  TryDecode<PullMessage>(aPayload);
  TryDecode<BodiesMessage>(aPayload);
  TryDecode<DigestMessage>(aPayload);
  TryDecode<BucketsMessage>(aPayload);
  TryDecode<TransferRequestMessage>(aPayload);
  TryDecode<TransferChunkMessage>(aPayload);
  TryDecode<ListingRequestMessage>(aPayload);
  TryDecode<ListingMessage>(aPayload);
  TryDecode<ByeMessage>(aPayload);
}

std::vector<std::string>
Samples()
{
  const std::string large(5000, 'x');
  return { Encode(HelloMessage{ Record() }),
           Encode(RecordsMessage{ { Record(), Record() }, true }),
           Encode(SuspectMessage{ { { "a", { 1ms, 2, 3 }, 4, "b", "imanta" } } }),
           Encode(TicketMessage{ Header(), true, large }),
           Encode(PullMessage{ { 1, 2, 3 } }),
           Encode(BodiesMessage{ { { 1, "\xff\x00z" }, { 2, large } }, { 5 } }),
           Encode(DigestMessage{ 5, 9, { { 6, 7 } }, 150ms, 11, 3, true, 2, 1 }),
           Encode(BucketsMessage{ std::vector<std::uint64_t>(IMemberTable::kBuckets, 77), true }),
           Encode(TransferRequestMessage{ 4, 3 }),
           Encode(TransferChunkMessage{ 9, 2, { { 3, large } }, { Header() }, true }),
           Encode(ListingRequestMessage{ 3 }),
           Encode(ListingMessage{
             1, 2, { { "a", "centrs", "riga", {}, {}, {}, true } }, { "b" }, { "s" }, 1, false }),
           Encode(ByeMessage{}) };
}

} // namespace

// Guards against fields that are lost or exchanged between encoder and decoder.
TEST_CASE("messages keep their fields")
{
  const auto hello = TryDecode<HelloMessage>(Encode(HelloMessage{ Record() }));
  REQUIRE(hello);
  REQUIRE(hello->record.host == "a");
  REQUIRE(hello->record.peerEndpoint == Endpoint{ "127.0.0.1", 4000 });
  REQUIRE(hello->record.callerEndpoint == Record().callerEndpoint);
  REQUIRE(hello->record.adminEndpoint == Record().adminEndpoint);
  REQUIRE(hello->record.incarnation == Record().incarnation);
  REQUIRE(hello->record.state == MemberState::kLeaving);
  const auto suspect = TryDecode<SuspectMessage>(Samples()[2]);
  REQUIRE(suspect);
  REQUIRE(suspect->suspicions.size() == 1);
  REQUIRE(suspect->suspicions[0].host == "a");
  REQUIRE(suspect->suspicions[0].incarnation == Incarnation{ 1ms, 2, 3 });
  REQUIRE(suspect->suspicions[0].sequence == 4);
  REQUIRE(suspect->suspicions[0].reporter == "b");
  REQUIRE(suspect->suspicions[0].reporterDomain == "imanta");
  const std::string body(100000, 'y');
  const auto ticket = TryDecode<TicketMessage>(Encode(TicketMessage{ Header(), true, body }));
  REQUIRE(ticket);
  REQUIRE(ticket->body == body);
  REQUIRE(ticket->header.touched == Header().touched);
  const auto digest = TryDecode<DigestMessage>(Samples()[6]);
  REQUIRE(digest);
  REQUIRE(digest->missing.size() == 1);
  REQUIRE(digest->freshness == 150ms);
  REQUIRE(digest->nonce == 2);
  REQUIRE(digest->echo == 1);
}

// Guards against bytes of a peer that end the process or take unbounded memory.
TEST_CASE("malformed payloads are refused without a crash")
{
  const std::vector<std::string> samples = Samples();
  const bool held = rc::check("changed, cut and foreign payloads", [&samples] {
    std::string payload = samples[*rc::gen::inRange<std::size_t>(0, samples.size())];
    const auto changes = *rc::gen::inRange(0, 4);
    for (int i = 0; i < changes && !payload.empty(); ++i) {
      payload[*rc::gen::inRange<std::size_t>(0, payload.size())] = *rc::gen::arbitrary<char>();
    }
    payload.resize(*rc::gen::inRange<std::size_t>(0, payload.size() + 1));
    DecodeAll(payload);
  });
  REQUIRE(held);
  for (const std::string& sample : samples) {
    DecodeAll(sample);
  }
}

} // namespace yp
