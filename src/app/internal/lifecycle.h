#ifndef YP_APP_INTERNAL_LIFECYCLE_H
#define YP_APP_INTERNAL_LIFECYCLE_H

#include <memory>
#include <string>

namespace yp {

/// What the life cycle does to the node.
class ILifecycleActions
{
public:
  virtual ~ILifecycleActions() = default;

  /// Announces that the node is leaving; callers are no longer sent here.
  virtual void AnnounceLeaving() = 0;

  /// Stops accepting callers and lets requests in flight end.
  virtual void StartDraining() = 0;

  /// Ends the process's work.
  virtual void Stop() = 0;
};

/// Life cycle of a node: Starting, Learning, Ready, Leaving, Draining, Stopped. Control thread only.
class Lifecycle
{
public:
  explicit Lifecycle(ILifecycleActions& aActions);
  ~Lifecycle();
  Lifecycle(const Lifecycle&) = delete;
  Lifecycle& operator=(const Lifecycle&) = delete;

  /// The sockets are open; the node learns the state in force.
  void Started();

  /// The node's knowledge is as new as its peers'.
  void BecameReady();

  /// The node no longer knows whether its knowledge is new, for example after a pause.
  void LostReadiness();

  /// An operator asked for a planned stop.
  void StopRequested();

  /// The time in which callers may still arrive after the leaving was announced is over.
  void LeaveTimeOver();

  /// No request is in flight, or the bound on draining has passed.
  void Drained();

  /// \return lower-case name of the state
  const std::string& State() const;

  /// \return whether callers are served in this state
  bool Serves() const;

private:
  class Machine;
  std::unique_ptr<Machine> machine;
};

} // namespace yp

#endif
