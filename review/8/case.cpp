/// \file
/// The store turns one of two nodes away for a while. Much later the other node loses power while a leaf
/// leaves whose entry is removed. The first node must not send requests to that leaf later than drainMs after
/// the removal.

#include "../lib-2/standins.h"
#include <algorithm>

namespace {

using review::Attempt;
using review::Leaf;
using review::Milliseconds;
using review::Node;
using review::Record;

constexpr char kHost[] = "users.example";
constexpr Milliseconds kTurnedAway{ 4500 };
constexpr Milliseconds kCalm{ 8000 }; // twice stabilityWindowMs
constexpr Milliseconds kPowerLoss{ 5000 };
constexpr Milliseconds kDrain{ 3000 };

constexpr char kConfiguration[] =
  R"({"version":7,"routes":[{"name":"slips","host":"users.example","pathPrefix":"/slips/","type":"idempotent",)"
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
  Leaf stays(aRecord, { "i-ledger-1", "ledger", "a", network + ".201" });
  Leaf leaves(aRecord, { "i-ledger-2", "ledger", "a", network + ".201" });
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
  review::Connection connection;
  const auto ask = [&](Milliseconds aTime) {
    const Milliseconds end = aRecord.Now() + aTime;
    int served = 0;
    while (aRecord.Now() < end) {
      if (connection.IsOpen() || connection.Open(asked.Callers())) {
        Attempt attempt;
        attempt.id = review::NextId();
        attempt.target = "/slips/1";
        const auto response = review::Send(aRecord, connection, kHost, attempt);
        served += response && response->status == 200 ? 1 : 0;
      }
      std::this_thread::sleep_for(Milliseconds(20));
    }
    return served;
  };
  if (ask(Milliseconds(4000)) == 0) {
    return 2;
  }
  if (aTrouble) {
    store.SetTurnedAway("node-2", true);
    ask(kTurnedAway);
    store.SetTurnedAway("node-2", false);
  }
  ask(kCalm);
  if (aTrouble) {
    other.Kill();
  }
  ask(Milliseconds(200));
  store.Remove(leaves.Key());
  const Milliseconds acknowledged = aRecord.Now();
  ask(kPowerLoss);
  if (aTrouble) {
    other.Start();
  }
  ask(Milliseconds(2000));
  leaves.End();
  asked.Kill();
  other.Kill();
  int late = 0;
  for (const review::Arrival& arrival : leaves.Arrivals()) {
    late += arrival.when > acknowledged + kDrain ? 1 : 0;
  }
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
