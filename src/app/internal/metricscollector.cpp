#include "app/internal/metricscollector.h"
#include <prometheus/metric_family.h>
#include <prometheus/text_serializer.h>

namespace yp {

namespace {

using Families = std::vector<prometheus::MetricFamily>;
using Labels = std::vector<prometheus::ClientMetric::Label>;

constexpr double kLatencyBucketBaseSeconds = 1e-4;

prometheus::MetricFamily&
AddFamily(Families& aFamilies,
          const std::string& aName,
          const std::string& aHelp,
          prometheus::MetricType aType)
{
  prometheus::MetricFamily family;
  family.name = "yuccaspool_" + aName;
  family.help = aHelp;
  family.type = aType;
  aFamilies.push_back(std::move(family));
  return aFamilies.back();
}

void
AddCounterValue(prometheus::MetricFamily& aFamily, Labels aLabels, std::uint64_t aValue)
{
  prometheus::ClientMetric metric;
  metric.label = std::move(aLabels);
  metric.counter.value = static_cast<double>(aValue);
  aFamily.metric.push_back(std::move(metric));
}

void
AddCounter(Families& aFamilies, const std::string& aName, const std::string& aHelp, std::uint64_t aValue)
{
  AddCounterValue(AddFamily(aFamilies, aName, aHelp, prometheus::MetricType::Counter), {}, aValue);
}

void
AddGauge(Families& aFamilies, const std::string& aName, const std::string& aHelp, double aValue)
{
  prometheus::MetricFamily& family = AddFamily(aFamilies, aName, aHelp, prometheus::MetricType::Gauge);
  prometheus::ClientMetric metric;
  metric.gauge.value = aValue;
  family.metric.push_back(metric);
}

void
AddEntry(Families& aFamilies, const EntryStats& aStats)
{
  AddCounter(aFamilies, "lookups_total", "lookups of callers", aStats.lookups);
  AddCounter(aFamilies, "executes_total", "non-idempotent requests of callers", aStats.executes);
  AddCounter(aFamilies, "forwarded_total", "calls made to other nodes for callers", aStats.forwarded);
  AddCounter(aFamilies, "served_for_others_total", "requests forwarded here", aStats.servedForOthers);
  AddCounter(aFamilies, "bad_requests_total", "malformed requests", aStats.badRequests);
  AddCounter(aFamilies, "address_answers_total", "address answers", aStats.addressAnswers);
  prometheus::MetricFamily& outcomes =
    AddFamily(aFamilies, "answers_total", "answers to callers by outcome", prometheus::MetricType::Counter);
  AddCounterValue(outcomes, { { "outcome", "answered" } }, aStats.answered);
  AddCounterValue(outcomes, { { "outcome", "not_run" } }, aStats.notRun);
  AddCounterValue(outcomes, { { "outcome", "unknown" } }, aStats.unknown);
}

void
AddOutcomes(Families& aFamilies, const QueryStats& aStats)
{
  prometheus::MetricFamily& family = AddFamily(
    aFamilies, "requests_total", "requests run here by outcome and reason", prometheus::MetricType::Counter);
  for (std::size_t outcome = 0; outcome < kRequestOutcomes; ++outcome) {
    for (std::size_t reason = 0; reason < kRequestReasons; ++reason) {
      const std::uint64_t count = aStats.outcomes[outcome][reason];
      if (count == 0) {
        continue;
      }
      AddCounterValue(family,
                      { { "outcome", ToString(static_cast<RequestOutcome>(outcome)) },
                        { "reason", ToString(static_cast<RequestReason>(reason)) } },
                      count);
    }
  }
}

void
AddLatency(Families& aFamilies, const QueryStats& aStats)
{
  prometheus::MetricFamily& family =
    AddFamily(aFamilies, "answer_seconds", "time to the answer", prometheus::MetricType::Histogram);
  prometheus::ClientMetric metric;
  std::uint64_t cumulative = 0;
  double bound = kLatencyBucketBaseSeconds;
  for (std::size_t i = 0; i < kLatencyBuckets; ++i) {
    cumulative += aStats.latency[i];
    const bool last = i + 1 == kLatencyBuckets;
    metric.histogram.bucket.push_back({ cumulative, last ? std::numeric_limits<double>::infinity() : bound });
    bound *= 2;
  }
  metric.histogram.sample_count = cumulative;
  metric.histogram.sample_sum = static_cast<double>(aStats.latencySumNs) * 1e-9;
  family.metric.push_back(std::move(metric));
}

void
AddQuery(Families& aFamilies, const QueryStats& aStats)
{
  AddCounter(aFamilies, "leaf_first_attempts_total", "first attempts at leafs", aStats.firstAttempts);
  AddCounter(aFamilies, "leaf_hedges_total", "hedged attempts", aStats.hedges);
  AddCounter(aFamilies, "leaf_hedges_held_total", "hedges that the budget refused", aStats.hedgesHeld);
  AddCounter(aFamilies, "leaf_retries_total", "retries", aStats.retries);
  AddCounter(aFamilies, "leaf_probes_total", "probes of excluded replicas", aStats.probes);
  AddCounter(aFamilies, "leaf_sheds_total", "attempts that leafs shed", aStats.leafSheds);
  AddCounter(aFamilies, "shed_total", "requests that this node shed", aStats.sheds);
  AddCounter(aFamilies, "replans_total", "queries planned anew", aStats.replans);
  AddCounter(aFamilies, "partial_answers_total", "answers without full coverage", aStats.partial);
  AddCounter(aFamilies, "mismatched_parts_total", "parts of another snapshot, discarded", aStats.mismatched);
  AddOutcomes(aFamilies, aStats);
  AddLatency(aFamilies, aStats);
}

void
AddLeafs(Families& aFamilies, const LeafPoolCounters& aCounters)
{
  AddCounter(aFamilies, "leaf_requests_written_total", "requests written to leafs", aCounters.written);
  AddCounter(aFamilies, "leaf_connections_opened_total", "connections opened to leafs", aCounters.opened);
  AddCounter(aFamilies, "leaf_connections_refused_total", "refused or failed connects", aCounters.refused);
  AddCounter(aFamilies, "leaf_replies_discarded_total", "replies that did not match", aCounters.discarded);
  AddGauge(aFamilies, "leaf_connections", "open connections to leafs", static_cast<double>(aCounters.open));
}

void
AddPeers(Families& aFamilies, const PeerCounters& aCounters)
{
  AddCounter(aFamilies, "peer_frames_in_total", "frames from peers", aCounters.framesIn);
  AddCounter(aFamilies, "peer_frames_out_total", "frames to peers", aCounters.framesOut);
  AddCounter(aFamilies, "peer_bytes_in_total", "bytes of frames from peers", aCounters.bytesIn);
  AddCounter(aFamilies, "peer_bytes_out_total", "bytes of frames to peers", aCounters.bytesOut);
  AddCounter(
    aFamilies, "peer_malformed_frames_total", "frames that closed their link", aCounters.malformedFrames);
  AddGauge(aFamilies, "peer_links", "established links", static_cast<double>(aCounters.links));
}

} // namespace

MetricsCollector::MetricsCollector(const NodeContext& aNode,
                                   const ControlPlane& aControl,
                                   const ILeafPools& aPools)
  : node(aNode)
  , control(aControl)
  , pools(aPools)
{
}

std::string
MetricsCollector::Text() const
{
  Families families;
  AddGauge(
    families, "ticket_in_force", "ticket in force", static_cast<double>(this->control.Store().InForce()));
  AddGauge(families, "serving", "1 while callers are served", this->node.serving.Serving() ? 1 : 0);
  AddCounter(families, "broken_invariants_total", "invariants found broken", BrokenInvariants());
  AddEntry(families, this->node.entryStats);
  AddQuery(families, this->node.queryNode->Stats());
  AddLeafs(families, this->pools.Counters());
  AddPeers(families, this->control.Peers().Counters());
  return prometheus::TextSerializer().Serialize(families);
}

} // namespace yp
