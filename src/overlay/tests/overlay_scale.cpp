#include "overlay/tests/fakeworld.h"
#include <algorithm>
#include <cxxopts.hpp>
#include <fstream>
#include <iostream>
#include <malloc.h>
#include <numeric>
#include <unistd.h>

namespace {

using namespace yp;

// CBOR envelope (keys, type, length) and WebSocket header of a frame; TCP and IP headers are not counted.
constexpr double kFrameOverheadBytes = 20;

struct Settings
{
  std::vector<std::size_t> nodes;
  std::size_t regions = 0;
  std::size_t domains = 0;
  int seconds = 0;
  int warmup = 0;
  double changes = 0;
  double restarts = 0;
  std::size_t bodyBytes = 0;
  int lossSeconds = 0;
  std::uint64_t seed = 0;
};

struct Totals
{
  double framesIn = 0;
  double bytesIn = 0;
  double framesOut = 0;
  double bytesOut = 0;
  std::map<std::string, double> bytesOutByType;

  void Add(const OverlayStatus& aStatus)
  {
    for (const auto& type : aStatus.frames) {
      this->framesIn += static_cast<double>(type.second.framesIn);
      this->bytesIn += static_cast<double>(type.second.bytesIn);
      this->framesOut += static_cast<double>(type.second.framesOut);
      this->bytesOut += static_cast<double>(type.second.bytesOut);
      this->bytesOutByType[type.first] += static_cast<double>(type.second.bytesOut);
    }
  }
};

/// Traffic of a world, including that of processes which have ended.
class Meter
{
public:
  explicit Meter(FakeWorld& aWorld)
    : world(aWorld)
  {
  }

  /// To be called before a process ends, because its counters end with it.
  void Keep(std::size_t aNode) { this->ended.Add(this->world.Overlay(aNode).Status()); }

