#ifndef YP_LEAFHTTP_INTERNAL_LEAFHTTPPOOL_H
#define YP_LEAFHTTP_INTERNAL_LEAFHTTPPOOL_H

#include "leafhttp/internal/leafconnection.h"
#include <deque>
#include <vector>

namespace yp {

/// The connections to one leaf and the calls that wait for one. It outlives its connections.
class LeafHttpPool final : public ILeafConnectionOwner
{
public:
  LeafHttpPool(LeafHttpCore& aCore, Ref<LeafHandle> aLeaf);
  ~LeafHttpPool() override;
  LeafHttpPool(const LeafHttpPool&) = delete;
  LeafHttpPool& operator=(const LeafHttpPool&) = delete;

  /// \param aLimit connections that may be open, at least 1
  void SetLimit(std::size_t aLimit);

  void Send(PendingCall aCall);

  /// \param aDead also closes the idle connections
  void Cancel(std::uint64_t aCall, bool aDead);

  /// \return whether it has no calls, and its leaf gets no new ones
  bool Finished() const;

  const std::string& Service() const { return this->leaf->registration.service; }

  void OnIdle(LeafConnection& aConnection) override;
  void OnConnectFailed(LeafConnection& aConnection, const Error& aError) override;
  void OnClosed(LeafConnection& aConnection) override;

private:
  Ref<LeafConnection> TakeIdle(bool aFresh);
  void OpenForWaiting();
  void CloseIdle();
  std::size_t Connecting() const;
  void Drop(LeafConnection& aConnection);

  LeafHttpCore& core;
  const Ref<LeafHandle> leaf;
  std::size_t limit = 1;
  std::vector<Ref<LeafConnection>> connections; ///< the last used are at the end
  std::deque<PendingCall> waiting;
};

} // namespace yp

#endif
