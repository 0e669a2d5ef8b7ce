#ifndef YP_PEER_INTERNAL_LINKSTATE_H
#define YP_PEER_INTERNAL_LINKSTATE_H

#include <memory>

namespace yp {

/// States of a peer link, in the order in which it passes them.
enum class LinkPhase
{
  kConnecting,
  kHandshaking,
  kEstablished,
  kClosed
};

/// State machine of one link. An event that the current state does not expect changes nothing.
class LinkState
{
public:
  LinkState();
  ~LinkState();
  LinkState(const LinkState&) = delete;
  LinkState& operator=(const LinkState&) = delete;

  /// \return whether the event was expected
  bool Connected();

  /// \return whether the event was expected
  bool HandshakeDone();

  /// \return whether the link was not closed before
  bool Close();

  LinkPhase Phase() const;

private:
  struct Machine;
  std::unique_ptr<Machine> machine;
};

} // namespace yp

#endif
