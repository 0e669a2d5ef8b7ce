#ifndef YP_RPC_INTERNAL_CALLMESSAGES_H
#define YP_RPC_INTERNAL_CALLMESSAGES_H

#include "framework/global/global.h"

namespace yp {

inline constexpr const char* kCallFrame = "call";
inline constexpr const char* kReplyFrame = "reply";

/// Request to run a method on another node.
struct CallMessage
{
  std::uint64_t id = 0; ///< unique within the calling process
  std::string method;
  std::string payload;
};

/// The reply to a call.
struct ReplyMessage
{
  std::uint64_t id = 0; ///< id of the call
  bool served = false;  ///< false if the called node has no handler for the method; nothing was run
  std::string payload;
};

std::string
Encode(const CallMessage& aMessage);

std::string
Encode(const ReplyMessage& aMessage);

Result<CallMessage>
DecodeCall(std::string_view aBytes);

Result<ReplyMessage>
DecodeReply(std::string_view aBytes);

} // namespace yp

#endif
