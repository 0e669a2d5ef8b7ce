#include "entry/internal/answercodec.h"
#include "fleetstatus/internal/statusmessages.h"
#include "fuzztarget.h"
#include "overlay/internal/messages.h"
#include "rpc/internal/callmessages.h"

using namespace yp;

namespace {

template<class F>
void
TryDecode(F&& aDecode)
{
  Recover(
    [&]() -> Result<void> {
      BOOST_LEAF_CHECK(aDecode());
      return {};
    },
    [](const Error&) {});
}

template<class T>
void
TryOverlay(const std::string& aInput)
{
  TryDecode([&aInput] { return Decode<T>(aInput); });
}

MemberRecord
SampleRecord()
{
  MemberRecord record;
  record.host = "entry-1";
  record.failureDomain = "centrs";
  record.region = "riga";
  record.peerEndpoint = { "127.0.0.1", 7002 };
  record.callerEndpoint = { "127.0.0.1", 7001 };
  record.adminEndpoint = { "127.0.0.1", 7003 };
  record.incarnation = { std::chrono::milliseconds(5), 6, 7 };
  return record;
}

} // namespace

std::vector<std::string>
yp::FuzzSeeds()
{
  TicketMessage ticket;
  ticket.header = { 17, Hash128Hex("x"), 1, true, { { ObjectKind::kService, "kiosk" } } };
  ticket.body = "x";
  DigestMessage digest;
  RequestAnswer answer;
  answer.hits = { { "d", 1.0, "{}" } };
  return { Encode(HelloMessage{ SampleRecord() }),
           Encode(RecordsMessage{ { SampleRecord(), SampleRecord() } }),
           Encode(ticket),
           Encode(digest),
           Encode(PullMessage{ { 1, 2, 3 } }),
           Encode(CallMessage{ 1, "lookup", "payload" }),
           Encode(ReplyMessage{ 1, true, "payload" }),
           Encode(GroupQuestion{ { { "h", { "127.0.0.1", 1 } } }, std::chrono::seconds(1) }),
           EncodeAnswer(answer),
           EncodeLookup(LookupRequest{}, TimePoint()),
           EncodeExecute(ExecuteRequest{}, TimePoint()) };
}

// Guards against a crash of a node by a damaged message from a peer.
extern "C" int
LLVMFuzzerTestOneInput(const std::uint8_t* aData, std::size_t aSize)
{
  const std::string input(reinterpret_cast<const char*>(aData), aSize);
  TryOverlay<HelloMessage>(input);
  TryOverlay<RecordsMessage>(input);
  TryOverlay<SuspectMessage>(input);
  TryOverlay<TicketMessage>(input);
  TryOverlay<PullMessage>(input);
  TryOverlay<BodiesMessage>(input);
  TryOverlay<DigestMessage>(input);
  TryOverlay<BucketsMessage>(input);
  TryOverlay<TransferRequestMessage>(input);
  TryOverlay<TransferChunkMessage>(input);
  TryOverlay<ListingMessage>(input);
  TryDecode([&input] { return DecodeCall(input); });
  TryDecode([&input] { return DecodeReply(input); });
  TryDecode([&input] { return DecodeGroupQuestion(input); });
  TryDecode([&input] { return DecodeReports(input); });
  TryDecode([&input] { return DecodeAnswer(input); });
  TryDecode([&input] { return DecodeLookup(input, TimePoint()); });
  TryDecode([&input] { return DecodeExecute(input, TimePoint()); });
  TryDecode([&input] { return DecodeIdQuestion(input); });
  TryDecode([&input] { return DecodeIds(input); });
  return 0;
}
