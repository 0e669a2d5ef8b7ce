#ifndef YP_LEAF_INTERNAL_LEAFGROUP_H
#define YP_LEAF_INTERNAL_LEAFGROUP_H

#include "leaf/internal/connection.h"

namespace yp {

/// A leaf's share of connections, as given by placement.
struct LeafShare
{
  std::string service;
  std::string leaf;
  Endpoint peer;
  std::uint32_t connections = 0;
};

/// The connections to one leaf and the attempts that wait for one of them.
class LeafGroup final : public TimerEntry
{
public:
  LeafGroup(LeafPool& aPool, const LeafShare& aShare);

  /// Takes over a new share or address.
  void SetShare(const LeafShare& aShare);

  /// The leaf is not listed any more.
  void DropShare();

  /// Writes an attempt to an idle connection, or lets it wait.
  void Start(Attempt& aAttempt);

  /// Opens, closes and schedules connections as the share and the delays demand.
  void Adjust();

  /// Closes all connections and ends all waiting attempts.
  void CloseAll();

  void OnOpened(Connection& aConnection);
  void OnIdle(Connection& aConnection);
  void OnBusy(Connection& aConnection);
  void OnClosed(Connection& aConnection, CloseKind aKind, bool aWasOpening);

  /// A delay has passed.
  void OnTimer() override;

  bool adjustPending = false; ///< for the pool: in its list of groups to adjust
  bool openPending = false;   ///< for the pool: in its list of groups that wait to open

  bool Is(const std::string& aService, const std::string& aLeaf) const
  {
    return this->share.service == aService && this->share.leaf == aLeaf;
  }
  bool Unused() const
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
  bool Surplus(const Connection& aConnection) const;
  void CloseSurplus();
  void OpenMissing();
  void ScheduleAdjust();
  void NoteRefusal();
  void ServeQueue();
  void WriteToIdle(Attempt& aAttempt, TimePoint aNow);
  void FailQueue(NotRunReason aReason, const char* aDetail);
  void Open();

  LeafPool& pool;
  LeafShare share;
  std::string peerName;
  std::string searchStart;  ///< start of a search request, up to the fields that differ
  std::string executeStart; ///< the same for an execute request
  std::vector<ConnectionRef> connections;
  std::vector<Connection*> idle; ///< taken from the end: most recently used first, new ones last
  AttemptQueue queue;
  std::size_t opening = 0;
  std::size_t penalisedShare = 0; ///< in force until refusedUntil
  TimePoint refusedUntil;
  TimePoint nextOpen;
  TimePoint refusalCounted; ///< refusals before it belong to one that was counted
  Duration reopenDelay{ 0 };
  bool stopped = false;
};

} // namespace yp

#endif
