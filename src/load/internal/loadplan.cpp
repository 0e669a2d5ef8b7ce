#include "loadplan.h"
#include <cmath>
#include <nlohmann/json.hpp>

namespace yp {

LoadPlan::LoadPlan(const LoadSettings& aSettings)
  : settings(aSettings)
  , arrivals(aSettings.seed)
  , contents(aSettings.seed ^ 0x9e3779b97f4a7c15U)
{
}

PlannedRequest
LoadPlan::Next()
{
  this->seconds += -std::log1p(-this->arrivals.Real()) / this->settings.rate;
  PlannedRequest request;
  request.offset = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(this->seconds));
  request.caller = static_cast<std::uint32_t>(this->contents.Below(this->settings.callers));
  request.execute = this->contents.Real() < this->settings.executeFraction;
  Json body{ { "caller", this->settings.caller }, { "service", this->settings.service } };
  if (request.execute) {
    body["key"] = "key-" + std::to_string(this->contents.Next() % 1000000);
    body["body"] = Json{ { "amount", this->contents.Below(100) } };
  } else {
    body["query"] = this->DrawQuery();
    body["limit"] = this->settings.limit;
  }
  request.body = body.dump();
  return request;
}

Json
LoadPlan::DrawQuery()
{
  const std::vector<std::string>& words = this->settings.vocabulary;
  Json terms = Json::array();
  const std::uint64_t count = 1 + this->contents.Below(this->settings.maxTerms);
  for (std::uint64_t index = 0; index < count; ++index) {
    // Squared, so that early words are more frequent, as in real queries, and all still occur.
    const double position = std::pow(this->contents.Real(), 2) * static_cast<double>(words.size());
    terms.push_back(words[static_cast<std::size_t>(position)]);
  }
  return Json{ { "terms", std::move(terms) } };
}

} // namespace yp
