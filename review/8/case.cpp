/// \file
/// The store turns one of two nodes away for a while. Much later the other node loses power while a leaf
/// leaves whose entry is removed. The first node must not send requests to that leaf later than drainMs after
/// the removal.

#include "../lib-2/standins.h"
#include <map>
#include <mutex>
#include <thread>

namespace {

using review::Attempt;
using review::Leaf;
using review::Milliseconds;
using review::Node;
using review::Record;

constexpr char kHost[] = "users.example";
constexpr Milliseconds kTurnedAway{ 4500 };
constexpr Milliseconds kCalm{ 8000 }; // twice stabilityWindowMs
constexpr Milliseconds kPowerLoss{ 3500 };
constexpr Milliseconds kUntilRemoval{ 200 };
constexpr Milliseconds kDrain{ 3000 };
constexpr Milliseconds kStay{ 400 }; // a leaf serves a little longer than drainMs
constexpr Milliseconds kWork{ 120 };
constexpr Milliseconds kPause{ 20 };
constexpr Milliseconds kPauseStep{ 13 }; // keeps the callers out of step
constexpr int kCallers = 8;

constexpr char kConfiguration[] =
  R"({"version":7,"routes":[{"name":"slips","host":"users.example","pathPrefix":"/slips/","type":"non_idempotent",)"
  R"("timeoutMs":1000,"sloMs":200,"priority":1,"service":"ledger","attempts":2}],)"
  R"("services":[{"name":"ledger","healthPath":"/health","maxConns":100}],)"
  R"("limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000}})";

int
Run(Record& aRecord, bool aTrouble)
{
  review::TemporaryFolder folder;
  Node::Ports ports;
  const std::string network = review::FindNetwork(2, ports);
  review::Store store(aRecord);
  Leaf stays(aRecord, { "i-ledger-1", "ledger", "a", network + ".201", kWork });
  Leaf leaves(aRecord, { "i-ledger-2", "ledger", "a", network + ".201", kWork });
  store.Put("op/config", kConfiguration);
  store.Put(stays.Key(), stays.Registration("ready", 1));
  store.Put(leaves.Key(), leaves.Registration("ready", 1));
  const std::vector<std::string> seeds{ network + ".1", network + ".2" };
  Node other(aRecord,
             folder.Path(),
             { "node-1", "a", seeds[0], ports, seeds, store.OpenFor("node-1", network + ".101") });
  Node asked(aRecord,
             folder.Path(),
             { "node-2", "a", seeds[1], ports, seeds, store.OpenFor("node-2", network + ".102") });
  other.Start();
  asked.Start();
  if (!other.WaitReady(Milliseconds(5000)) || !asked.WaitReady(Milliseconds(5000))) {
    return 2;
  }
  std::mutex mutex;
  std::map<std::string, int> answers;
  std::atomic<bool> stop{ false };
  const auto call = [&](int aIndex) {
    review::Connection connection;
    while (!stop) {
      if (!connection.IsOpen() && !connection.Open(asked.Callers())) {
        continue;
      }
      Attempt attempt;
      attempt.id = review::NextId();
      attempt.method = "POST";
      attempt.target = "/slips/1";
      attempt.body = "slip";
      const auto response = review::Send(aRecord, connection, kHost, attempt);
      {
        const std::lock_guard<std::mutex> lock(mutex);
        answers[attempt.id] = response ? response->status : 0;
      }
      std::this_thread::sleep_for(kPause + aIndex * kPauseStep);
    }
  };
  std::vector<std::thread> callers;
  for (int index = 0; index < kCallers; ++index) {
    callers.emplace_back(call, index);
  }
  const auto wait = [](Milliseconds aTime) { std::this_thread::sleep_for(aTime); };
  wait(Milliseconds(4000));
  if (aTrouble) {
    store.SetTurnedAway("node-2", true);
    wait(kTurnedAway);
    store.SetTurnedAway("node-2", false);
  }
  wait(kCalm);
  if (aTrouble) {
    other.Kill();
  }
  wait(kUntilRemoval);
  store.Remove(leaves.Key());
  const Milliseconds acknowledged = aRecord.Now();
  wait(kPowerLoss - kUntilRemoval);
  if (aTrouble) {
    other.Start();
  }
  wait(kDrain + kStay - kPowerLoss + kUntilRemoval);
  leaves.End();
  wait(Milliseconds(1000));
  stop = true;
  for (std::thread& caller : callers) {
    caller.join();
  }
  asked.Kill();
  other.Kill();
  if (stays.Arrivals().empty()) {
    return 2;
  }
  int late = 0;
  int lost = 0;
  for (const review::Arrival& arrival : leaves.Arrivals()) {
    late += arrival.when > acknowledged + kDrain ? 1 : 0;
    lost += answers[arrival.id] != 200 ? 1 : 0;
  }
  aRecord.Add("requests that reached the leaf and have no success: " + std::to_string(lost));
  aRecord.Add("requests at the leaf later than drainMs after the removal was acknowledged: " +
              std::to_string(late));
  return late > 0 ? 1 : 0;
}

} // namespace

int
main(int aCount, char** aArguments)
{
  return review::RunCase(aCount, aArguments, Run);
}
