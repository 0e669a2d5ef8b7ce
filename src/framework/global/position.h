#ifndef YP_FRAMEWORK_GLOBAL_POSITION_H
#define YP_FRAMEWORK_GLOBAL_POSITION_H

#include <cstdint>
#include <string>

namespace yp {

/// \file
/// Positions in the order in which a source publishes. A source that returns from an earlier copy begins a
/// new era and gives out revisions again. A position is the era, in the high bits, and the revision within
/// it, so that positions compare in the order of publication, also where a build that knows no eras passes
/// them on.

constexpr unsigned kRevisionBits = 44;
constexpr std::uint64_t kMaxRevision = (std::uint64_t(1) << kRevisionBits) - 1;
constexpr std::uint64_t kMaxEra = (std::uint64_t(1) << (64 - kRevisionBits)) - 1;

/// \param aEra at most kMaxEra; 0 for a source without eras
/// \param aRevision at most kMaxRevision
constexpr std::uint64_t
MakePosition(std::uint64_t aEra, std::uint64_t aRevision)
{
  return aEra << kRevisionBits | aRevision;
}

constexpr std::uint64_t
EraOf(std::uint64_t aPosition)
{
  return aPosition >> kRevisionBits;
}

constexpr std::uint64_t
RevisionOf(std::uint64_t aPosition)
{
  return aPosition & kMaxRevision;
}

/// \return a position as written in logs: the revision, after the era and a point when there are eras
inline std::string
PositionText(std::uint64_t aPosition)
{
  const std::string revision = std::to_string(RevisionOf(aPosition));
  return EraOf(aPosition) == 0 ? revision : std::to_string(EraOf(aPosition)) + "." + revision;
}

} // namespace yp

#endif
