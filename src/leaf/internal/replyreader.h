#ifndef YP_LEAF_INTERNAL_REPLYREADER_H
#define YP_LEAF_INTERNAL_REPLYREADER_H

#include "query/ileaftransport.h"
#include <memory>
#include <optional>

namespace yp {

/// The parts of a leaf's reply that the transport uses.
struct ParsedReply
{
  unsigned status = 0;
  bool keepAlive = true;
  bool malformedField = false; ///< a Yp- field is malformed, or a single-valued one repeated
  std::string requestId;
  std::optional<LayoutId> layout;
  std::optional<ShardId> shard;
  std::optional<IndexVersion> indexVersion;
  std::vector<IndexVersion> versions;
  std::uint32_t busySlots = 0;
  std::uint32_t slots = 0;
  bool draining = false;
  NotRunReason notRun = NotRunReason::kNone;
  std::string body;
};

/// Parses consecutive HTTP replies from the bytes of a connection.
class ReplyReader
{
public:
  enum class Progress
  {
    kNeedMore,
    kComplete,
    kMalformed ///< not HTTP, over a size limit, or with a body of undefined length
  };

  explicit ReplyReader(std::size_t aMaxBytes);
  ~ReplyReader();
  ReplyReader(const ReplyReader&) = delete;
  ReplyReader& operator=(const ReplyReader&) = delete;

  /// Prepares to parse the next reply.
  void Restart();

  /// Parses bytes of the current reply.
  /// \param aConsumed set to the number of bytes used; the caller passes the remaining ones again
  Progress Feed(const char* aData, std::size_t aSize, std::size_t& aConsumed);

  /// \return the current reply; complete once Feed has returned kComplete
  ParsedReply& Reply();

private:
  class Parser;
  struct State;
  std::unique_ptr<State> state;
};

} // namespace yp

#endif
