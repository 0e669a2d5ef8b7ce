#include "fleetstatus/internal/fleetcollector.h"
#include <cmath>

namespace yp {

namespace {

constexpr const char* kGroupMethod = "status_group";
constexpr std::chrono::milliseconds kGroupWait{ 1000 };    ///< a delegate waits this long for its group
constexpr std::chrono::milliseconds kDelegateWait{ 2000 }; ///< the asked node waits this long for a delegate
constexpr std::chrono::milliseconds kReuse{ 1000 };

std::chrono::milliseconds
Since(TimePoint aThen, TimePoint aNow)
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(aNow - aThen);
}

void
AddReports(std::map<std::string, AgedReport>& aHeard,
           const std::variant<std::string, Error>& aReply,
           std::chrono::milliseconds aElapsed)
{
  const std::string* bytes = std::get_if<std::string>(&aReply);
  if (bytes == nullptr) {
    return;
  }
  Recover(
    [&]() -> Result<void> {
      BOOST_LEAF_AUTO(reports, DecodeReports(*bytes));
      for (AgedReport& aged : reports) {
        aged.age += aElapsed;
        aHeard[aged.report.host] = std::move(aged);
      }
      return {};
    },
    [](const Error& aError) { LogError("status_reports_dropped", aError); });
}

} // namespace

std::unique_ptr<IFleetStatus>
MakeFleetStatus(FleetStatusParts aParts)
{
  return std::make_unique<FleetCollector>(std::move(aParts));
}

FleetCollector::FleetCollector(FleetStatusParts aParts)
  : parts(std::move(aParts))
{
  this->parts.calls.Serve(kGroupMethod, [this](const std::string& aPayload, IPeerCalls::Respond aRespond) {
    this->ServeGroup(aPayload, aRespond);
  });
}

void
FleetCollector::Collect(Handler aHandler)
{
  const bool fresh = !this->last.empty() && this->parts.clock.Now() - this->lastFinished < kReuse;
  if (fresh) {
    aHandler(this->last);
    return;
  }
  this->waiting.push_back(std::move(aHandler));
  if (!this->running) {
    this->Start();
  }
}

void
FleetCollector::Start()
{
  this->running = std::make_unique<Collection>();
  this->running->started = this->parts.clock.Now();
  const NodeReport own = this->parts.ownReport();
  this->running->heard[own.host] = { own, std::chrono::milliseconds(0) };
  const Ref<const MemberView> view = this->parts.members.Load();
  if (view) {
    for (const MemberStatus& member : view->members) {
      const MemberRecord& record = member.record;
      this->running->domains[record.host] = record.failureDomain;
      this->running->members[record.host] = { record.host, record.peerEndpoint };
    }
  }
  this->running->members.erase(own.host);
  this->AskGroups();
  if (this->running->pending == 0) {
    this->Finish();
  }
}

void
FleetCollector::AskGroups()
{
  const auto& members = this->running->members;
  const auto groupSize = static_cast<std::size_t>(std::ceil(std::sqrt(static_cast<double>(members.size()))));
  std::vector<GroupMember> group;
  std::size_t left = members.size();
  for (const auto& member : members) {
    group.push_back(member.second);
    --left;
    if (group.size() < groupSize && left > 0) {
      continue;
    }
    const GroupMember delegate = group.front();
    group.erase(group.begin());
    this->Ask(delegate, { group, kGroupWait });
    group.clear();
  }
}

void
FleetCollector::AskUnheard()
{
  this->running->retried = true;
  for (const auto& member : this->running->members) {
    if (this->running->heard.count(member.first) == 0) {
      this->Ask(member.second, { {}, kGroupWait });
    }
  }
}

void
FleetCollector::Ask(const GroupMember& aDelegate, const GroupQuestion& aQuestion)
{
  ++this->running->pending;
  const TimePoint asked = this->parts.clock.Now();
  const auto wait = aQuestion.members.empty() ? kGroupWait : kDelegateWait;
  this->parts.calls.Call(
    aDelegate.peer, kGroupMethod, Encode(aQuestion), asked + wait, [this, asked](auto aReply) {
      this->OnReports(aReply, asked);
    });
}

void
FleetCollector::OnReports(const std::variant<std::string, Error>& aReply, TimePoint aAsked)
{
  AddReports(this->running->heard, aReply, Since(aAsked, this->parts.clock.Now()));
  --this->running->pending;
  if (this->running->pending > 0) {
    return;
  }
  if (!this->running->retried) {
    this->AskUnheard();
  }
  if (this->running->pending == 0) {
    this->Finish();
  }
}

void
FleetCollector::Finish()
{
  this->last.clear();
  for (const auto& domain : this->running->domains) {
    FleetRow row;
    row.failureDomain = domain.second;
    row.report.host = domain.first;
    const auto heard = this->running->heard.find(domain.first);
    if (heard != this->running->heard.end()) {
      row.report = heard->second.report;
      row.age = heard->second.age;
      row.heard = true;
    }
    this->last.push_back(std::move(row));
  }
  this->lastFinished = this->parts.clock.Now();
  this->running.reset();
  std::vector<Handler> handlers;
  handlers.swap(this->waiting);
  for (const Handler& handler : handlers) {
    handler(this->last);
  }
}

void
FleetCollector::ServeGroup(const std::string& aPayload, const IPeerCalls::Respond& aRespond)
{
  Recover(
    [&]() -> Result<void> {
      BOOST_LEAF_AUTO(question, DecodeGroupQuestion(aPayload));
      this->CollectGroup(question, aRespond);
      return {};
    },
    [&](const Error& aError) {
      LogError("status_question_dropped", aError);
      aRespond(Encode(std::vector<AgedReport>()));
    });
}

void
FleetCollector::CollectGroup(const GroupQuestion& aQuestion, const IPeerCalls::Respond& aRespond)
{
  struct Group
  {
    Heard heard;
    std::size_t pending = 0;
  };
  const auto group = std::make_shared<Group>();
  const auto respond = [group, aRespond] {
    std::vector<AgedReport> reports;
    for (const auto& heard : group->heard) {
      reports.push_back(heard.second);
    }
    aRespond(Encode(reports));
  };
  const NodeReport own = this->parts.ownReport();
  group->heard[own.host] = { own, std::chrono::milliseconds(0) };
  group->pending = aQuestion.members.size();
  if (group->pending == 0) {
    respond();
    return;
  }
  const TimePoint asked = this->parts.clock.Now();
  for (const GroupMember& member : aQuestion.members) {
    this->parts.calls.Call(member.peer,
                           kGroupMethod,
                           Encode(GroupQuestion{}),
                           asked + aQuestion.wait,
                           [this, group, respond, asked](auto aReply) {
                             AddReports(group->heard, aReply, Since(asked, this->parts.clock.Now()));
                             if (--group->pending == 0) {
                               respond();
                             }
                           });
  }
}

} // namespace yp
