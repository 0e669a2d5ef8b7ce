#include "fakeleaf.h"
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <future>
#include <thread>

using namespace yp;

TEST_CASE("attempts are posted to other threads in batches, and handlers run on the sending thread")
{
  // Guards against data races in queries, and against a separate post for each attempt of a query.
  constexpr int kLeafs = 16;
  boost::asio::io_context serverContext;
  FakeLeaf server(serverContext);
  boost::asio::io_context contexts[2];
  SystemClock clock;
  auto pools = MakeLeafPools({ &contexts[0], &contexts[1] }, clock);

  Ref<ServiceSpec> service(new ServiceSpec);
  service->name = "kiosk";
  Placement placement;
  for (int i = 0; i < kLeafs; ++i) {
    LeafSpec spec;
    spec.leaf = "kiosk-" + std::to_string(i);
    spec.endpoint = server.Address();
    spec.layout = 1;
    service->leafs.push_back(spec);
    placement.services["kiosk"].ownConnections[spec.leaf] = 1;
  }
  TicketState state;
  state.services["kiosk"] = service;
  pools->Update(state, placement);

  std::vector<std::thread> threads;
  std::vector<boost::asio::executor_work_guard<boost::asio::io_context::executor_type>> guards;
  for (auto* context : { &serverContext, &contexts[0], &contexts[1] }) {
    guards.push_back(boost::asio::make_work_guard(*context));
    threads.emplace_back([context] { context->run(); });
  }
  std::promise<void> done;
  int answered = 0;
  int onOtherThread = 0;
  boost::asio::post(contexts[0], [&] {
    const auto sendingThread = std::this_thread::get_id();
    for (int i = 0; i < kLeafs; ++i) {
      LeafAttempt attempt;
      attempt.id = static_cast<std::uint64_t>(i) + 1;
      attempt.service = service;
      attempt.leaf = &service->leafs[static_cast<std::size_t>(i)];
      attempt.deadline = clock.Now() + std::chrono::seconds(5);
      attempt.queueUntil = attempt.deadline;
      pools->Transport(0).Send(std::move(attempt), [&, sendingThread](LeafReply aReply) {
        answered += aReply.status == AttemptStatus::kAnswered ? 1 : 0;
        onOtherThread += std::this_thread::get_id() == sendingThread ? 0 : 1;
        if (answered == kLeafs) {
          done.set_value();
        }
      });
    }
  });
  CHECK(done.get_future().wait_for(std::chrono::seconds(5)) == std::future_status::ready);
  for (auto* context : { &serverContext, &contexts[0], &contexts[1] }) {
    context->stop();
  }
  for (auto& thread : threads) {
    thread.join();
  }
  CHECK(answered == kLeafs);
  CHECK(onOtherThread == 0);
  // The attempts to leafs of the other thread need one post; each of their replies needs at most one.
  CHECK(pools->Counters().crossThreadPosts >= 2);
  CHECK(pools->Counters().crossThreadPosts <= kLeafs);
}
