#include "app/internal/requestthread.h"
#include <boost/asio/post.hpp>

namespace yp {

namespace {

constexpr std::chrono::milliseconds kSampleInterval{ 100 };

} // namespace

RequestThread::RequestThread(NodeContext& aNode)
  : node(aNode)
  , work(boost::asio::make_work_guard(this->context))
  , timers(this->context)
  , random(SystemSeed())
{
}

RequestThread::~RequestThread()
{
  this->Stop();
}

Result<void>
RequestThread::Open(ILeafTransport& aTransport, IForwarder& aForwarder)
{
  NodeContext& shared = this->node;
  this->engine = MakeQueryEngine(
    { *shared.queryNode, aTransport, this->timers, shared.clock, this->random, *shared.requests, [&shared] {
       return shared.tickets.Load();
     } });
  this->service = MakeRequestService({ *this->engine,
                                       *shared.requests,
                                       aForwarder,
                                       *shared.steering,
                                       this->timers,
                                       shared.clock,
                                       this->random,
                                       shared.serving,
                                       shared.entryStats,
                                       shared.tickets,
                                       shared.placement,
                                       this->Post() });
  this->api = MakeCallerApi({ *this->service,
                              *shared.steering,
                              shared.clock,
                              this->random,
                              shared.serving,
                              shared.entryStats,
                              shared.tickets });
  HttpServerSettings settings;
  settings.listen = shared.settings.caller;
  settings.reusePort = true;
  BOOST_LEAF_ASSIGN(
    this->server,
    StartHttpServer(this->context, settings, [this](HttpRequest aRequest, HttpRespond aRespond) {
      this->api->Handle(std::move(aRequest), std::move(aRespond));
    }));
  this->Sample();
  return {};
}

void
RequestThread::Start()
{
  this->thread = std::thread([this] { RunContext(this->context); });
}

void
RequestThread::Drain(std::chrono::milliseconds aIdleGrace, std::function<void()> aOnIdle)
{
  boost::asio::post(this->context, [this, aIdleGrace, onIdle = std::move(aOnIdle)] {
    this->server->Drain(aIdleGrace, onIdle);
  });
}

void
RequestThread::Stop()
{
  this->work.reset();
  this->context.stop();
  if (this->thread.joinable()) {
    this->thread.join();
  }
}

IForwarder::Post
RequestThread::Post()
{
  return [this](std::function<void()> aFunction) { boost::asio::post(this->context, std::move(aFunction)); };
}

void
RequestThread::Sample()
{
  this->inFlight.store(this->engine->InFlight(), std::memory_order_relaxed);
  this->timers.At(this->node.clock.Now() + kSampleInterval, [this] { this->Sample(); });
}

} // namespace yp
