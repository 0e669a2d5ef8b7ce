#ifndef YP_QUERY_INTERNAL_QUERYNODE_H
#define YP_QUERY_INTERNAL_QUERYNODE_H

#include "query/internal/extraloadbudget.h"
#include "query/internal/leafhealth.h"
#include "query/internal/loadshedder.h"
#include "query/query.h"

namespace yp {

/// The state that a node's engines share.
class QueryNode final : public IQueryNode
{
public:
  explicit QueryNode(QueryOptions aOptions)
    : options(std::move(aOptions))
    , health(this->options.maxConcurrencyPerSlot)
    , shedder(this->options.maxInFlight, this->options.softLimitFraction)
  {
  }

  void SetLeavingServers(const std::set<std::string>& aServers) override
  {
    this->health.SetLeavingServers(aServers);
  }

  std::set<std::string> DrainingServers(TimePoint aNow) const override
  {
    return this->health.DrainingServers(aNow);
  }

  std::vector<LeafObservation> Observe(const std::string& aService, TimePoint aNow) const override
  {
    return this->health.Observe(aService, aNow);
  }

  const QueryStats& Stats() const override { return this->stats; }

  /// \return whether an extra attempt may be sent; takes it from the budget
  bool TrySpendExtra(TimePoint aNow) { return !this->options.limitExtraLoad || this->budget.TrySpend(aNow); }

  const QueryOptions options;
  HealthMap health;
  ExtraLoadBudget budget;
  LoadShedder shedder;
  QueryStats stats;
  std::atomic<std::uint64_t> nextAttempt{ 1 };
};

} // namespace yp

#endif
