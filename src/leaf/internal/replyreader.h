#ifndef YP_LEAF_INTERNAL_REPLYREADER_H
#define YP_LEAF_INTERNAL_REPLYREADER_H

#include "query/ileaftransport.h"
#include <memory>
#include <optional>

namespace yp {

/// What a leaf's reply says, as far as the transport reads it.
struct ParsedReply
{
  unsigned status = 0;
  bool keepAlive = true;
  bool badField = false; ///< a field of the leaf protocol could not be read
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

/// Reads one HTTP reply after the other from a connection's bytes.
class ReplyReader
{
public:
  enum class Progress
  {
    kNeedMore,
    kComplete,
    kMalformed ///< not HTTP, over a limit, or without a length
  };

  explicit ReplyReader(std::size_t aMaxBytes);
  ~ReplyReader();
  ReplyReader(const ReplyReader&) = delete;
  ReplyReader& operator=(const ReplyReader&) = delete;

  /// Starts the next reply.
  void Restart();

  /// Reads bytes of the current reply.
  /// \param aConsumed set to the number of bytes that were used; the others have to be given again
  Progress Feed(const char* aData, std::size_t aSize, std::size_t& aConsumed);

  /// \return the current reply; complete after kComplete
  ParsedReply& Reply();

private:
  class Parser;
  struct State;
  std::unique_ptr<State> state;
};

} // namespace yp

#endif
