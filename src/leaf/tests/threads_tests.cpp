#include "fakeleaf.h"
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <future>
#include <thread>

using namespace yp;

TEST_CASE("attempts cross threads in batches, and handlers run on the sending thread")
{
  // Guards against data races in queries, and against a post for each of a query's parts.
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
  int elsewhere = 0;
  boost::asio::post(contexts[0], [&] {
    const auto home = std::this_thread::get_id();
    for (int i = 0; i < kLeafs; ++i) {
      LeafAttempt attempt;
      attempt.id = static_cast<std::uint64_t>(i) + 1;
      attempt.service = service;
      attempt.leaf = &service->leafs[static_cast<std::size_t>(i)];
      attempt.deadline = clock.Now() + std::chrono::seconds(5);
      attempt.queueUntil = attempt.deadline;
      pools->Transport(0).Send(std::move(attempt), [&, home](LeafReply aReply) {
        answered += aReply.status == AttemptStatus::kAnswered ? 1 : 0;
        elsewhere += std::this_thread::get_id() == home ? 0 : 1;
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
  CHECK(elsewhere == 0);
  // One post for the sends; each reply costs at most one.
  CHECK(pools->Counters().crossThreadPosts >= 2);
  CHECK(pools->Counters().crossThreadPosts <= kLeafs);
}
