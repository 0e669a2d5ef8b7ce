#include "framework/network/tests/servedcontext.h"
#include "load/internal/answerchecker.h"
#include "load/internal/loadplan.h"
#include "load/internal/loadresult.h"
#include <catch2/catch.hpp>
#include <cmath>
#include <nlohmann/json.hpp>
#include <set>

using namespace yp;
using namespace std::chrono_literals;

namespace {

LoadSettings
SampleSettings()
{
  LoadSettings settings;
  settings.caller = "kiosk_screen";
  settings.service = "kiosk";
  settings.rate = 500;
  settings.duration = 200ms;
  settings.vocabulary = { "a", "b", "c", "d" };
  settings.executeFraction = 0.3;
  return settings;
}

} // namespace

// Guards against runs that cannot be repeated, and against arrivals that are not Poisson at the asked rate.
TEST_CASE("a plan repeats by seed and keeps its rate")
{
  const LoadSettings settings = SampleSettings();
  LoadPlan first(settings);
  LoadPlan second(settings);
  double previous = 0;
  double squares = 0;
  constexpr int kCount = 20000;
  for (int number = 0; number < kCount; ++number) {
    const PlannedRequest one = first.Next();
    const PlannedRequest two = second.Next();
    REQUIRE((one.offset == two.offset && one.body == two.body && one.execute == two.execute));
    const double at = std::chrono::duration<double>(one.offset).count();
    squares += std::pow((at - previous) * settings.rate, 2);
    previous = at;
  }
  CHECK(previous == Approx(kCount / settings.rate).epsilon(0.03));
  // The second moment of exponential gaps is twice the square of their mean.
  CHECK(squares / kCount == Approx(2.0).epsilon(0.08));
}

// Guards against quantiles that are off by more than 1 %.
TEST_CASE("quantiles are within 1 %")
{
  LatencyHistogram histogram;
  for (int number = 1; number <= 10000; ++number) {
    histogram.Add(std::chrono::microseconds(100 * number));
  }
  for (const double quantile : { 0.001, 0.1, 0.5, 0.99, 0.999 }) {
    CHECK(histogram.Quantile(quantile) == Approx(1000 * quantile).epsilon(0.01));
  }
}

// Guards against hits of two index versions in one answer, and differing answers at one version, that pass
// unnoticed; and against a repartition or a new version that is taken for an error.
TEST_CASE("the checker finds mixed and differing answers")
{
  const auto answer = [](int aSnapshot, int aVersion, double aScore, int aShard) {
    const Json hit{ { "document", "d" },
                    { "score", aScore },
                    { "fields", { { "version", aVersion }, { "shard", aShard } } } };
    return Json{ { "hits", Json::array({ hit }) },
                 { "snapshot", { { "index_version", aSnapshot } } },
                 { "coverage", { { "complete", true } } } };
  };
  AnswerChecker checker;
  checker.Check("q", answer(1, 1, 2.0, 0));
  checker.Check("q", answer(1, 1, 2.0, 5));
  checker.Check("q", answer(2, 2, 3.0, 0));
  CHECK(checker.ToJson() == Json{ { "checked", 3 }, { "repeats", 1 }, { "mixed", 0 }, { "differing", 0 } });
  checker.Check("q", answer(1, 1, 2.5, 0));
  checker.Check("p", answer(2, 1, 2.0, 0));
  CHECK(checker.ToJson() == Json{ { "checked", 5 }, { "repeats", 2 }, { "mixed", 1 }, { "differing", 1 } });
}

// Guards against lost requests, a changed id on a resend, and latencies that leave out the wait for an
// address that does not answer.
TEST_CASE("requests go to another address after a connection failure, under the same id")
{
  ServedContext served;
  std::unique_ptr<IHttpServer> server;
  std::unique_ptr<ILoadRunner> runner;
  std::set<std::string> ids;
  int issued = 0;
  int idsInBody = 0;
  Endpoint live;
  const auto answer = [&](const HttpRequest& aRequest) {
    if (aRequest.target == "/v1/addresses?caller=kiosk_screen") {
      Json rows = Json::array({ Json{ { "address", "127.0.0.1" }, { "port", 1 } },
                                Json{ { "address", "127.0.0.1" }, { "port", live.port } } });
      return JsonResponse(200, Json{ { "ttl_ms", 50 }, { "addresses", rows } });
    }
    if (aRequest.target == "/v1/request-ids") {
      return JsonResponse(200, Json{ { "ids", { "id" + std::to_string(++issued) } } });
    }
    if (aRequest.target == "/v1/requests") {
      const Json body = Json::parse(aRequest.body);
      ids.insert(body["request_id"].get<std::string>());
      idsInBody += body["body"]["request_id"] == body["request_id"] ? 1 : 0;
      return JsonResponse(504, Json{ { "outcome", "unknown" }, { "reason", "connection_lost" } });
    }
    const Json coverage{ { "fraction", 0.75 }, { "complete", false } };
    return JsonResponse(200, Json{ { "outcome", "answered" }, { "coverage", coverage } });
  };
  std::promise<Json> done;
  served.Call([&] {
    HttpServerSettings listen;
    listen.listen = Endpoint{ "127.0.0.1", 0 };
    server =
      StartHttpServer(served.context, listen, [&](const HttpRequest& aRequest, const HttpRespond& aRespond) {
        aRespond(answer(aRequest));
      }).value();
    live = server->LocalEndpoint();
    LoadSettings settings = SampleSettings();
    settings.ask = { live };
    runner = MakeLoadRunner(served.context, settings);
    runner->Start([&](Json aReport) { done.set_value(std::move(aReport)); });
  });
  const Json report = done.get_future().get();
  served.Call([&] {
    runner.reset();
    server.reset();
  });
  const std::uint64_t offered = report["offered"].get<std::uint64_t>();
  std::uint64_t ended = 0;
  for (const auto& [name, count] : report["outcomes"].items()) {
    ended += count.get<std::uint64_t>();
  }
  CHECK(offered > 50);
  CHECK(ended == offered);
  CHECK(report["outcomes"]["answered"] == report["coverage"]["0.7"]);
  CHECK(report["outcomes"]["unknown"] == ids.size());
  CHECK(report["reasons"]["unknown/connection_lost"] == ids.size());
  CHECK(ids.size() == static_cast<std::size_t>(issued));
  CHECK(idsInBody == issued);
  CHECK(report["address_answers"].get<int>() > 16);
  CHECK(report["resent"].get<std::uint64_t>() >= offered);
}
