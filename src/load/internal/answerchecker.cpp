#include "answerchecker.h"
#include <nlohmann/json.hpp>

namespace yp {

namespace {

/// Bounds the memory; later queries are still checked for mixed versions.
constexpr std::size_t kMaxRemembered = 100000;

Json
Member(const Json& aObject, const char* aKey)
{
  return aObject.is_object() ? aObject.value(aKey, Json()) : Json();
}

/// Layouts number their shards differently, so that only document and score are compared.
std::uint64_t
HashHits(const Json& aHits)
{
  std::string text;
  for (const Json& hit : aHits) {
    text += Member(hit, "document").dump() + Member(hit, "score").dump() + ";";
  }
  return Hash64(text);
}

} // namespace

void
AnswerChecker::Check(const std::string& aQuery, const Json& aReply)
{
  const Json hits = Member(aReply, "hits");
  const Json snapshot = Member(aReply, "snapshot");
  if (!hits.is_array() || !snapshot.is_object()) {
    return;
  }
  ++this->checked;
  this->CheckVersions(hits, snapshot);
  if (Member(Member(aReply, "coverage"), "complete") == Json(true)) {
    this->CheckRepeat(aQuery, hits, snapshot);
  }
}

void
AnswerChecker::CheckVersions(const Json& aHits, const Json& aSnapshot)
{
  const Json version = Member(aSnapshot, "index_version");
  for (const Json& hit : aHits) {
    if (Member(Member(hit, "fields"), "version") != version) {
      ++this->mixed;
      return;
    }
  }
}

void
AnswerChecker::CheckRepeat(const std::string& aQuery, const Json& aHits, const Json& aSnapshot)
{
  const std::string key = aQuery + "#" + Member(aSnapshot, "index_version").dump();
  const std::uint64_t hash = HashHits(aHits);
  const auto known = this->complete.find(key);
  if (known != this->complete.end()) {
    ++this->repeats;
    this->differing += known->second == hash ? 0 : 1;
  } else if (this->complete.size() < kMaxRemembered) {
    this->complete.emplace(key, hash);
  }
}

Json
AnswerChecker::ToJson() const
{
  return Json{ { "checked", this->checked },
               { "repeats", this->repeats },
               { "mixed", this->mixed },
               { "differing", this->differing } };
}

} // namespace yp
