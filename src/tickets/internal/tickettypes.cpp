#include "tickets/tickettypes.h"
#include <numeric>

namespace yp {

namespace {

constexpr const char* kServicePrefix = "service/";
constexpr const char* kCallerPrefix = "caller/";
constexpr const char* kFleetPrefix = "fleet/";

const char*
Prefix(ObjectKind aKind)
{
  switch (aKind) {
    case ObjectKind::kService:
      return kServicePrefix;
    case ObjectKind::kCaller:
      return kCallerPrefix;
    case ObjectKind::kFleet:
      return kFleetPrefix;
  }
  return kServicePrefix;
}

} // namespace

std::uint64_t
LayoutSpec::TotalWeight() const
{
  return std::accumulate(this->shards.begin(),
                         this->shards.end(),
                         std::uint64_t(0),
                         [](std::uint64_t aSum, const ShardSpec& aShard) { return aSum + aShard.weight; });
}

const LayoutSpec*
ServiceSpec::FindLayout(LayoutId aLayout) const
{
  for (const LayoutSpec& layout : this->layouts) {
    if (layout.layout == aLayout) {
      return &layout;
    }
  }
  return nullptr;
}

std::string
ToString(const ObjectKey& aKey)
{
  return Prefix(aKey.kind) + aKey.name;
}

Result<ObjectKey>
ParseObjectKey(std::string_view aText)
{
  for (const ObjectKind kind : { ObjectKind::kService, ObjectKind::kCaller, ObjectKind::kFleet }) {
    const std::string_view prefix = Prefix(kind);
    if (aText.size() > prefix.size() && aText.substr(0, prefix.size()) == prefix) {
      return ObjectKey{ kind, std::string(aText.substr(prefix.size())) };
    }
  }
  return Fail(
    ErrorCode::kBadInput, "object_key.parse", "", "not kind/name: " + std::string(aText.substr(0, 80)));
}

Ref<const ServiceSpec>
TicketState::FindService(const std::string& aName) const
{
  const auto found = this->services.find(aName);
  return found == this->services.end() ? nullptr : found->second;
}

Ref<const CallerSpec>
TicketState::FindCaller(const std::string& aName) const
{
  const auto found = this->callers.find(aName);
  return found == this->callers.end() ? nullptr : found->second;
}

} // namespace yp
