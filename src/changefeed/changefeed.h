#ifndef YP_CHANGEFEED_CHANGEFEED_H
#define YP_CHANGEFEED_CHANGEFEED_H

/// \file
/// Public header of the library yp_changefeed: distribution of the values that operators and leafs publish. A
/// few nodes read the source of changes. The others fetch changes from them, through one relay node per
/// failure domain.

#include "changefeed/changelog.h"
#include "changefeed/readerrank.h"
#include "framework/network/network.h"
#include "gossip/gossip.h"
#include <functional>
#include <memory>
#include <optional>

namespace yp {

/// Reads the source of changes. Used on one thread.
class IChangeReader
{
public:
  virtual ~IChangeReader() = default;

  /// Starts reading: watches for changes after a revision, or loads the complete state when the revision is 0
  /// or no longer in the source's history.
  virtual void Begin(std::uint64_t aRevision) = 0;

  /// Stops reading. The answer to a request in progress is dropped.
  virtual void End() = 0;

  /// Informs the reader that another node read the source, which was not away at that time.
  virtual void OnReadElsewhere(TimePoint aWhen) = 0;
};

/// Fetches changes from another node.
class IChangePeer
{
public:
  using Handler = std::function<void(std::optional<ChangeBatch>)>;

  virtual ~IChangePeer() = default;

  /// \param aAfter revision after which changes are fetched
  /// \param aHandler called once with the changes; with nothing when the peer did not answer
  virtual void Fetch(const PeerRecord& aPeer, std::uint64_t aAfter, Handler aHandler) = 0;
};

/// Receives new changes, to apply them on this node.
using ChangeSink = std::function<void(const ChangeBatch&)>;

/// Decides whether this node reads the source, and distributes changes to and from its peers. Used on one
/// thread.
class IChangeRelay
{
public:
  virtual ~IChangeRelay() = default;

  virtual void Start() = 0;

  /// Processes an answer of the source, with or without changes. Either confirms that the revision is
  /// current.
  virtual void OnRead(const ChangeBatch& aBatch) = 0;

  /// Sets whether the reader can reach the source. While it cannot, it continues to try: only an answer to
  /// its own call shows that the source serves this node again.
  virtual void SetSourceReachable(bool aReachable) = 0;

  /// Processes the feed position of another node and fetches the changes that this node lacks.
  virtual void OnPeerFeedPosition(const PeerRecord& aPeer, const FeedPosition& aPosition) = 0;

  /// \return the changes after a revision, for another node
  virtual ChangeBatch Since(std::uint64_t aRevision) const = 0;

  virtual const ChangeLog& Log() const = 0;
  /// \return whether this node reads the source
  virtual bool Reading() const = 0;
  /// \return time since a reader of the source last verified that this node's revision is current
  virtual Duration ConfirmedAge() const = 0;
};

/// Dependencies of a change relay. All references must outlive it.
struct ChangeRelayParts
{
  IChangeReader& reader;
  IChangePeer& peer;
  IGossipNode& gossip;
  ITimers& timers;
  const IClock& clock;
  IRandom& random;
  ChangeSink sink;
};

std::unique_ptr<IChangeRelay>
MakeChangeRelay(const ChangeRelayParts& aParts);

/// Creates a client that fetches changes from other nodes over HTTP.
/// \param aContext must outlive the result, like aClock
std::unique_ptr<IChangePeer>
MakeHttpChangePeer(boost::asio::io_context& aContext, const IClock& aClock);

/// \return the response to a request that another node's IChangePeer sent; status 400 when it is malformed
HttpResponse
ServeChanges(const IChangeRelay& aRelay, const HttpRequest& aRequest);

/// \return the batch encoded in CBOR, compressed when it is large
std::string
EncodeBatch(const ChangeBatch& aBatch);

/// \return the batch; kBadInput when it is malformed
Result<ChangeBatch>
DecodeBatch(std::string_view aBytes);

} // namespace yp

#endif
