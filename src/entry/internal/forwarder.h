#ifndef YP_ENTRY_INTERNAL_FORWARDER_H
#define YP_ENTRY_INTERNAL_FORWARDER_H

#include "entry/entry.h"
#include <optional>

namespace yp {

inline constexpr const char* kLookupMethod = "lookup";
inline constexpr const char* kExecuteMethod = "execute";
inline constexpr const char* kOutcomeMethod = "outcome";
inline constexpr const char* kIssueIdsMethod = "issue_ids";

/// Forwards requests as calls between nodes; the calls are made on the control thread.
class Forwarder final : public IForwarder
{
public:
  Forwarder(IPeerCalls& aCalls,
            const BlackboardEntry<MemberView>& aMembers,
            const IClock& aClock,
            EntryStats& aStats,
            PostToControl aPost);

  void Lookup(const std::string& aHost,
              const LookupRequest& aRequest,
              Post aPost,
              AnswerHandler aHandler) override;
  void Execute(const Incarnation& aOwner,
               const ExecuteRequest& aRequest,
               Post aPost,
               AnswerHandler aHandler) override;
  void FindOutcome(const Incarnation& aOwner,
                   const std::string& aId,
                   TimePoint aDeadline,
                   Post aPost,
                   AnswerHandler aHandler) override;
  void IssueIds(const std::string& aHost,
                const std::string& aService,
                std::uint32_t aCount,
                TimePoint aDeadline,
                Post aPost,
                IdsHandler aHandler) override;

private:
  std::optional<Endpoint> PeerOf(const std::string& aHost) const;
  std::optional<Endpoint> PeerOf(const Incarnation& aOwner) const;
  void Call(const Endpoint& aPeer,
            const char* aMethod,
            std::string aPayload,
            TimePoint aDeadline,
            Post aPost,
            IPeerCalls::ReplyHandler aHandler);
  void CallOwner(const Incarnation& aOwner,
                 const char* aMethod,
                 std::string aPayload,
                 TimePoint aDeadline,
                 Post aPost,
                 AnswerHandler aHandler);

  IPeerCalls& calls;
  const BlackboardEntry<MemberView>& members;
  const IClock& clock;
  EntryStats& stats;
  PostToControl postToControl;
};

} // namespace yp

#endif
