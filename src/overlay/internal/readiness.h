#ifndef YP_OVERLAY_INTERNAL_READINESS_H
#define YP_OVERLAY_INTERNAL_READINESS_H

#include "overlay/internal/messages.h"
#include <map>
#include <set>

namespace yp {

/// What a starting node knows of the other hosts.
enum class OtherHosts
{
  kNone,     ///< the host list names no other live host
  kStarting, ///< every other member was heard, and none has served in its incarnation
  kUnknown   ///< some member may be ready
};

/// Decides whether a node may serve: after a start, and after each pause.
class Readiness
{
public:
  explicit Readiness(TimePoint aNow);

  /// Requires a new exchange, because the process was paused.
  void OnPause(TimePoint aNow);

  /// Number that an answer has to echo to count.
  std::uint32_t Nonce() const { return this->nonce; }

  /// Takes a peer's answer to the current nonce.
  void OnAnswer(const std::string& aHost,
                const std::string& aDomain,
                const DigestMessage& aDigest,
                TimePoint aNow);

  /// Takes a successful contact with the configuration service.
  void OnServiceContact(TicketNumber aHead, TimePoint aStarted);

  /// Decides anew.
  /// \param aHighest highest ticket number that this node has heard of
  void Evaluate(TimePoint aNow, TicketNumber aInForce, TicketNumber aHighest, OtherHosts aOthers);

  bool Ready() const { return this->ready; }

  /// \return why the node is not ready; empty when it is
  const std::string& Reason() const { return this->reason; }

private:
  std::chrono::seconds ServiceWait(TicketNumber aHighest, OtherHosts aOthers) const;
  void Wait(std::string aReason);
  void CatchUp(TicketNumber aInForce, TicketNumber aTarget);
  std::optional<TicketNumber> SupportedTarget() const;

  std::uint32_t nonce = 1;
  TimePoint since;
  bool started = false; ///< was ready before
  bool ready = false;
  std::string reason = "no answer yet";
  std::optional<TimePoint> firstAnswer;
  std::set<std::string> answerDomains;
  std::map<std::string, TicketNumber> answers; ///< number in force of each peer that answered
  TicketNumber target = 0;
  TicketNumber lastInForce = 0;
  TimePoint progressAt; ///< when the number in force last rose
  std::optional<TicketNumber> serviceHead;
};

} // namespace yp

#endif
