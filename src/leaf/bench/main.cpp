#include "leaf/leaf.h"
#include <algorithm>
#include <atomic>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdlib>
#include <ctime>
#include <cxxopts.hpp>
#include <iostream>
#include <new>
#include <nlohmann/json.hpp>
#include <thread>

namespace {

// Allocations are counted per thread, so that those of other threads do not show.
thread_local std::uint64_t sAllocations = 0;
thread_local std::uint64_t sAllocatedBytes = 0;

} // namespace

// Inlined, the pair is reported as mismatched by GCC.
[[gnu::noinline]] void*
operator new(std::size_t aSize)
{
  ++sAllocations;
  sAllocatedBytes += aSize;
  if (void* memory = std::malloc(aSize)) {
    return memory;
  }
  throw std::bad_alloc();
}

[[gnu::noinline]] void
operator delete(void* aMemory) noexcept
{
  std::free(aMemory);
}

[[gnu::noinline]] void
operator delete(void* aMemory, std::size_t) noexcept
{
  std::free(aMemory);
}

namespace {

using namespace yp;

constexpr int kUsageError = 2;
constexpr Duration kDeadline = std::chrono::milliseconds(210);

struct BenchOptions
{
  std::size_t threads = 4;
  std::size_t leafs = 75;
  unsigned firstPort = 0;
  std::uint32_t connections = 8;
  double queriesPerSecond = 660; ///< of all threads
  std::chrono::milliseconds duration{ 3000 };
  std::chrono::microseconds leafTime{ 0 }; ///< of the stand-in's own, subtracted from latencies
};

/// What one thread has measured.
struct ThreadResult
{
  std::uint64_t replies = 0;
  std::uint64_t answered = 0;
  std::vector<std::int64_t> latencyUs;
  std::uint64_t allocations = 0;
  std::uint64_t allocatedBytes = 0;
  double cpuSeconds = 0;
  double maxLagMs = 0;
};

double
ThreadCpuSeconds()
{
  timespec time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) * 1e-9;
}

/// Sends one query a tick to all leafs, at a fixed rate.
class Driver
{
public:
  Driver(boost::asio::io_context& aContext,
         ILeafTransport& aTransport,
         Ref<const ServiceSpec> aService,
         const BenchOptions& aOptions,
         std::size_t aIndex)
    : timer(aContext)
    , transport(aTransport)
    , service(std::move(aService))
    , options(aOptions)
    , nextId((static_cast<std::uint64_t>(aIndex) << 48) + 1)
  {
    const double perThread = aOptions.queriesPerSecond / static_cast<double>(aOptions.threads);
    this->interval = Duration(static_cast<std::int64_t>(1e9 / perThread));
    this->result.latencyUs.reserve(4'000'000);
  }

  /// Starts to measure; on the driver's thread.
  void Start()
  {
    this->allocationsBefore = sAllocations;
    this->bytesBefore = sAllocatedBytes;
    this->cpuBefore = ThreadCpuSeconds();
    this->next = std::chrono::steady_clock::now();
    this->end = this->next + this->options.duration;
    this->Tick();
  }

  ThreadResult result;
  std::atomic<bool> done{ false };

private:
  void Tick()
  {
    const TimePoint now = std::chrono::steady_clock::now();
    const double lag = std::chrono::duration<double, std::milli>(now - this->next).count();
    this->result.maxLagMs = std::max(this->result.maxLagMs, lag);
    if (now >= this->end) {
      this->Finish();
      return;
    }
    while (this->next <= now) {
      this->SendQuery(now);
      this->next += this->interval;
    }
    this->timer.expires_at(this->next);
    this->timer.async_wait([this](const boost::system::error_code&) { this->Tick(); });
  }

  void SendQuery(TimePoint aNow)
  {
    for (const auto& spec : this->service->leafs) {
      LeafAttempt attempt;
      attempt.id = this->nextId++;
      attempt.service = this->service;
      attempt.leaf = &spec;
      attempt.body = R"({"query":{"terms":["za312"]},"limit":3})";
      attempt.deadline = aNow + kDeadline;
      attempt.queueUntil = attempt.deadline;
      this->transport.Send(std::move(attempt),
                           [this, aNow](LeafReply aReply) { this->OnReply(aReply, aNow); });
    }
  }

