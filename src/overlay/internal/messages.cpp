#include "overlay/internal/messages.h"
#include <functional>
#include <limits>
#include <nlohmann/json.hpp>

namespace yp {

namespace {

constexpr std::size_t kMaxName = 256;
constexpr std::size_t kMaxElements = 100000;
// Exact in every JSON reader, and far enough from overflow for sums of ticket numbers.
constexpr std::uint64_t kMaxTicketNumber = 1ULL << 53;
// Bounds the memory that a peer's listing takes.
constexpr std::uint64_t kMaxListingParts = 64;
constexpr std::size_t kCompressFrom = 1024;
// Level 1: bodies are compressed on the control thread.
constexpr std::size_t kIncarnationBytes = 24;
constexpr std::size_t kHashBytes = 8;
// Sequences are raised by one; the bound keeps a malformed one from overflowing at the owner.
constexpr std::uint64_t kMaxSequence = std::numeric_limits<std::uint64_t>::max() / 2;
constexpr CodecLimits kFrameLimits{ kMaxFrameBytes, 16 };

Json
Binary(std::string_view aBytes)
{
  return Json::binary(std::vector<std::uint8_t>(aBytes.begin(), aBytes.end()));
}

void
AppendInteger(std::string& aBytes, std::uint64_t aValue)
{
  for (int shift = 56; shift >= 0; shift -= 8) {
    aBytes.push_back(static_cast<char>((aValue >> shift) & 0xff));
  }
}

std::uint64_t
TakeInteger(const std::string& aBytes, std::size_t aOffset)
{
  std::uint64_t value = 0;
  for (std::size_t i = 0; i < kHashBytes; ++i) {
    value = (value << 8) | static_cast<unsigned char>(aBytes[aOffset + i]);
  }
  return value;
}

/// Bytes as a binary value, or compressed as [size, binary].
Json
PackBytes(const std::string& aBytes)
{
  if (aBytes.size() <= kCompressFrom) {
    return Binary(aBytes);
  }
  const std::optional<std::string> packed = Compress(aBytes);
  return packed ? Json::array({ aBytes.size(), Binary(*packed) }) : Binary(aBytes);
}

/// Reads the fields of a map. The first field that is absent or wrong marks the reader as failed; later
/// reads return defaults.
class FieldReader
{
public:
  explicit FieldReader(const Json& aValue)
    : value(&aValue)
  {
    if (!aValue.is_object()) {
      this->Mark("a map is expected");
    }
  }

  bool Failed() const { return !this->problem.empty(); }
  const std::string& Problem() const { return this->problem; }
  void Mark(const std::string& aProblem)
  {
    if (this->problem.empty()) {
      this->problem = aProblem;
    }
  }

  const Json* Field(const char* aKey)
  {
    if (this->Failed()) {
      return nullptr;
    }
    const auto found = this->value->find(aKey);
    if (found == this->value->end()) {
      this->Mark(std::string("field ") + aKey + " is absent");
      return nullptr;
    }
    return &*found;
  }

  bool Has(const char* aKey) const { return !this->Failed() && this->value->contains(aKey); }

  std::uint64_t Number(const char* aKey, std::uint64_t aMax = std::numeric_limits<std::uint64_t>::max())
  {
    const Json* field = this->Field(aKey);
    return field == nullptr ? 0 : this->AsNumber(*field, aMax);
  }

  std::uint64_t AsNumber(const Json& aField, std::uint64_t aMax)
  {
    if (!aField.is_number_unsigned() || aField.get<std::uint64_t>() > aMax) {
      this->Mark("a number is of another type or out of range");
      return 0;
    }
    return aField.get<std::uint64_t>();
  }

  bool Flag(const char* aKey)
  {
    const Json* field = this->Field(aKey);
    if (field == nullptr || !field->is_boolean()) {
      this->Mark(std::string("field ") + aKey + " is not a boolean");
      return false;
    }
    return field->get<bool>();
  }

  std::string Text(const char* aKey)
  {
    const Json* field = this->Field(aKey);
    return field == nullptr ? "" : this->AsText(*field);
  }

  std::string AsText(const Json& aField)
  {
    if (!aField.is_string() || aField.get_ref<const std::string&>().size() > kMaxName) {
      this->Mark("a text is of another type or too long");
      return "";
    }
    return aField.get<std::string>();
  }

