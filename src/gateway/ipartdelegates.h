#ifndef YP_GATEWAY_IPARTDELEGATES_H
#define YP_GATEWAY_IPARTDELEGATES_H

#include "gateway/ileafexchange.h"
#include <functional>
#include <optional>

namespace yp {

/// Some shards of a query, for a node that stands next to their leafs.
struct PartsRequest
{
  std::shared_ptr<const ForwardedRequest> message;
  std::string route; ///< name, for estimates and logs
  std::vector<std::string> shards;
  std::uint32_t attempts = 1;
  std::size_t topRecords = 0;
  std::chrono::milliseconds objective{ 0 }; ///< from now: when to answer with what is there
  std::chrono::milliseconds patience{ 0 };  ///< from now: how long the caller waits
};

/// A shard without an answer, and the leafs that were asked for it.
struct MissingPart
{
  std::string shard;
  std::vector<std::string> triedLeafs; ///< ids; those that may have run it
};

/// What became of the shards of a PartsRequest.
struct PartsReply
{
  std::vector<std::string> shards;     ///< that are in
  std::vector<std::string> signatures; ///< of their answers, in the order of shards
  std::vector<MissingPart> missing;    ///< the other shards
  std::string records;                 ///< greatest of these shards, greatest first
};

/// Lets other nodes run parts of queries. Used on one thread.
class IPartDelegates
{
public:
  struct Result
  {
    std::optional<PartsReply> reply;
    bool sent = false; ///< without a reply: whether the other node may have begun
  };
  using Handler = std::function<void(Result)>;

  virtual ~IPartDelegates() = default;

  /// Starts a request at a node of a failure domain.
  /// \param aHandler called once, never from within Send, and not after Cancel
  /// \return number for Cancel; 0 when no node of the domain can take it
  virtual std::uint64_t Send(const std::string& aDomain, const PartsRequest& aRequest, Handler aHandler) = 0;

  /// \return whether the node of a request has answered anything a short while ago, so that it is likely to
  /// be only
  ///   late
  virtual bool Responsive(std::uint64_t aNumber) const = 0;

  /// Ends a request; the other node stops work on it.
  /// \param aLate the node did not answer in time and is avoided for a while
  virtual void Cancel(std::uint64_t aNumber, bool aLate) = 0;
};

} // namespace yp

#endif
