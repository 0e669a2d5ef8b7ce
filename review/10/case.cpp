/// \file
/// The operator raises the limit on bodies. Callers that keep idle connections send larger bodies on them,
/// later than the new version has to be in force everywhere. None may be refused for its size.

#include "../lib-2/standins.h"

namespace {

using review::Attempt;
using review::Leaf;
using review::Milliseconds;
using review::Node;
using review::Record;

constexpr char kHost[] = "users.example";
constexpr int kCallers = 20;
constexpr std::size_t kOldLimit = 4096;
constexpr std::size_t kNewLimit = 262144;
constexpr std::size_t kBody = 20000;
constexpr Milliseconds kConfigApply{ 3000 };

std::string
Configuration(int aVersion, std::size_t aMaxBody)
{
  return R"({"version":)" + std::to_string(aVersion) +
         R"(,"routes":[{"name":"slips","host":"users.example","pathPrefix":"/slips/","type":"idempotent",)"
         R"("timeoutMs":2000,"sloMs":500,"priority":1,"service":"ledger","attempts":2}],)"
         R"("services":[{"name":"ledger","healthPath":"/health","maxConns":100}],)"
         R"("limits":{"maxHeaderBytes":16384,"maxBodyBytes":)" +
         std::to_string(aMaxBody) + R"(,"headerTimeoutMs":3000,"idleTimeoutMs":15000}})";
}

int
Run(Record& aRecord, bool aTrouble)
{
  review::TemporaryFolder folder;
  Node::Ports ports;
  const std::string network = review::FindNetwork(1, ports);
  review::Store store(aRecord);
  const review::Endpoint forNode = store.OpenFor("node-1", network + ".101");
  Leaf first(aRecord, { "i-ledger-1", "ledger", "a", network + ".201" });
  Leaf second(aRecord, { "i-ledger-2", "ledger", "a", network + ".201" });
  store.Put(first.Key(), first.Registration("ready", 1));
  store.Put(second.Key(), second.Registration("ready", 1));
  store.Put("op/config", Configuration(7, aTrouble ? kOldLimit : kNewLimit));
  Node node(aRecord, folder.Path(), { "node-1", "a", network + ".1", ports, { network + ".1" }, forNode });
  node.Start();
  if (!node.WaitReady(Milliseconds(5000))) {
    return 2;
  }
  std::this_thread::sleep_for(Milliseconds(4000));
  int requests = 0;
  int denied = 0;
  std::vector<std::unique_ptr<review::Connection>> callers;
  const auto post = [&](review::Connection& aConnection, std::size_t aSize) {
    Attempt attempt;
    attempt.id = review::NextId();
    attempt.method = "POST";
    attempt.target = "/slips/1";
    attempt.body.assign(aSize, 'x');
    attempt.deadline = Milliseconds(2000);
    if (!aConnection.IsOpen() && !aConnection.Open(node.Callers())) {
      return 0;
    }
    ++requests;
    const auto response = review::Send(aRecord, aConnection, kHost, attempt);
    const int status = response ? response->status : 0;
    const bool promise = status == 408 || status == 421 || status == 429;
    denied += status >= 300 && status < 500 && !promise ? 1 : 0;
    return status;
  };
  for (int index = 0; index < kCallers; ++index) {
    callers.push_back(std::make_unique<review::Connection>());
    if (post(*callers.back(), kOldLimit / 4) != 200) {
      return 2;
    }
  }
  store.Put("op/config", Configuration(19, kNewLimit));
  std::this_thread::sleep_for(kConfigApply + Milliseconds(1500));
  for (const auto& caller : callers) {
    post(*caller, kBody);
  }
  node.Kill();
  const int allowed = 5 + requests / 500;
  aRecord.Add("requests " + std::to_string(requests) + ", ended with a 4xx of the node's own " +
              std::to_string(denied) + ", allowed " + std::to_string(allowed));
  return denied > allowed ? 1 : 0;
}

} // namespace

int
main(int aCount, char** aArguments)
{
  return review::RunCase(aCount, aArguments, Run);
}
