/// \file
/// A leaf says in its answers that it leaves, and its entry is removed. A write of its entry from before,
/// whose answer the store lost, is done late and brings the entry back. The node must not send requests to
/// the leaf again.

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
using review::Request;
using review::Response;

constexpr char kHost[] = "users.example";
constexpr int kCallers = 8;
constexpr Milliseconds kPause{ 50 };
constexpr Milliseconds kWork{ 120 };
constexpr Milliseconds kDrain{ 3000 };
constexpr Milliseconds kLate{ 5500 };   // a late write is done 1 to 6 s later
constexpr Milliseconds kExpiry{ 3600 }; // three heartbeat intervals

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
  const std::string network = review::FindNetwork(1, ports);
  review::Store store(aRecord);
  Leaf stays(aRecord, { "i-ledger-1", "ledger", "a", network + ".201", kWork });
  Leaf leaves(aRecord, { "i-ledger-2", "ledger", "a", network + ".201", kWork });
  store.Put("op/config", kConfiguration);
  store.Put(stays.Key(), stays.Registration("ready", 1));
  store.Put(leaves.Key(), leaves.Registration("ready", 1));
  Node node(
    aRecord,
    folder.Path(),
    { "node-1", "a", network + ".1", ports, { network + ".1" }, store.OpenFor("node-1", network + ".101") });
  node.Start();
  if (!node.WaitReady(Milliseconds(5000))) {
    return 2;
  }
  std::mutex mutex;
  std::map<std::string, Milliseconds> sent;
  std::optional<Milliseconds> passedOn;
  int served = 0;
  std::atomic<bool> stop{ false };
  const auto call = [&] {
    review::Connection connection;
    while (!stop) {
      if (!connection.IsOpen() && !connection.Open(node.Callers())) {
        continue;
      }
      Attempt attempt;
      attempt.id = review::NextId();
      attempt.target = "/slips/1";
      {
        const std::lock_guard<std::mutex> lock(mutex);
        sent[attempt.id] = aRecord.Now();
      }
      const auto response = review::Send(aRecord, connection, kHost, attempt);
      {
        const std::lock_guard<std::mutex> lock(mutex);
        served += response && response->status == 200 ? 1 : 0;
        if (response && !passedOn && review::Find(response->headers, "Server-Leaving") == "1") {
          passedOn = aRecord.Now();
          aRecord.Add("the node has passed on an answer with Server-Leaving");
        }
      }
      std::this_thread::sleep_for(kPause);
    }
  };
  std::vector<std::thread> callers;
  for (int index = 0; index < kCallers; ++index) {
    callers.emplace_back(call);
  }
  const auto wait = [](Milliseconds aTime) { std::this_thread::sleep_for(aTime); };
  wait(Milliseconds(5000));
  const std::string written = leaves.Registration("ready", 5);
  const Milliseconds writtenAt = aRecord.Now();
  if (aTrouble) {
    aRecord.Add("store loses the answer of a write of " + leaves.Key() + " and does it late");
  }
  wait(Milliseconds(100));
  leaves.SetBehaviour([&leaves](const Request&, Response aResponse) {
    std::this_thread::sleep_for(leaves.Settings().work);
    aResponse.headers.emplace_back("Server-Leaving", "1");
    return aResponse;
  });
  aRecord.Add("leaf i-ledger-2 leaves and says so in its answers");
  wait(Milliseconds(600));
  store.Remove(leaves.Key());
  wait(writtenAt + kLate - aRecord.Now());
  if (aTrouble) {
    store.Put(leaves.Key(), written);
  }
  wait(kExpiry);
  store.Remove(leaves.Key());
  wait(Milliseconds(500));
  stop = true;
  for (std::thread& caller : callers) {
    caller.join();
  }
  node.Kill();
  if (!passedOn || served == 0) {
    return 2;
  }
  int late = 0;
  for (const review::Arrival& arrival : leaves.Arrivals()) {
    late += sent[arrival.id] > *passedOn + kDrain ? 1 : 0;
  }
  aRecord.Add("requests sent later than drainMs after that answer that reached the leaf: " +
              std::to_string(late));
  return late > 0 ? 1 : 0;
}

} // namespace

int
main(int aCount, char** aArguments)
{
  return review::RunCase(aCount, aArguments, Run);
}
