#include "fuzztarget.h"
#include "tickets/tests/ticketsamples.h"
#include "tickets/tickets.h"

using namespace yp;

std::vector<std::string>
yp::FuzzSeeds()
{
  nlohmann::json caller = { { "services", { "kiosk" } }, { "policy", "latency" }, { "deadline_ms", 200 } };
  nlohmann::json fleet = { { "failure_domains", { { { "name", "centrs" }, { "region", "riga" } } } } };
  nlohmann::json all = SampleTicket(1);
  all["objects"].push_back({ { "kind", "caller" }, { "name", "screen" }, { "state", caller } });
  all["objects"].push_back({ { "kind", "fleet" }, { "name", "fleet" }, { "state", fleet } });
  return { SampleTicket(1).dump(), RemovalTicket(1).dump(), all.dump() };
}

// Guards against a crash, and against a verdict that differs between two readings of the same bytes.
extern "C" int
LLVMFuzzerTestOneInput(const std::uint8_t* aData, std::size_t aSize)
{
  const std::string_view input(reinterpret_cast<const char*>(aData), aSize);
  const Ref<const Ticket> first = ParseTicket(1, input);
  const Ref<const Ticket> second = ParseTicket(1, input);
  YP_INVARIANT(first->rejection == second->rejection && first->header.valid == second->header.valid,
               "validity_depends_on_bytes_alone",
               first->rejection);
  YP_INVARIANT(
    first->header.valid != first->changes.empty(), "invalid_ticket_changes_nothing", first->rejection);
  return 0;
}