  std::string Bytes(const char* aKey, std::size_t aMax)
  {
    const Json* field = this->Field(aKey);
    return field == nullptr ? "" : this->AsBytes(*field, aMax);
  }

  std::string AsBytes(const Json& aField, std::size_t aMax)
  {
    if (!aField.is_binary() || aField.get_binary().size() > aMax) {
      this->Mark("bytes are of another type or too long");
      return "";
    }
    return { aField.get_binary().begin(), aField.get_binary().end() };
  }

  /// Reads what PackBytes wrote; the declared size bounds the memory taken.
  std::string AsPacked(const Json& aField, std::size_t aMax)
  {
    if (aField.is_binary()) {
      return this->AsBytes(aField, aMax);
    }
    if (!aField.is_array() || aField.size() != 2) {
      this->Mark("packed bytes are malformed");
      return "";
    }
    const std::uint64_t size = this->AsNumber(aField[0], aMax);
    const std::string packed = this->AsBytes(aField[1], kMaxFrameBytes);
    if (this->Failed()) {
      return "";
    }
    return Recover([&]() { return Decompress(packed, size); },
                   [this](const Error& aError) {
                     this->Mark(aError.detail);
                     return std::string();
                   });
  }

  template<class T>
  std::vector<T> List(const char* aKey,
                      std::size_t aMax,
                      const std::function<T(FieldReader&, const Json&)>& aElement)
  {
    std::vector<T> elements;
    const Json* field = this->Field(aKey);
    if (field == nullptr) {
      return elements;
    }
    if (!field->is_array() || field->size() > aMax) {
      this->Mark(std::string("field ") + aKey + " is not a list or too long");
      return elements;
    }
    for (const Json& element : *field) {
      elements.push_back(aElement(*this, element));
      if (this->Failed()) {
        break;
      }
    }
    return elements;
  }

private:
  const Json* value;
  std::string problem;
};

Json
ToJson(const Incarnation& aIncarnation)
{
  std::string bytes;
  AppendInteger(bytes, static_cast<std::uint64_t>(aIncarnation.started.count()));
  AppendInteger(bytes, aIncarnation.high);
  AppendInteger(bytes, aIncarnation.low);
  return Binary(bytes);
}

Incarnation
AsIncarnation(FieldReader& aReader, const Json& aField)
{
  const std::string bytes = aReader.AsBytes(aField, kIncarnationBytes);
  if (bytes.size() != kIncarnationBytes) {
    aReader.Mark("an incarnation is malformed");
    return {};
  }
  const auto started = static_cast<std::int64_t>(TakeInteger(bytes, 0));
  return { std::chrono::milliseconds(started), TakeInteger(bytes, 8), TakeInteger(bytes, 16) };
}

Endpoint
ReadEndpoint(FieldReader& aReader, const Json& aField)
{
  const std::string text = aReader.AsText(aField);
  // A node without a listener of a kind announces port 0.
  if (text.empty() || text == ":0" || aReader.Failed()) {
    return {};
  }
  return Recover([&text] { return ParseEndpoint(text); },
                 [&aReader](const Error& aError) {
                   aReader.Mark(aError.detail);
                   return Endpoint{};
                 });
}

Endpoint
ReadEndpoint(FieldReader& aReader, const char* aKey)
{
  const Json* field = aReader.Field(aKey);
  return field == nullptr ? Endpoint{} : ReadEndpoint(aReader, *field);
}

Json
ToJson(const Endpoint& aEndpoint)
{
  return aEndpoint.address.empty() ? std::string() : ToString(aEndpoint);
}

/// An endpoint of a record: its port alone when it has the address of the peer endpoint.
Json
ToJson(const Endpoint& aEndpoint, const Endpoint& aPeer)
{
  if (!aEndpoint.address.empty() && aEndpoint.address == aPeer.address) {
    return static_cast<std::uint64_t>(aEndpoint.port);
  }
  return ToJson(aEndpoint);
}

Endpoint
ReadEndpoint(FieldReader& aReader, const Json& aField, const Endpoint& aPeer)
{
  if (!aField.is_number()) {
    return ReadEndpoint(aReader, aField);
  }
  const auto port = static_cast<std::uint16_t>(
    aReader.AsNumber(aField, std::numeric_limits<decltype(Endpoint::port)>::max()));
  if (aPeer.address.empty()) {
    aReader.Mark("a port has no address");
  }
  return { aPeer.address, port };
}

/// A record is a list in the order of RecordField: records are most of the traffic, and names of fields
/// would take a fifth of it.
enum RecordField : std::size_t
{
  kRecordHost,
  kRecordDomain,
  kRecordRegion,
  kRecordPeer,
  kRecordCaller,
  kRecordAdmin,
  kRecordIncarnation,
  kRecordSequence,
  kRecordState,
  kRecordFields
};

Json
ToJson(const MemberRecord& aRecord)
{
  return Json::array({ aRecord.host,
                       aRecord.failureDomain,
                       aRecord.region,
                       ToJson(aRecord.peerEndpoint),
                       ToJson(aRecord.callerEndpoint, aRecord.peerEndpoint),
                       ToJson(aRecord.adminEndpoint, aRecord.peerEndpoint),
                       ToJson(aRecord.incarnation),
                       aRecord.sequence,
                       static_cast<std::uint64_t>(aRecord.state) });
}

MemberRecord
ReadRecord(FieldReader& aReader, const Json& aValue)
{
  MemberRecord record;
  if (!aValue.is_array() || aValue.size() != kRecordFields) {
    aReader.Mark("a record is malformed");
    return record;
  }
  record.host = aReader.AsText(aValue[kRecordHost]);
  record.failureDomain = aReader.AsText(aValue[kRecordDomain]);
  record.region = aReader.AsText(aValue[kRecordRegion]);
  record.peerEndpoint = ReadEndpoint(aReader, aValue[kRecordPeer]);
  record.callerEndpoint = ReadEndpoint(aReader, aValue[kRecordCaller], record.peerEndpoint);
  record.adminEndpoint = ReadEndpoint(aReader, aValue[kRecordAdmin], record.peerEndpoint);
  record.incarnation = AsIncarnation(aReader, aValue[kRecordIncarnation]);
  record.sequence = aReader.AsNumber(aValue[kRecordSequence], kMaxSequence);
  record.state = static_cast<MemberState>(
    aReader.AsNumber(aValue[kRecordState], static_cast<std::uint64_t>(MemberState::kGone)));
  if (record.host.empty()) {
    aReader.Mark("a host has no name");
  }
  return record;
}

Json
ToJson(const TicketHeader& aHeader)
{
  Json touched = Json::array();
  for (const ObjectKey& key : aHeader.touched) {
    touched.push_back(ToString(key));
  }
  return { { "n", aHeader.number },
           { "h", aHeader.hash },
           { "s", aHeader.size },
           { "v", aHeader.valid },
           { "o", std::move(touched) } };
}

ObjectKey
ReadObjectKey(FieldReader& aReader, const Json& aValue)
{
  const std::string text = aReader.AsText(aValue);
  return Recover([&text] { return ParseObjectKey(text); },
                 [&aReader](const Error& aError) {
                   aReader.Mark(aError.detail);
                   return ObjectKey{};
                 });
}

TicketHeader
ReadHeader(FieldReader& aOuter, const Json& aValue)
{
  FieldReader reader(aValue);
  TicketHeader header;
  header.number = reader.Number("n", kMaxTicketNumber);
  header.hash = reader.Text("h");
  header.size = reader.Number("s");
  header.valid = reader.Flag("v");
  header.touched = reader.List<ObjectKey>("o", kMaxElements, ReadObjectKey);
  if (header.number == 0) {
    reader.Mark("a ticket has number 0");
  }
  if (reader.Failed()) {
    aOuter.Mark(reader.Problem());
  }
  return header;
}

using NumberedBody = std::pair<TicketNumber, std::string>;

Json
ToJson(const std::vector<NumberedBody>& aBodies)
{
  Json list = Json::array();
  for (const NumberedBody& body : aBodies) {
    list.push_back(Json::array({ body.first, PackBytes(body.second) }));
  }
  return list;
}

NumberedBody
ReadBody(FieldReader& aReader, const Json& aValue)
{
  if (!aValue.is_array() || aValue.size() != 2) {
    aReader.Mark("a body is malformed");
    return {};
  }
  const TicketNumber number = aReader.AsNumber(aValue[0], kMaxTicketNumber);
  return { number, aReader.AsPacked(aValue[1], kMaxBodyBytes) };
}

TicketNumber
ReadNumber(FieldReader& aReader, const Json& aValue)
{
  return aReader.AsNumber(aValue, kMaxTicketNumber);
}

TicketRange
ReadRange(FieldReader& aReader, const Json& aValue)
{
  if (!aValue.is_array() || aValue.size() != 2) {
    aReader.Mark("a range is malformed");
    return {};
  }
  return { ReadNumber(aReader, aValue[0]), ReadNumber(aReader, aValue[1]) };
}

ListedHost
ReadListedHost(FieldReader& aOuter, const Json& aValue)
{
  FieldReader reader(aValue);
  ListedHost host;
  host.host = reader.Text("h");
  host.failureDomain = reader.Text("d");
  host.region = reader.Text("r");
  host.peerEndpoint = ReadEndpoint(reader, "p");
  host.callerEndpoint = ReadEndpoint(reader, "c");
  host.adminEndpoint = ReadEndpoint(reader, "a");
  host.leaving = reader.Flag("l");
  if (reader.Failed()) {
    aOuter.Mark(reader.Problem());
  }
  return host;
}

Suspicion
ReadSuspicion(FieldReader& aReader, const Json& aValue)
{
  constexpr std::size_t kFields = 5;
  Suspicion suspicion;
  if (!aValue.is_array() || aValue.size() != kFields) {
    aReader.Mark("a report is malformed");
    return suspicion;
  }
  suspicion.host = aReader.AsText(aValue[0]);
  suspicion.incarnation = AsIncarnation(aReader, aValue[1]);
  suspicion.sequence = aReader.AsNumber(aValue[2], kMaxSequence);
  suspicion.reporter = aReader.AsText(aValue[3]);
  suspicion.reporterDomain = aReader.AsText(aValue[4]);
  return suspicion;
}

std::string
ReadText(FieldReader& aReader, const Json& aValue)
{
  return aReader.AsText(aValue);
}

void
Read(FieldReader& aReader, HelloMessage& aMessage)
{
  const Json* field = aReader.Field("m");
  if (field != nullptr) {
    aMessage.record = ReadRecord(aReader, *field);
  }
}

void
Read(FieldReader& aReader, RecordsMessage& aMessage)
{
  aMessage.records = aReader.List<MemberRecord>("m", kMaxElements, ReadRecord);
  aMessage.news = aReader.Flag("n");
}

void
Read(FieldReader& aReader, SuspectMessage& aMessage)
{
  aMessage.suspicions = aReader.List<Suspicion>("s", kMaxElements, ReadSuspicion);
}

void
Read(FieldReader& aReader, TicketMessage& aMessage)
{
  const Json* field = aReader.Field("t");
  if (field != nullptr) {
    aMessage.header = ReadHeader(aReader, *field);
  }
  aMessage.hasBody = aReader.Flag("k");
  if (aReader.Has("b")) {
    aMessage.body = aReader.AsPacked(*aReader.Field("b"), kMaxBodyBytes);
  }
}

void
Read(FieldReader& aReader, PullMessage& aMessage)
{
  aMessage.numbers = aReader.List<TicketNumber>("n", kMaxElements, ReadNumber);
}

void
Read(FieldReader& aReader, BodiesMessage& aMessage)
{
  aMessage.bodies = aReader.List<NumberedBody>("b", kMaxElements, ReadBody);
  aMessage.absent = aReader.List<TicketNumber>("n", kMaxElements, ReadNumber);
}

void
Read(FieldReader& aReader, DigestMessage& aMessage)
{
  constexpr std::uint64_t kMaxAgeMs = 1000ULL * 3600 * 24 * 3650;
  constexpr std::uint64_t kMaxNonce = std::numeric_limits<std::uint32_t>::max();
  aMessage.inForce = aReader.Number("k", kMaxTicketNumber);
  aMessage.highest = aReader.Has("h") ? aReader.Number("h", kMaxTicketNumber) : aMessage.inForce;
  if (aReader.Has("m")) {
    aMessage.missing = aReader.List<TicketRange>("m", kMaxElements, ReadRange);
  }
  if (aReader.Has("f")) {
    aMessage.freshness = std::chrono::milliseconds(aReader.Number("f", kMaxAgeMs));
  }
  aMessage.membershipHash = aReader.Number("x");
  aMessage.listingVersion = aReader.Number("l");
  aMessage.ready = !aReader.Has("r") || aReader.Flag("r");
  if (aReader.Has("n")) {
    aMessage.nonce = static_cast<std::uint32_t>(aReader.Number("n", kMaxNonce));
  }
  if (aReader.Has("e")) {
    aMessage.echo = static_cast<std::uint32_t>(aReader.Number("e", kMaxNonce));
  }
}

void
Read(FieldReader& aReader, BucketsMessage& aMessage)
{
  const std::string bytes = aReader.Bytes("x", IMemberTable::kBuckets * kHashBytes);
  if (bytes.size() != IMemberTable::kBuckets * kHashBytes) {
    aReader.Mark("bucket hashes are malformed");
    return;
  }
  for (std::size_t i = 0; i < IMemberTable::kBuckets; ++i) {
    aMessage.hashes.push_back(TakeInteger(bytes, i * kHashBytes));
  }
  aMessage.wantReply = aReader.Flag("w");
}

void
Read(FieldReader& aReader, TransferRequestMessage& aMessage)
{
  aMessage.completeTo = aReader.Number("k", kMaxTicketNumber);
  aMessage.after = aReader.Number("a", kMaxTicketNumber);
}

void
Read(FieldReader& aReader, TransferChunkMessage& aMessage)
{
  aMessage.completeTo = aReader.Number("k", kMaxTicketNumber);
  aMessage.after = aReader.Number("a", kMaxTicketNumber);
  aMessage.bodies = aReader.List<NumberedBody>("b", kMaxElements, ReadBody);
  aMessage.deferred = aReader.List<TicketHeader>("d", kMaxElements, ReadHeader);
  aMessage.last = aReader.Flag("z");
}

void
Read(FieldReader& aReader, ListingRequestMessage& aMessage)
{
  aMessage.version = aReader.Number("v");
}

void
Read(FieldReader& aReader, ListingMessage& aMessage)
{
  aMessage.base = aReader.Number("b");
  aMessage.version = aReader.Number("v");
  aMessage.hosts = aReader.List<ListedHost>("h", kMaxElements, ReadListedHost);
  aMessage.removed = aReader.List<std::string>("x", kMaxElements, ReadText);
  aMessage.leavingServers = aReader.List<std::string>("s", kMaxElements, ReadText);
  aMessage.part = aReader.Number("p", kMaxListingParts);
  aMessage.last = aReader.Flag("z");
}

void
Read(FieldReader&, ByeMessage&)
{
}

} // namespace

std::string
Encode(const HelloMessage& aMessage)
{
  return EncodeCbor({ { "m", ToJson(aMessage.record) } });
}

std::string
Encode(const RecordsMessage& aMessage)
{
  Json records = Json::array();
  for (const MemberRecord& record : aMessage.records) {
    records.push_back(ToJson(record));
  }
  return EncodeCbor({ { "m", std::move(records) }, { "n", aMessage.news } });
}

std::string
Encode(const SuspectMessage& aMessage)
{
  Json suspicions = Json::array();
  for (const Suspicion& suspicion : aMessage.suspicions) {
    suspicions.push_back(Json::array({ suspicion.host,
                                       ToJson(suspicion.incarnation),
                                       suspicion.sequence,
                                       suspicion.reporter,
                                       suspicion.reporterDomain }));
  }
  return EncodeCbor({ { "s", std::move(suspicions) } });
}

std::string
Encode(const TicketMessage& aMessage)
{
  Json value = { { "t", ToJson(aMessage.header) }, { "k", aMessage.hasBody } };
  if (aMessage.body) {
    value["b"] = PackBytes(*aMessage.body);
  }
  return EncodeCbor(value);
}

std::string
Encode(const PullMessage& aMessage)
{
  Json value = Json::object();
  value["n"] = aMessage.numbers;
  return EncodeCbor(value);
}

std::string
Encode(const BodiesMessage& aMessage)
{
  Json value = Json::object();
  value["b"] = ToJson(aMessage.bodies);
  value["n"] = aMessage.absent;
  return EncodeCbor(value);
}

std::string
Encode(const DigestMessage& aMessage)
{
  // Digests are the most frequent frames; values that are usual are left out.
  const DigestMessage usual;
  Json value = { { "k", aMessage.inForce },
                 { "x", aMessage.membershipHash },
                 { "l", aMessage.listingVersion } };
  if (aMessage.highest != aMessage.inForce) {
    value["h"] = aMessage.highest;
  }
  for (const TicketRange& range : aMessage.missing) {
    value["m"].push_back(Json::array({ range.first, range.last }));
  }
  if (aMessage.freshness) {
    value["f"] = static_cast<std::uint64_t>(aMessage.freshness->count());
  }
  if (aMessage.ready != usual.ready) {
    value["r"] = aMessage.ready;
  }
  if (aMessage.nonce != usual.nonce) {
    value["n"] = aMessage.nonce;
  }
  if (aMessage.echo != usual.echo) {
    value["e"] = aMessage.echo;
  }
  return EncodeCbor(value);
}

std::string
Encode(const BucketsMessage& aMessage)
{
  std::string bytes;
  for (const std::uint64_t hash : aMessage.hashes) {
    AppendInteger(bytes, hash);
  }
  return EncodeCbor({ { "x", Binary(bytes) }, { "w", aMessage.wantReply } });
}

std::string
Encode(const TransferRequestMessage& aMessage)
{
  return EncodeCbor({ { "k", aMessage.completeTo }, { "a", aMessage.after } });
}

std::string
Encode(const TransferChunkMessage& aMessage)
{
  Json deferred = Json::array();
  for (const TicketHeader& header : aMessage.deferred) {
    deferred.push_back(ToJson(header));
  }
  return EncodeCbor({ { "k", aMessage.completeTo },
                      { "a", aMessage.after },
                      { "b", ToJson(aMessage.bodies) },
                      { "d", std::move(deferred) },
                      { "z", aMessage.last } });
}

std::string
Encode(const ListingRequestMessage& aMessage)
{
  Json value = Json::object();
  value["v"] = aMessage.version;
  return EncodeCbor(value);
}

std::string
Encode(const ListingMessage& aMessage)
{
  Json hosts = Json::array();
  for (const ListedHost& host : aMessage.hosts) {
    hosts.push_back({ { "h", host.host },
                      { "d", host.failureDomain },
                      { "r", host.region },
                      { "p", ToJson(host.peerEndpoint) },
                      { "c", ToJson(host.callerEndpoint) },
                      { "a", ToJson(host.adminEndpoint) },
                      { "l", host.leaving } });
  }
  Json value = { { "b", aMessage.base }, { "v", aMessage.version }, { "h", std::move(hosts) } };
  value["x"] = aMessage.removed;
  value["s"] = aMessage.leavingServers;
  value["p"] = aMessage.part;
  value["z"] = aMessage.last;
  return EncodeCbor(value);
}

std::string
Encode(const ByeMessage&)
{
  return EncodeCbor(Json::object());
}

template<class T>
Result<T>
Decode(const std::string& aPayload)
{
  BOOST_LEAF_AUTO(value, ParseCbor(aPayload, kFrameLimits));
  FieldReader reader(value);
  T message;
  Read(reader, message);
  if (reader.Failed()) {
    return Fail(ErrorCode::kBadInput, std::string("overlay.decode.") + T::kType, "", reader.Problem());
  }
  return message;
}

template Result<HelloMessage>
Decode(const std::string&);
template Result<RecordsMessage>
Decode(const std::string&);
template Result<SuspectMessage>
Decode(const std::string&);
template Result<TicketMessage>
Decode(const std::string&);
template Result<PullMessage>
Decode(const std::string&);
template Result<BodiesMessage>
Decode(const std::string&);
template Result<DigestMessage>
Decode(const std::string&);
template Result<BucketsMessage>
Decode(const std::string&);
template Result<TransferRequestMessage>
Decode(const std::string&);
template Result<TransferChunkMessage>
Decode(const std::string&);
template Result<ListingRequestMessage>
Decode(const std::string&);
template Result<ListingMessage>
Decode(const std::string&);
template Result<ByeMessage>
Decode(const std::string&);

} // namespace yp
