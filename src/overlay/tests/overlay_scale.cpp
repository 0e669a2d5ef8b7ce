#include "overlay/tests/fakeworld.h"
#include <algorithm>
#include <cxxopts.hpp>
#include <iostream>

namespace {

using namespace yp;

struct Totals
{
  double frames = 0;
  double bytes = 0;
  std::map<std::string, double> bytesByType;
};

Totals
Sent(FakeWorld& aWorld)
{
  Totals totals;
  for (std::size_t i = 0; i < aWorld.Size(); ++i) {
    for (const auto& type : aWorld.Overlay(i).Status().frames) {
      totals.frames += static_cast<double>(type.second.framesOut);
      totals.bytes += static_cast<double>(type.second.bytesOut);
      totals.bytesByType[type.first] += static_cast<double>(type.second.bytesOut);
    }
  }
  return totals;
}

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

} // namespace

/// Runs many engines in one process in virtual time and prints what they cost as JSON.
int
main(int aCount, char** aArguments)
{
  cxxopts::Options options("overlay_scale", "Cost of the overlay per node, in virtual time");
  options.add_options()(
    "nodes", "engines, rounded up to whole domains", cxxopts::value<std::size_t>()->default_value("50"))(
    "regions", "regions", cxxopts::value<std::size_t>()->default_value("2"))(
    "domains", "failure domains per region", cxxopts::value<std::size_t>()->default_value("3"))(
    "seconds", "virtual seconds measured", cxxopts::value<int>()->default_value("60"))(
    "warmup", "virtual seconds before", cxxopts::value<int>()->default_value("40"))(
    "changes", "tickets per virtual second", cxxopts::value<double>()->default_value("0.243"))(
    "restarts", "process restarts per virtual second", cxxopts::value<double>()->default_value("0.335"))(
    "body-bytes", "size of a ticket", cxxopts::value<std::size_t>()->default_value("1500"))(
    "seed", "seed", cxxopts::value<std::uint64_t>()->default_value("1"))("help", "print this text");
  const auto parsed = options.parse(aCount, aArguments);
  if (parsed.count("help") != 0) {
    std::cout << options.help();
    return 0;
  }
  ConfigureLog("overlay_scale", "error");
  const std::size_t regions = parsed["regions"].as<std::size_t>();
  const std::size_t domains = parsed["domains"].as<std::size_t>();
  const std::size_t perDomain =
    (parsed["nodes"].as<std::size_t>() + regions * domains - 1) / (regions * domains);
  FakeWorld world(parsed["seed"].as<std::uint64_t>(), { regions, domains, perDomain });
  world.MeasureCpu();
  world.Publish();
  world.StartAll();
  world.RunFor(std::chrono::seconds(parsed["warmup"].as<int>()));
  const bool readyAfterWarmup = world.AllReady();

  const Totals before = Sent(world);
  const double cpuBefore = CpuSeconds(world);
  const std::size_t samplesBefore = world.InForceSeconds().size();
  const int seconds = parsed["seconds"].as<int>();
  const double changes = parsed["changes"].as<double>();
  const double restarts = parsed["restarts"].as<double>();
  // Counters of a restarted process start again, so what it had sent is kept in `lost`.
  std::size_t published = 0;
  std::size_t restarted = 0;
  double changeDebt = 0;
  double restartDebt = 0;
  Totals lost;
  for (int step = 0; step < seconds * 10; ++step) {
    changeDebt += changes / 10;
    restartDebt += restarts / 10;
    if (changeDebt >= 1 && step < (seconds - 5) * 10) {
      changeDebt -= 1;
      ++published;
      world.Publish(parsed["body-bytes"].as<std::size_t>());
    }
    if (restartDebt >= 1) {
      restartDebt -= 1;
      ++restarted;
      const std::size_t node = world.Random().Below(world.Size());
      for (const auto& type : world.Overlay(node).Status().frames) {
        lost.frames += static_cast<double>(type.second.framesOut);
        lost.bytes += static_cast<double>(type.second.bytesOut);
        lost.bytesByType[type.first] += static_cast<double>(type.second.bytesOut);
      }
      world.Kill(node);
      world.Start(node);
    }
    world.RunFor(std::chrono::milliseconds(100));
  }
  const Totals after = Sent(world);
  const double nodeSeconds = static_cast<double>(world.Size()) * seconds;
  std::vector<double> times(world.InForceSeconds().begin() + static_cast<std::ptrdiff_t>(samplesBefore),
                            world.InForceSeconds().end());
  std::sort(times.begin(), times.end());
  nlohmann::json byType;
  for (const auto& type : after.bytesByType) {
    const double sent = type.second + lost.bytesByType[type.first];
    const auto earlier = before.bytesByType.find(type.first);
    byType[type.first] = (sent - (earlier == before.bytesByType.end() ? 0 : earlier->second)) / nodeSeconds;
  }
  const nlohmann::json report = {
    { "nodes", world.Size() },
    { "virtual_seconds", seconds },
    { "ready_after_warmup", readyAfterWarmup },
    { "converged", world.Converged() },
    { "tickets", published },
    { "restarts", restarted },
    { "body_bytes", parsed["body-bytes"].as<std::size_t>() },
    { "frames_out_per_node_second", (after.frames + lost.frames - before.frames) / nodeSeconds },
    { "bytes_out_per_node_second", (after.bytes + lost.bytes - before.bytes) / nodeSeconds },
    { "bytes_out_per_node_second_by_type", byType },
    { "cpu_percent_of_a_core_per_node", 100 * (CpuSeconds(world) - cpuBefore) / nodeSeconds },
    { "publish_to_in_force_seconds",
      { { "samples", times.size() },
        { "p50", Quantile(times, 0.5) },
        { "p99", Quantile(times, 0.99) },
        { "max", Quantile(times, 1.0) } } },
    { "broken_invariants", BrokenInvariants() }
  };
  std::cout << report.dump(2) << "\n";
  return 0;
}
