#ifndef YP_APP_INTERNAL_REQUESTTHREAD_H
#define YP_APP_INTERNAL_REQUESTTHREAD_H

#include "app/internal/nodecontext.h"
#include "framework/network/network.h"
#include <atomic>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <thread>

namespace yp {

/// One thread of the request path: accepts callers, runs their requests, and owns a part of the leafs'
/// connections.
class RequestThread
{
public:
  explicit RequestThread(NodeContext& aNode);
  ~RequestThread();
  RequestThread(const RequestThread&) = delete;
  RequestThread& operator=(const RequestThread&) = delete;

  boost::asio::io_context& Context() { return this->context; }

  /// Builds the engine and opens the callers' port. Before Start.
  Result<void> Open(ILeafTransport& aTransport, IForwarder& aForwarder);

  /// Starts the thread.
  void Start();

  /// Stops accepting callers and lets requests in flight end.
  /// \param aOnIdle called on this thread when no caller is connected
  void Drain(std::chrono::milliseconds aIdleGrace, std::function<void()> aOnIdle);

  /// Ends the thread and waits for it.
  void Stop();

  /// Closes the callers' port and connections; lookups under way are abandoned. After Stop.
  void CloseCallers() { this->server.reset(); }

  /// \return a function that runs functions on this thread
  IForwarder::Post Post();

  IRequestService& Service() { return *this->service; }

  /// \return requests in flight, as of a tenth of a second ago at most
  std::size_t InFlight() const { return this->inFlight.load(std::memory_order_relaxed); }

private:
  void Sample();

  NodeContext& node;
  boost::asio::io_context context{ 1 };
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work;
  AsioTimers timers;
  SeededRandom random;
  std::unique_ptr<IQueryEngine> engine;
  std::unique_ptr<IRequestService> service;
  std::unique_ptr<ICallerApi> api;
  std::unique_ptr<IHttpServer> server;
  std::atomic<std::size_t> inFlight{ 0 };
  std::thread thread;
};

} // namespace yp

#endif
