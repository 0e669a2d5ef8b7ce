#ifndef YP_CHANGEFEED_CHANGEFEED_H
#define YP_CHANGEFEED_CHANGEFEED_H

/// \file
/// Public header of the library yp_changefeed: how what operators and leafs publish reaches all nodes. A few
/// nodes read the source and the others learn from them, once into each failure domain.

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

  /// Begins to read: a watch after the given revision, or everything when it is 0 or too far back.
  virtual void Begin(std::uint64_t aRevision) = 0;

  /// Stops; an answer under way is dropped.
  virtual void End() = 0;
};

/// Fetches changes from another node.
class IChangePeer
{
public:
  using Handler = std::function<void(std::optional<ChangeBatch>)>;

  virtual ~IChangePeer() = default;

  /// \param aHandler called once with the changes after a revision; none when the peer did not answer
  virtual void Fetch(const PeerRecord& aPeer, std::uint64_t aAfter, Handler aHandler) = 0;
};

/// Takes changes into use.
using ChangeSink = std::function<void(const ChangeBatch&)>;

/// Decides whether this node reads the source, and passes changes on. Used on one thread.
class IChangeRelay
{
public:
  virtual ~IChangeRelay() = default;

  virtual void Start() = 0;

  /// The reader brought changes, or learnt that there are none; either confirms the revision.
  virtual void OnRead(const ChangeBatch& aBatch) = 0;

  /// The reader cannot reach the source, or reaches it again.
  virtual void SetSourceReachable(bool aReachable) = 0;

  /// Another node told what it knows.
  virtual void OnPeerFeedPosition(const PeerRecord& aPeer, const FeedPosition& aPosition) = 0;

  /// \return what another node lacks
  virtual ChangeBatch Since(std::uint64_t aRevision) const = 0;

  virtual const ChangeLog& Log() const = 0;
  virtual bool Reading() const = 0;
};

/// What a relay works with. All references outlive it.
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

/// Fetches changes from other nodes over HTTP.
/// \param aContext must outlive the result
std::unique_ptr<IChangePeer>
MakeHttpChangePeer(boost::asio::io_context& aContext, const IClock& aClock);

/// \return the answer to a request of another node's IChangePeer
HttpResponse
ServeChanges(const IChangeRelay& aRelay, const HttpRequest& aRequest);

/// \return the batch in CBOR
std::string
EncodeBatch(const ChangeBatch& aBatch);

/// \return the batch; kBadInput when it is malformed
Result<ChangeBatch>
DecodeBatch(std::string_view aBytes);

} // namespace yp

#endif