  Totals Now()
  {
    Totals totals = this->ended;
    for (std::size_t i = 0; i < this->world.Size(); ++i) {
      if (this->world.Running(i)) {
        totals.Add(this->world.Overlay(i).Status());
      }
    }
    return totals;
  }

private:
  FakeWorld& world;
  Totals ended;
};

double
CpuSeconds(const FakeWorld& aWorld)
{
  double seconds = 0;
  for (std::size_t i = 0; i < aWorld.Size(); ++i) {
    seconds += aWorld.CpuSeconds(i);
  }
  return seconds;
}

double
Quantile(const std::vector<double>& aSorted, double aShare)
{
  return aSorted.empty()
           ? 0
           : aSorted[static_cast<std::size_t>(aShare * static_cast<double>(aSorted.size() - 1))];
}

/// \return calls of the configuration service by the fleet, by whole second since a time
std::vector<std::size_t>
CallsBySecond(const FakeWorld& aWorld, TimePoint aFrom, std::size_t aSeconds)
{
  std::vector<std::size_t> counts(aSeconds, 0);
  for (const auto& node : aWorld.ServiceCalls()) {
    for (const TimePoint call : node.second) {
      const auto second = std::chrono::duration_cast<std::chrono::seconds>(call - aFrom).count();
      if (call >= aFrom && second < static_cast<std::int64_t>(aSeconds)) {
        ++counts[static_cast<std::size_t>(second)];
      }
    }
  }
  return counts;
}

nlohmann::json
Rates(const Totals& aBefore, const Totals& aAfter, double aNodeSeconds)
{
  nlohmann::json byType;
  for (const auto& type : aAfter.bytesOutByType) {
    const auto earlier = aBefore.bytesOutByType.find(type.first);
    const double before = earlier == aBefore.bytesOutByType.end() ? 0 : earlier->second;
    byType[type.first] = (type.second - before) / aNodeSeconds;
  }
  const double framesIn = (aAfter.framesIn - aBefore.framesIn) / aNodeSeconds;
  const double framesOut = (aAfter.framesOut - aBefore.framesOut) / aNodeSeconds;
  const double bytesIn = (aAfter.bytesIn - aBefore.bytesIn) / aNodeSeconds;
  const double bytesOut = (aAfter.bytesOut - aBefore.bytesOut) / aNodeSeconds;
  return { { "frames_in", framesIn },
           { "frames_out", framesOut },
           { "payload_bytes_in", bytesIn },
           { "payload_bytes_out", bytesOut },
           { "bytes_in_and_out_with_frame_overhead",
             bytesIn + bytesOut + kFrameOverheadBytes * (framesIn + framesOut) },
           { "payload_bytes_out_by_type", byType } };
}

/// Kills a region and follows the traffic of the survivors.
nlohmann::json
LoseRegion(FakeWorld& aWorld, Meter& aMeter, const std::string& aRegion, int aSeconds)
{
  std::size_t lost = 0;
  for (std::size_t i = 0; i < aWorld.Size(); ++i) {
    if (aWorld.Host(i).region == aRegion) {
      aMeter.Keep(i);
      aWorld.Kill(i);
      ++lost;
    }
  }
  const double survivors = static_cast<double>(aWorld.Size() - lost);
  const Totals before = aMeter.Now();
  Totals previous = before;
  double peak = 0;
  // Share of the pairs of survivor and lost member in which the survivor knows of the loss.
  nlohmann::json known;
  for (int second = 1; second <= aSeconds; ++second) {
    aWorld.RunFor(std::chrono::seconds(1));
    const Totals now = aMeter.Now();
    peak = std::max(peak, (now.bytesOut - previous.bytesOut) / survivors);
    previous = now;
    constexpr int kLookInterval = 10;
    if (second % kLookInterval != 0) {
      continue;
    }
    double seen = 0;
    for (std::size_t i = 0; i < aWorld.Size(); ++i) {
      if (!aWorld.Running(i)) {
        continue;
      }
      for (const MemberStatus& status : aWorld.Members(i).View()->members) {
        seen += status.unreachable && status.record.region == aRegion ? 1 : 0;
      }
    }
    known.push_back(seen / (survivors * static_cast<double>(lost)));
  }
  return { { "lost", lost },
           { "seconds", aSeconds },
           { "share_known_every_10_seconds", known },
           { "largest_payload_bytes_out_per_node_in_a_second", peak },
           { "per_node_second", Rates(before, previous, survivors * aSeconds) } };
}

nlohmann::json
Run(std::size_t aNodes, const Settings& aSettings)
{
  const auto realStart = std::chrono::steady_clock::now();
  FakeWorld world(aSettings.seed, { 0, 0, 0 });
  for (std::size_t i = 0; i < aNodes; ++i) {
    const std::size_t domain = i % aSettings.domains;
    world.AddHost("r" + std::to_string(domain % aSettings.regions), "d" + std::to_string(domain));
  }
  world.MeasureCpu();
  world.Publish();
  Meter meter(world);
  const TimePoint start = world.Clock().Now();
  world.StartAll();
  const bool allReady =
    world.RunUntil(std::chrono::seconds(aSettings.warmup), [&world] { return world.AllReady(); });
  const double readySeconds = std::chrono::duration<double>(world.Clock().Now() - start).count();
  world.RunFor(start + std::chrono::seconds(aSettings.warmup) - world.Clock().Now());
  const Totals before = meter.Now();
  const double cpuStart = CpuSeconds(world);
  const std::size_t samplesBefore = world.InForceSeconds().size();
  const TimePoint measured = world.Clock().Now();
  std::size_t published = 0;
  std::size_t restarted = 0;
  double changeDebt = 0;
  double restartDebt = 0;
  for (int step = 0; step < aSettings.seconds * 10; ++step) {
    changeDebt += aSettings.changes / 10;
    restartDebt += aSettings.restarts / 10;
    if (changeDebt >= 1 && step < (aSettings.seconds - 5) * 10) {
      changeDebt -= 1;
      ++published;
      world.Publish(aSettings.bodyBytes);
    }
    if (restartDebt >= 1) {
      restartDebt -= 1;
      ++restarted;
      const std::size_t node = world.Random().Below(world.Size());
      meter.Keep(node);
      world.Kill(node);
      world.Start(node);
    }
    world.RunFor(std::chrono::milliseconds(100));
  }
  const Totals after = meter.Now();
  const double nodeSeconds = static_cast<double>(world.Size()) * aSettings.seconds;
  const double cpu = CpuSeconds(world) - cpuStart;
  const bool converged = world.Converged();
  std::vector<double> times(world.InForceSeconds().begin() + static_cast<std::ptrdiff_t>(samplesBefore),
                            world.InForceSeconds().end());
  std::sort(times.begin(), times.end());
  const auto startCalls = CallsBySecond(world, start, static_cast<std::size_t>(aSettings.warmup));
  const auto steadyCalls = CallsBySecond(world, measured, static_cast<std::size_t>(aSettings.seconds));
  const double steadyTotal =
    static_cast<double>(std::accumulate(steadyCalls.begin(), steadyCalls.end(), std::size_t{ 0 }));
  nlohmann::json report = {
    { "nodes", world.Size() },
    { "ready_after_warmup", allReady },
    { "ready_after_seconds", readySeconds },
    { "converged", converged },
    { "tickets", published },
    { "restarts", restarted },
    { "per_node_second", Rates(before, after, nodeSeconds) },
    { "cpu_percent_of_a_core_per_node", 100 * cpu / nodeSeconds },
    { "start",
      { { "payload_bytes_out_per_node", before.bytesOut / static_cast<double>(world.Size()) },
        { "frames_out_per_node", before.framesOut / static_cast<double>(world.Size()) },
        { "cpu_seconds_per_node", cpuStart / static_cast<double>(world.Size()) } } },
    { "publish_to_in_force_seconds",
      { { "samples", times.size() },
        { "p50", Quantile(times, 0.5) },
        { "p99", Quantile(times, 0.99) },
        { "max", Quantile(times, 1.0) } } },
    { "service_calls_per_second",
      { { "largest_at_start", *std::max_element(startCalls.begin(), startCalls.end()) },
        { "steady_mean", steadyTotal / aSettings.seconds } } }
  };
  if (aSettings.lossSeconds > 0) {
    report["region_lost"] = LoseRegion(world, meter, "r0", aSettings.lossSeconds);
  }
  report["broken_invariants"] = BrokenInvariants();
  const std::chrono::duration<double> real = std::chrono::steady_clock::now() - realStart;
  report["real_seconds"] = real.count();
  return report;
}

double
ResidentBytes()
{
  malloc_trim(0);
  std::ifstream file("/proc/self/statm");
  double size = 0;
  double resident = 0;
  file >> size >> resident;
  return resident * static_cast<double>(sysconf(_SC_PAGESIZE));
}

/// A ticket that sets a service of three replicas of each shard.
std::string
ServiceTicket(TicketNumber aNumber, std::size_t aLeafs)
{
  constexpr std::size_t kReplicas = 3;
  nlohmann::json shards = nlohmann::json::array();
  nlohmann::json leafs = nlohmann::json::array();
  for (std::size_t i = 0; i < aLeafs; ++i) {
    const std::size_t shard = i / kReplicas;
    if (i % kReplicas == 0) {
      shards.push_back({ { "shard", shard }, { "weight", 1000 } });
    }
    leafs.push_back({ { "leaf", "leaf" + std::to_string(i) },
                      { "server", "server" + std::to_string(aNumber) + "-" + std::to_string(i / 2) },
                      { "address", "10.20.30." + std::to_string(i % 250) },
                      { "port", 9000 + i },
                      { "failure_domain", "d" + std::to_string(i % 13) },
                      { "layout", 1 },
                      { "shard", shard } });
  }
  const nlohmann::json state = { { "slots", 2 },
                                 { "connections", 25 },
                                 { "connect_ms", 6 },
                                 { "load_weight", 1.0 },
                                 { "layouts", { { { "layout", 1 }, { "shards", shards } } } },
                                 { "leafs", leafs } };
  const nlohmann::json object = { { "kind", "service" },
                                  { "name", "service" + std::to_string(aNumber) },
                                  { "state", state } };
  const nlohmann::json ticket = { { "ticket", aNumber }, { "objects", { object } } };
  return ticket.dump();
}

/// Memory of the state of one node: its member tables for some sizes, and a store of all services.
nlohmann::json
MeasureMemory(const std::vector<std::size_t>& aSizes)
{
  constexpr std::size_t kServices = 324;
  constexpr std::size_t kLeafs = 225;
  ManualClock clock;
  SeededRandom random(1);
  std::vector<std::unique_ptr<IMemberTable>> tables;
  nlohmann::json members = nlohmann::json::array();
  for (const std::size_t size : aSizes) {
    const double before = ResidentBytes();
    for (std::size_t i = 0; i < size; ++i) {
      MemberRecord record;
      record.host = "entry-host-" + std::to_string(i);
      record.failureDomain = "d" + std::to_string(i % 13);
      record.region = "r" + std::to_string(i % 13 % 4);
      record.peerEndpoint = { "10.20." + std::to_string(i / 250) + "." + std::to_string(i % 250), 7000 };
      record.callerEndpoint = { record.peerEndpoint.address, 7001 };
      record.adminEndpoint = { record.peerEndpoint.address, 7002 };
      record.incarnation = MakeIncarnation(clock, random);
      record.sequence = 2;
      record.state = MemberState::kReady;
      if (i == 0) {
        tables.push_back(MakeMemberTable(record, clock));
      } else {
        tables.back()->ApplyRecord(record);
      }
    }
    tables.back()->View();
    members.push_back({ { "members", size }, { "table_and_view_bytes", ResidentBytes() - before } });
  }
  const double before = ResidentBytes();
  const auto store = MakeTicketStore(clock);
  for (TicketNumber number = 1; number <= kServices; ++number) {
    store->Add(number, ServiceTicket(number, kLeafs), "measurement");
  }
  return { { "member_tables", members },
           { "ticket_store",
             { { "services", kServices },
               { "leafs_per_service", kLeafs },
               { "in_force", store->InForce() },
               { "services_in_state", store->State()->services.size() },
               { "bytes", ResidentBytes() - before } } } };
}

} // namespace

