#include "app/internal/lifecycle.h"
#include <catch2/catch.hpp>
#include <vector>

using namespace yp;

namespace {

struct Recorder final : ILifecycleActions
{
  void AnnounceLeaving() override { this->actions.push_back("leave"); }
  void StartDraining() override { this->actions.push_back("drain"); }
  void Stop() override { this->actions.push_back("stop"); }

  std::vector<std::string> actions;
};

using Actions = std::vector<std::string>;

} // namespace

// Guards against a planned stop that cuts off callers which still hold this node's address.
TEST_CASE("a planned stop announces, then drains, then stops")
{
  Recorder recorder;
  Lifecycle lifecycle(recorder);
  lifecycle.Started();
  CHECK_FALSE(lifecycle.Serves());
  lifecycle.BecameReady();
  CHECK(lifecycle.State() == "ready");
  lifecycle.StopRequested();
  CHECK(lifecycle.State() == "leaving");
  CHECK(lifecycle.Serves());
  lifecycle.Drained();
  lifecycle.StopRequested();
  CHECK(lifecycle.State() == "leaving");
  lifecycle.LeaveTimeOver();
  CHECK(lifecycle.State() == "draining");
  CHECK(lifecycle.Serves());
  lifecycle.Drained();
  CHECK(lifecycle.State() == "stopped");
  CHECK(recorder.actions == Actions{ "leave", "drain", "stop" });
}

// Guards against serving with knowledge from before a pause.
TEST_CASE("a node that lost its readiness does not serve until it is ready again")
{
  Recorder recorder;
  Lifecycle lifecycle(recorder);
  lifecycle.Started();
  lifecycle.BecameReady();
  lifecycle.LostReadiness();
  CHECK(lifecycle.State() == "learning");
  CHECK_FALSE(lifecycle.Serves());
  lifecycle.BecameReady();
  CHECK(lifecycle.Serves());
  CHECK(recorder.actions.empty());
}
