#ifndef YP_OVERLAY_INTERNAL_MESSAGES_H
#define YP_OVERLAY_INTERNAL_MESSAGES_H

#include "membership/imembertable.h"
#include "overlay/ipeernetwork.h"
#include "tickets/tickettypes.h"
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace yp {

/// First frame on a link, from both sides.
struct HelloMessage
{
  static constexpr const char* kType = "hello";
  MemberRecord record;
};

/// Announcements of members.
struct RecordsMessage
{
  static constexpr const char* kType = "records";
  std::vector<MemberRecord> records;
  bool news = true; ///< passed on where it is new; false in the answer to a comparison of tables
};

/// Reports that members cannot be reached.
struct SuspectMessage
{
  static constexpr const char* kType = "suspect";
  std::vector<Suspicion> suspicions;
};

/// A ticket's header, with the body if it is small.
struct TicketMessage
{
  static constexpr const char* kType = "ticket";
  TicketHeader header;
  bool hasBody = false; ///< the sender answers a pull
  std::optional<std::string> body;
};

/// Asks for the bodies of tickets.
struct PullMessage
{
  static constexpr const char* kType = "pull";
  std::vector<TicketNumber> numbers;
};

/// Answers a pull.
struct BodiesMessage
{
  static constexpr const char* kType = "bodies";
  std::vector<std::pair<TicketNumber, std::string>> bodies;
  std::vector<TicketNumber> absent; ///< asked for, and not kept by the sender
};

/// State of a node, sent on each link every second.
struct DigestMessage
{
  static constexpr const char* kType = "digest";
  TicketNumber inForce = 0;
  TicketNumber highest = 0;
  std::vector<TicketRange> missing;
  std::optional<std::chrono::milliseconds> freshness; ///< age of the domain's last contact with the service
  std::uint64_t membershipHash = 0;
  std::uint64_t listingVersion = 0;
  bool ready = true;
  std::uint32_t nonce = 1; ///< changes when the sender needs a new answer; 1 in a process that never paused
  std::uint32_t echo = 1;  ///< last nonce received on this link; 0 for none
};

/// Hashes of the buckets of a member table that differs.
struct BucketsMessage
{
  static constexpr const char* kType = "buckets";
  std::vector<std::uint64_t> hashes;
  bool wantReply = false; ///< the receiver sends its own hashes too
};

/// Asks for the next part of a state transfer.
struct TransferRequestMessage
{
  static constexpr const char* kType = "transfer_request";
  TicketNumber completeTo = 0; ///< transfer to go on with; 0 starts one
  TicketNumber after = 0;      ///< highest ticket number received of it
};

/// A part of a state transfer.
struct TransferChunkMessage
{
  static constexpr const char* kType = "transfer_chunk";
  TicketNumber completeTo = 0;
  TicketNumber after = 0; ///< the part starts behind this ticket number
  std::vector<std::pair<TicketNumber, std::string>> bodies;
  std::vector<TicketHeader> deferred;
  bool last = false;
};

/// Asks for what changed in the host list.
struct ListingRequestMessage
{
  static constexpr const char* kType = "listing_request";
  std::uint64_t version = 0;
};

/// Changes of the host list.
struct ListingMessage
{
  static constexpr const char* kType = "listing";
  std::uint64_t base = 0; ///< applies to this version and later ones; 0 for a whole list
  std::uint64_t version = 0;
  std::vector<ListedHost> hosts;
  std::vector<std::string> removed;
  std::vector<std::string> leavingServers;
  std::uint64_t part = 0; ///< position among the parts of these changes
  bool last = true;       ///< no part follows
};

/// The sender closes the link on purpose.
struct ByeMessage
{
  static constexpr const char* kType = "bye";
};

/// Largest payload of a frame: a body of 1 MB and its headers.
constexpr std::size_t kMaxFrameBytes = 1024 * 1024 + 64 * 1024;
/// Largest ticket body.
constexpr std::size_t kMaxBodyBytes = 1024 * 1024;

/// Encoders of all messages. A payload is a CBOR map with one-letter keys.
std::string
Encode(const HelloMessage& aMessage);
std::string
Encode(const RecordsMessage& aMessage);
std::string
Encode(const SuspectMessage& aMessage);
std::string
Encode(const TicketMessage& aMessage);
std::string
Encode(const PullMessage& aMessage);
std::string
Encode(const BodiesMessage& aMessage);
std::string
Encode(const DigestMessage& aMessage);
std::string
Encode(const BucketsMessage& aMessage);
std::string
Encode(const TransferRequestMessage& aMessage);
std::string
Encode(const TransferChunkMessage& aMessage);
std::string
Encode(const ListingRequestMessage& aMessage);
std::string
Encode(const ListingMessage& aMessage);
std::string
Encode(const ByeMessage& aMessage);

/// Decodes a payload from a peer.
/// \return the message; kBadInput when a field is absent, of another type or out of bounds
template<class T>
Result<T>
Decode(const std::string& aPayload);

} // namespace yp

#endif