/// Runs many engines in one process in virtual time and writes what they cost as JSON.
int
main(int aCount, char** aArguments)
{
  cxxopts::Options options("overlay_scale", "Cost of the overlay per node, in virtual time");
  options.add_options()("nodes",
                        "engines; one run for each number of a list",
                        cxxopts::value<std::vector<std::size_t>>()->default_value("50"))(
    "regions", "regions", cxxopts::value<std::size_t>()->default_value("4"))(
    "domains", "failure domains in all", cxxopts::value<std::size_t>()->default_value("13"))(
    "seconds", "virtual seconds measured", cxxopts::value<int>()->default_value("60"))(
    "warmup", "virtual seconds before", cxxopts::value<int>()->default_value("30"))(
    "changes", "tickets per virtual second", cxxopts::value<double>()->default_value("0.243"))(
    "restarts", "process restarts per virtual second", cxxopts::value<double>()->default_value("0.335"))(
    "body-bytes", "size of a ticket", cxxopts::value<std::size_t>()->default_value("1500"))(
    "lose-region",
    "virtual seconds followed after the loss of a region; 0 for no loss",
    cxxopts::value<int>()->default_value("0"))(
    "memory", "sizes of member tables whose memory is measured", cxxopts::value<std::vector<std::size_t>>())(
    "seed", "seed", cxxopts::value<std::uint64_t>()->default_value("1"))(
    "out", "file for the result; standard output if absent", cxxopts::value<std::string>())(
    "help", "print this text");
  const auto parsed = options.parse(aCount, aArguments);
  if (parsed.count("help") != 0) {
    std::cout << options.help();
    return 0;
  }
  ConfigureLog("overlay_scale", "error");
  Settings settings;
  settings.nodes = parsed["nodes"].as<std::vector<std::size_t>>();
  settings.regions = parsed["regions"].as<std::size_t>();
  settings.domains = parsed["domains"].as<std::size_t>();
  settings.seconds = parsed["seconds"].as<int>();
  settings.warmup = parsed["warmup"].as<int>();
  settings.changes = parsed["changes"].as<double>();
  settings.restarts = parsed["restarts"].as<double>();
  settings.bodyBytes = parsed["body-bytes"].as<std::size_t>();
  settings.lossSeconds = parsed["lose-region"].as<int>();
  settings.seed = parsed["seed"].as<std::uint64_t>();
  nlohmann::json report = { { "program", "overlay_scale" },
                            { "options",
                              { { "nodes", settings.nodes },
                                { "regions", settings.regions },
                                { "domains", settings.domains },
                                { "seconds", settings.seconds },
                                { "warmup", settings.warmup },
                                { "changes", settings.changes },
                                { "restarts", settings.restarts },
                                { "body_bytes", settings.bodyBytes },
                                { "lose_region", settings.lossSeconds },
                                { "seed", settings.seed } } },
                            { "frame_overhead_bytes", kFrameOverheadBytes } };
  // Measured first, before the simulations leave memory behind.
  if (parsed.count("memory") != 0) {
    const auto sizes = parsed["memory"].as<std::vector<std::size_t>>();
    report["options"]["memory"] = sizes;
    report["memory"] = MeasureMemory(sizes);
  }
  report["runs"] = nlohmann::json::array();
  for (const std::size_t nodes : settings.nodes) {
    report["runs"].push_back(Run(nodes, settings));
  }
  if (parsed.count("out") != 0) {
    std::ofstream(parsed["out"].as<std::string>()) << report.dump(2) << "\n";
    return 0;
  }
  std::cout << report.dump(2) << "\n";
  return 0;
}
