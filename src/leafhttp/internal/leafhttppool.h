#ifndef YP_LEAFHTTP_INTERNAL_LEAFHTTPPOOL_H
#define YP_LEAFHTTP_INTERNAL_LEAFHTTPPOOL_H

#include "leafhttp/internal/leafconnection.h"
#include <deque>
#include <vector>

namespace yp {

/// The connections to one leaf and the queue of calls that wait for one. Outlives its connections.
class LeafHttpPool final : public ILeafConnectionOwner
{
public:
  LeafHttpPool(LeafHttpCore& aCore, Ref<LeafHandle> aLeaf);
  ~LeafHttpPool() override;
  LeafHttpPool(const LeafHttpPool&) = delete;
  LeafHttpPool& operator=(const LeafHttpPool&) = delete;

  /// \param aLimit maximum number of connections; 0 counts as 1
  void SetLimit(std::size_t aLimit);

  void Send(PendingCall aCall);

  /// Ends a call without a result and closes its connection.
  /// \param aCloseIdle whether to close the idle connections too
  void Cancel(std::uint64_t aCall, bool aCloseIdle);

  /// Ends a call that waits for a connection.
  /// \return whether the call was waiting
  bool Withdraw(std::uint64_t aCall);

  /// \return whether the pool has no calls and its leaf is withdrawn, so that no new ones follow
  bool IsRemovable() const;

  const std::string& Service() const { return this->leaf->registration.service; }

  void OnIdle(LeafConnection& aConnection) override;
  void OnConnectFailed(LeafConnection& aConnection, const Error& aError) override;
  void OnClosed(LeafConnection& aConnection) override;

private:
  /// Ends the calls that wait for a connection.
  void EndWaiting(LeafOutcome aOutcome, const Error& aError);

  /// Ends the calls that wait for a connection if the leaf accepts no requests any more, or pauses.
  void HoldBackWaiting();
  Ref<LeafConnection> TakeIdle(bool aFresh);
  void OpenForWaiting();
  void CloseIdle();
  std::size_t Connecting() const;
  void Drop(LeafConnection& aConnection);

  LeafHttpCore& core;
  const Ref<LeafHandle> leaf;
  std::size_t limit = 1;
  std::vector<Ref<LeafConnection>> connections; ///< the most recently used are at the end
  std::deque<PendingCall> waiting;
};

} // namespace yp

#endif
