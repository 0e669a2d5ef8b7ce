#include "fleetstatus/internal/statusmessages.h"
#include <algorithm>
#include <nlohmann/json.hpp>

namespace yp {

namespace {

constexpr CodecLimits kLimits{ 1024 * 1024, 6 };
constexpr std::uint64_t kMaxWaitMs = 10000;
constexpr std::size_t kMaxGroup = 1000;

std::uint64_t
Milliseconds(std::chrono::milliseconds aTime)
{
  return static_cast<std::uint64_t>(std::max<std::int64_t>(aTime.count(), 0));
}

} // namespace

std::string
Encode(const GroupQuestion& aQuestion)
{
  Json members = Json::array();
  for (const GroupMember& member : aQuestion.members) {
    members.push_back({ member.host, member.peer.address, member.peer.port });
  }
  return EncodeCbor({ { "w", Milliseconds(aQuestion.wait) }, { "g", members } });
}

std::string
Encode(const std::vector<AgedReport>& aReports)
{
  Json reports = Json::array();
  for (const AgedReport& aged : aReports) {
    const NodeReport& report = aged.report;
    reports.push_back({ report.host,
                        report.incarnation,
                        report.state,
                        report.inForce,
                        report.highest,
                        Milliseconds(aged.age) });
  }
  return EncodeCbor({ { "r", reports } });
}

Result<GroupQuestion>
DecodeGroupQuestion(std::string_view aBytes)
{
  BOOST_LEAF_AUTO(value, ParseCbor(aBytes, kLimits));
  try {
    GroupQuestion question;
    question.wait = std::chrono::milliseconds(std::min(value.at("w").get<std::uint64_t>(), kMaxWaitMs));
    for (const Json& member : value.at("g")) {
      if (question.members.size() == kMaxGroup) {
        break;
      }
      question.members.push_back({ member.at(0).get<std::string>(),
                                   { member.at(1).get<std::string>(), member.at(2).get<std::uint16_t>() } });
    }
    return question;
  } catch (const Json::exception& error) {
    return Fail(ErrorCode::kBadInput, "fleetstatus.decode_question", "", error.what());
  }
}

Result<std::vector<AgedReport>>
DecodeReports(std::string_view aBytes)
{
  BOOST_LEAF_AUTO(value, ParseCbor(aBytes, kLimits));
  try {
    std::vector<AgedReport> reports;
    for (const Json& row : value.at("r")) {
      AgedReport aged;
      aged.report.host = row.at(0).get<std::string>();
      aged.report.incarnation = row.at(1).get<std::string>();
      aged.report.state = row.at(2).get<std::string>();
      aged.report.inForce = row.at(3).get<TicketNumber>();
      aged.report.highest = row.at(4).get<TicketNumber>();
      aged.age = std::chrono::milliseconds(std::min(row.at(5).get<std::uint64_t>(), kMaxWaitMs));
      reports.push_back(std::move(aged));
    }
    return reports;
  } catch (const Json::exception& error) {
    return Fail(ErrorCode::kBadInput, "fleetstatus.decode_reports", "", error.what());
  }
}

} // namespace yp
