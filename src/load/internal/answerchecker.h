#ifndef YP_LOAD_INTERNAL_ANSWERCHECKER_H
#define YP_LOAD_INTERNAL_ANSWERCHECKER_H

#include "framework/global/global.h"
#include <unordered_map>

namespace yp {

/// Checks answered lookups for what a caller can see: hits of one index version, and equal hits for equal
/// queries at equal index versions.
class AnswerChecker
{
public:
  /// \param aQuery body of the lookup
  /// \param aReply body of a reply with the outcome "answered"
  void Check(const std::string& aQuery, const Json& aReply);

  /// \return counts of checked, repeated, mixed and differing answers
  Json ToJson() const;

private:
  void CheckVersions(const Json& aHits, const Json& aSnapshot);
  void CheckRepeat(const std::string& aQuery, const Json& aHits, const Json& aSnapshot);

  /// Hash of the hits of the first complete answer, by query and index version.
  std::unordered_map<std::string, std::uint64_t> complete;
  std::uint64_t checked = 0;
  std::uint64_t repeats = 0;
  std::uint64_t mixed = 0;
  std::uint64_t differing = 0;
};

} // namespace yp

#endif
