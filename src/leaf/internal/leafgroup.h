#ifndef YP_LEAF_INTERNAL_LEAFGROUP_H
#define YP_LEAF_INTERNAL_LEAFGROUP_H

#include "leaf/internal/connection.h"

namespace yp {

/// Number of connections that placement allows this node to open to a leaf.
struct LeafShare
{
  std::string service;
  std::string leaf;
  Endpoint peer;
  std::uint32_t connections = 0;
};

/// The connections to one leaf and the queue of attempts that wait for one.
class LeafGroup final : public TimerEntry
{
public:
  LeafGroup(LeafPool& aPool, const LeafShare& aShare);

  /// Sets a new share or address.
  void SetShare(const LeafShare& aShare);

  /// Sets the share to 0; the leaf is no longer listed.
  void DropShare();

  /// Writes an attempt to an idle connection, or queues it.
  void Start(Attempt& aAttempt);

  /// Opens and closes connections according to the share and the reconnect delays, and schedules the next
  /// adjustment.
  void Adjust();

  /// Closes all connections and ends all queued attempts.
  void CloseAll();

  void OnOpened(Connection& aConnection);
  void OnIdle(Connection& aConnection);
  void OnBusy(Connection& aConnection);
  void OnClosed(Connection& aConnection, CloseKind aKind, bool aWasConnecting);

  /// Adjusts the connections when a delay has passed.
  void OnTimer() override;

  bool adjustPending = false; ///< used by LeafPool: whether its list of groups to adjust has this one
  bool openPending = false; ///< used by LeafPool: whether its list of groups waiting to connect has this one

  bool IsFor(const std::string& aService, const std::string& aLeaf) const
  {
    return this->share.service == aService && this->share.leaf == aLeaf;
  }
  bool IsUnused() const
  {
    return this->share.connections == 0 && this->connections.empty() && this->queue.empty();
  }
  const Endpoint& Peer() const { return this->share.peer; }
  const std::string& PeerName() const { return this->peerName; }
  const std::string& RequestStart(bool aExecute) const
  {
    return aExecute ? this->executeStart : this->searchStart;
  }

private:
  std::size_t Allowed() const;
  bool IsSurplus(const Connection& aConnection) const;
  void CloseSurplus();
  void OpenUpToShare();
  void ScheduleAdjust();
  void RecordRefusal();
  void ServeQueue();
  void WriteToIdle(Attempt& aAttempt, TimePoint aNow);
  void FailQueue(NotRunReason aReason, const char* aDetail);
  void Open();

  LeafPool& pool;
  LeafShare share;
  std::string peerName;
  std::string searchStart;  ///< request line and constant header fields of search requests
  std::string executeStart; ///< request line and constant header fields of execute requests
  std::vector<ConnectionRef> connections;
  std::vector<Connection*> idle; ///< taken from the end; connections without a reply yet are at the beginning
  AttemptQueue queue;
  std::size_t connecting = 0;
  std::size_t penalisedShare = 0; ///< reduced share, applies until refusedUntil
  TimePoint refusedUntil;
  TimePoint nextConnect;
  TimePoint refusalsCountedUntil; ///< refusals before this time belong to one already counted
  Duration reopenDelay{ 0 };
  bool stopped = false;
};

} // namespace yp

#endif