  void OnReply(const LeafReply& aReply, TimePoint aSent)
  {
    ++this->result.replies;
    if (aReply.status != AttemptStatus::kAnswered) {
      return;
    }
    ++this->result.answered;
    const auto latency = std::chrono::steady_clock::now() - aSent;
    this->result.latencyUs.push_back(std::chrono::duration_cast<std::chrono::microseconds>(latency).count());
  }

  void Finish()
  {
    this->result.allocations = sAllocations - this->allocationsBefore;
    this->result.allocatedBytes = sAllocatedBytes - this->bytesBefore;
    this->result.cpuSeconds = ThreadCpuSeconds() - this->cpuBefore;
    this->done = true;
  }

  boost::asio::steady_timer timer;
  ILeafTransport& transport;
  Ref<const ServiceSpec> service;
  const BenchOptions options;
  std::uint64_t nextId;
  Duration interval{ 0 };
  TimePoint next;
  TimePoint end;
  std::uint64_t allocationsBefore = 0;
  std::uint64_t bytesBefore = 0;
  double cpuBefore = 0;
};

Ref<const ServiceSpec>
MakeService(const BenchOptions& aOptions)
{
  Ref<ServiceSpec> service(new ServiceSpec);
  service->name = "kiosk";
  for (std::size_t i = 0; i < aOptions.leafs; ++i) {
    LeafSpec spec;
    spec.leaf = "leaf-" + std::to_string(i);
    spec.endpoint = { "127.0.0.1", static_cast<std::uint16_t>(aOptions.firstPort + i) };
    spec.layout = 1;
    spec.shard = static_cast<ShardId>(i);
    service->leafs.push_back(spec);
  }
  return service;
}

void
UpdatePools(ILeafPools& aPools, const Ref<const ServiceSpec>& aService, std::uint32_t aConnections)
{
  TicketState state;
  state.services[aService->name] = aService;
  Placement placement;
  for (const auto& spec : aService->leafs) {
    placement.services[aService->name].ownConnections[spec.leaf] = aConnections;
  }
  aPools.Update(state, placement);
}

std::int64_t
Quantile(const std::vector<std::int64_t>& aSorted, double aQuantile)
{
  return aSorted.empty()
           ? 0
           : aSorted[static_cast<std::size_t>(aQuantile * static_cast<double>(aSorted.size() - 1))];
}

Json
MakeReport(const BenchOptions& aOptions,
           const std::vector<std::unique_ptr<Driver>>& aDrivers,
           const LeafPoolCounters& aCounters)
{
  ThreadResult sum;
  for (const auto& driver : aDrivers) {
    const ThreadResult& part = driver->result;
    sum.replies += part.replies;
    sum.answered += part.answered;
    sum.allocations += part.allocations;
    sum.allocatedBytes += part.allocatedBytes;
    sum.cpuSeconds += part.cpuSeconds;
    sum.maxLagMs = std::max(sum.maxLagMs, part.maxLagMs);
    sum.latencyUs.insert(sum.latencyUs.end(), part.latencyUs.begin(), part.latencyUs.end());
  }
  std::sort(sum.latencyUs.begin(), sum.latencyUs.end());
  const auto requests = static_cast<double>(std::max<std::uint64_t>(1, sum.replies));
  const double seconds = std::chrono::duration<double>(aOptions.duration).count();
  return { { "threads", aOptions.threads },
           { "leafs", aOptions.leafs },
           { "offered_per_s", aOptions.queriesPerSecond * static_cast<double>(aOptions.leafs) },
           { "answered_per_s", static_cast<double>(sum.answered) / seconds },
           { "answered_share", static_cast<double>(sum.answered) / requests },
           { "requests_per_cpu_second", requests / sum.cpuSeconds },
           { "cpu_cores_used", sum.cpuSeconds / seconds },
           { "added_latency_p50_us", Quantile(sum.latencyUs, 0.5) - aOptions.leafTime.count() },
           { "added_latency_p99_us", Quantile(sum.latencyUs, 0.99) - aOptions.leafTime.count() },
           { "allocations_per_request", static_cast<double>(sum.allocations) / requests },
           { "allocated_bytes_per_request", static_cast<double>(sum.allocatedBytes) / requests },
           { "max_driver_lag_ms", sum.maxLagMs },
           { "crossings_per_request", static_cast<double>(aCounters.crossThreadPosts) / requests },
           { "not_run", aCounters.notRun },
           { "unknown", aCounters.unknown } };
}

