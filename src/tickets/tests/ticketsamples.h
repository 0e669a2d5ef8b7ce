#ifndef YP_TICKETS_TESTS_TICKETSAMPLES_H
#define YP_TICKETS_TESTS_TICKETSAMPLES_H

#include <nlohmann/json.hpp>
#include <string>

namespace yp {

/// \return the state of a service with two shards and two leafs
inline nlohmann::json
SampleService(std::uint32_t aSlots = 2)
{
  return {
    { "slots", aSlots },
    { "connections", 25 },
    { "connect_ms", 6 },
    { "layouts",
      { { { "layout", 1 },
          { "shards", { { { "shard", 0 }, { "weight", 10 } }, { { "shard", 1 }, { "weight", 30 } } } } } } },
    { "leafs",
      { { { "leaf", "a" },
          { "server", "s1" },
          { "address", "127.0.0.1" },
          { "port", 9001 },
          { "failure_domain", "centrs" },
          { "layout", 1 },
          { "shard", 0 } },
        { { "leaf", "b" },
          { "server", "s1" },
          { "address", "127.0.0.1" },
          { "port", 9002 },
          { "failure_domain", "imanta" },
          { "layout", 1 },
          { "shard", 1 } } } }
  };
}

/// \return a ticket that sets one service
inline nlohmann::json
SampleTicket(std::uint64_t aNumber, const std::string& aService = "kiosk", std::uint32_t aSlots = 2)
{
  return { { "ticket", aNumber },
           { "objects",
             { { { "kind", "service" }, { "name", aService }, { "state", SampleService(aSlots) } } } } };
}

/// \return a ticket that removes one service
inline nlohmann::json
RemovalTicket(std::uint64_t aNumber, const std::string& aService = "kiosk")
{
  return { { "ticket", aNumber },
           { "objects", { { { "kind", "service" }, { "name", aService }, { "state", nullptr } } } } };
}

} // namespace yp

#endif
