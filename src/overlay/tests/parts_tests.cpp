#include "overlay/internal/listinglog.h"
#include "overlay/internal/pullqueue.h"
#include "overlay/internal/readiness.h"
#include "overlay/internal/reportqueue.h"
#include <catch2/catch.hpp>

using namespace std::chrono_literals;

namespace yp {

namespace {

ListedHost
Listed(std::size_t aIndex, std::size_t aNameSize)
{
  ListedHost host;
  host.host = "host" + std::to_string(aIndex);
  host.host.resize(aNameSize, 'h');
  host.failureDomain = "d" + std::to_string(aIndex % 13);
  host.region = "r" + std::to_string(aIndex % 4);
  host.peerEndpoint = { "10.20." + std::to_string(aIndex / 250) + "." + std::to_string(aIndex % 250), 7000 };
  host.callerEndpoint = host.peerEndpoint;
  host.adminEndpoint = host.peerEndpoint;
  return host;
}

HostListing
Listing(std::uint64_t aVersion, std::size_t aCount, std::size_t aNameSize = 16)
{
  HostListing listing;
  listing.version = aVersion;
  for (std::size_t i = 0; i < aCount; ++i) {
    listing.hosts.push_back(Listed(i, aNameSize));
  }
  return listing;
}

DigestMessage
Answer(TicketNumber aInForce, TicketNumber aHighest)
{
  DigestMessage digest;
  digest.inForce = aInForce;
  digest.highest = aHighest;
  return digest;
}

Suspicion
Report(std::size_t aIndex)
{
  return { "host" + std::to_string(aIndex), { 1000ms, aIndex, 1 }, 2, "reporter", "d0" };
}

} // namespace

// Guards against a list that no frame can hold, and against parts that are lost when it is divided.
TEST_CASE("a listing of 10,000 hosts fits into frames and arrives whole")
{
  const std::size_t nameSize = GENERATE(16U, 256U);
  ListingLog sender;
  HostListing listing = Listing(7, 10000, nameSize);
  for (int i = 0; i < 5000; ++i) {
    listing.leavingServers.push_back("server" + std::to_string(i));
  }
  REQUIRE(sender.Apply(listing));
  ListingLog receiver;
  bool taken = false;
  const std::vector<ListingMessage> parts = sender.Since(0);
  REQUIRE(parts.size() > 1);
  for (const ListingMessage& part : parts) {
    REQUIRE_FALSE(taken);
    REQUIRE(Encode(part).size() <= kMaxFrameBytes);
    taken = receiver.Apply(part, 1);
  }
  REQUIRE(taken);
  REQUIRE(receiver.Version() == 7);
  REQUIRE(receiver.Listing().hosts.size() == 10000);
  REQUIRE(receiver.Listing().leavingServers == listing.leavingServers);
}

// Guards against a list put together from parts of two peers, or with a part missing.
TEST_CASE("parts of a listing that are lost or of another link do not apply")
{
  ListingLog sender;
  sender.Apply(Listing(7, 20000));
  const std::vector<ListingMessage> parts = sender.Since(0);
  REQUIRE(parts.size() > 2);
  ListingLog receiver;
  SECTION("a part is lost")
  {
    for (std::size_t i = 0; i < parts.size(); ++i) {
      REQUIRE_FALSE((i != 1 && receiver.Apply(parts[i], 1)));
    }
  }
  SECTION("a part comes over another link")
  {
    for (std::size_t i = 0; i < parts.size(); ++i) {
      REQUIRE_FALSE(receiver.Apply(parts[i], i == 1 ? 2 : 1));
    }
  }
  REQUIRE(receiver.Version() == 0);
  for (const ListingMessage& part : parts) {
    receiver.Apply(part, 3);
  }
  REQUIRE(receiver.Listing().hosts.size() == 20000);
}

// Guards against peers that miss a change, keep a removed host, or take an older list over a newer one.
TEST_CASE("a listing log passes on changes and removals since a version")
{
  ListingLog sender;
  ListingLog receiver;
  sender.Apply(Listing(1, 4));
  REQUIRE(receiver.Apply(sender.Since(0).at(0), 1));
  HostListing changed = Listing(2, 3);
  changed.hosts[1].leaving = true;
  REQUIRE(sender.Apply(changed));
  REQUIRE_FALSE(sender.Apply(Listing(1, 4)));
  const std::vector<ListingMessage> parts = sender.Since(1);
  REQUIRE(parts.size() == 1);
  REQUIRE(parts[0].base == 1);
  REQUIRE(parts[0].hosts.size() == 1);
  REQUIRE(parts[0].removed == std::vector<std::string>{ Listed(3, 16).host });
  REQUIRE(receiver.Apply(parts[0], 1));
  REQUIRE(receiver.Version() == 2);
  REQUIRE(receiver.Listing().hosts.size() == 3);
  REQUIRE(receiver.Listing().hosts[1].leaving);
  REQUIRE_FALSE(receiver.Apply(parts[0], 1));
  ListingLog behind;
  REQUIRE_FALSE(behind.Apply(parts[0], 1));
}

// Guards against bodies asked of several peers at once, or of a later announcer before an earlier one.
TEST_CASE("a pull queue asks announcers one at a time in their order")
{
  PullQueue queue;
  TimePoint now{ 100s };
  queue.Want(5, 11, now + 100ms);
  queue.Want(5, 12, now);
  queue.Want(5, 11, now);
  queue.Want(5, 13, now);
  REQUIRE(queue.Due(now).empty());
  const auto asked = [&queue](TimePoint aNow) {
    std::vector<LinkId> links;
    for (const auto& request : queue.Due(aNow)) {
      REQUIRE(request.second == std::vector<TicketNumber>{ 5 });
      links.push_back(request.first);
    }
    return links;
  };
  now += 100ms;
  REQUIRE(asked(now) == std::vector<LinkId>{ 11 });
  REQUIRE(asked(now + 499ms).empty());
  // 11 does not answer in time, 12 does not have the body, 13 loses its link.
  now += 500ms;
  REQUIRE(asked(now) == std::vector<LinkId>{ 12 });
  queue.Absent(5, 11);
  REQUIRE(asked(now).empty());
  queue.Absent(5, 12);
  REQUIRE(asked(now) == std::vector<LinkId>{ 13 });
  queue.DropLink(13);
  REQUIRE(asked(now).empty());
  // With no announcer left the number is forgotten and may be wanted anew.
  queue.Want(5, 14, now);
  REQUIRE(asked(now) == std::vector<LinkId>{ 14 });
}

// Guards against one peer that names a number which does not exist keeping newcomers not ready for ever.
TEST_CASE("a target that one peer alone names is dropped after 10 s without progress")
{
  const TimePoint start{ 100s };
  Readiness readiness(start);
  const bool claimsInForce = GENERATE(true, false);
  readiness.OnAnswer("wrong", "d0", Answer(claimsInForce ? 1000000 : 17, 1000000), start);
  readiness.OnAnswer("b", "d1", Answer(17, 17), start);
  readiness.OnAnswer("c", "d2", Answer(16, 16), start);
  readiness.Evaluate(start + 2s, 15, 15, OtherHosts::kUnknown);
  REQUIRE_FALSE(readiness.Ready());
  readiness.Evaluate(start + 11900ms, 15, 15, OtherHosts::kUnknown);
  REQUIRE_FALSE(readiness.Ready());
  // What a second peer has in force is still waited for.
  readiness.Evaluate(start + 12s, 15, 15, OtherHosts::kUnknown);
  REQUIRE_FALSE(readiness.Ready());
  readiness.Evaluate(start + 13s, 17, 17, OtherHosts::kUnknown);
  REQUIRE(readiness.Ready());
}

// Guards against a newcomer that serves an old state because its transfer takes long.
TEST_CASE("a target that two peers have in force is waited for")
{
  const TimePoint start{ 100s };
  Readiness readiness(start);
  readiness.OnAnswer("a", "d0", Answer(17, 17), start);
  readiness.OnAnswer("b", "d1", Answer(17, 17), start);
  readiness.Evaluate(start + 300s, 16, 16, OtherHosts::kUnknown);
  REQUIRE_FALSE(readiness.Ready());
  readiness.Evaluate(start + 301s, 17, 17, OtherHosts::kUnknown);
  REQUIRE(readiness.Ready());
}

// Guards against reports of a mass loss that flood the links, and against single ones that wait.
TEST_CASE("a report queue passes single reports at once and limits many")
{
  ReportQueue queue;
  const TimePoint start{ 100s };
  std::size_t passed = 0;
  for (std::size_t i = 0; i < 1000; ++i) {
    passed += queue.Pass(Report(i), start) ? 1 : 0;
  }
  REQUIRE(passed == ReportQueue::kBurst);
  REQUIRE(queue.Loaded());
  std::vector<std::string> order;
  for (int tick = 1; tick <= 100; ++tick) {
    for (const Suspicion& report : queue.Due(start + tick * 100ms)) {
      order.push_back(report.host);
    }
  }
  REQUIRE(order.size() <= 10 * ReportQueue::kPerSecond);
  REQUIRE(order.size() >= 9 * ReportQueue::kPerSecond);
  REQUIRE(order.front() == "host" + std::to_string(ReportQueue::kBurst));
  for (int tick = 101; queue.Loaded(); ++tick) {
    REQUIRE(tick < 1000);
    queue.Due(start + tick * 100ms);
  }
  REQUIRE(queue.Pass(Report(1), start + 200s));
}

} // namespace yp