void
RunBench(const BenchOptions& aOptions)
{
  using Context = boost::asio::io_context;
  std::vector<std::unique_ptr<Context>> contexts;
  std::vector<Context*> pointers;
  std::vector<boost::asio::executor_work_guard<Context::executor_type>> guards;
  for (std::size_t i = 0; i < aOptions.threads; ++i) {
    contexts.push_back(std::make_unique<Context>(1));
    pointers.push_back(contexts.back().get());
    guards.push_back(boost::asio::make_work_guard(*contexts.back()));
  }
  const SystemClock clock;
  const auto pools = MakeLeafPools(pointers, clock);
  const auto service = MakeService(aOptions);
  UpdatePools(*pools, service, aOptions.connections);
  std::vector<std::unique_ptr<Driver>> drivers;
  std::vector<std::thread> threads;
  for (std::size_t i = 0; i < aOptions.threads; ++i) {
    drivers.push_back(std::make_unique<Driver>(*pointers[i], pools->Transport(i), service, aOptions, i));
    threads.emplace_back([context = pointers[i]] { context->run(); });
  }
  // Connections open first, so that only requests are measured.
  std::this_thread::sleep_for(std::chrono::milliseconds(500));
  for (std::size_t i = 0; i < aOptions.threads; ++i) {
    boost::asio::post(*pointers[i], [driver = drivers[i].get()] { driver->Start(); });
  }
  std::this_thread::sleep_for(aOptions.duration + kDeadline + std::chrono::milliseconds(200));
  const LeafPoolCounters counters = pools->Counters();
  for (const auto& context : contexts) {
    context->stop();
  }
  for (auto& thread : threads) {
    thread.join();
  }
  std::cout << MakeReport(aOptions, drivers, counters).dump(1) << "\n";
}

} // namespace

int
main(int aCount, char** aArguments)
{
  cxxopts::Options options("leaf_bench", "Drives the leaf transport against stand-in leafs on 127.0.0.1");
  options.add_options()(
    "first-port", "port of leaf-0; the others follow", cxxopts::value<unsigned>()->default_value("29500"))(
    "threads", "request threads", cxxopts::value<std::size_t>()->default_value("4"))(
    "leafs", "leafs a query", cxxopts::value<std::size_t>()->default_value("75"))(
    "connections", "connections a leaf", cxxopts::value<std::uint32_t>()->default_value("8"))(
    "rate", "queries a second, of all threads", cxxopts::value<double>()->default_value("660"))(
    "duration-ms", "time to measure", cxxopts::value<unsigned>()->default_value("3000"))(
    "leaf-us",
    "the leaf's own time, subtracted from latencies",
    cxxopts::value<unsigned>()->default_value("0"))("h,help", "print this help");
  try {
    const auto arguments = options.parse(aCount, aArguments);
    if (arguments.count("help") != 0) {
      std::cout << options.help() << "\n";
      return 0;
    }
    BenchOptions bench;
    bench.threads = std::max<std::size_t>(1, arguments["threads"].as<std::size_t>());
    bench.leafs = arguments["leafs"].as<std::size_t>();
    bench.firstPort = arguments["first-port"].as<unsigned>();
    bench.connections = arguments["connections"].as<std::uint32_t>();
    bench.queriesPerSecond = std::max(1.0, arguments["rate"].as<double>());
    bench.duration = std::chrono::milliseconds(arguments["duration-ms"].as<unsigned>());
    bench.leafTime = std::chrono::microseconds(arguments["leaf-us"].as<unsigned>());
    RunBench(bench);
    return 0;
  } catch (const cxxopts::exceptions::exception& error) {
    std::cerr << "leaf_bench: " << error.what() << "\n";
    return kUsageError;
  }
}
