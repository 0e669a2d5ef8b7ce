#include "app/internal/metricscollector.h"
#include "framework/metrics/metrics.h"

namespace yp {

namespace {

void
AddEntry(MetricsPage& aPage, const EntryStats& aStats)
{
  aPage.AddCounter("lookups_total", "lookups of callers", aStats.lookups);
  aPage.AddCounter("executes_total", "non-idempotent requests of callers", aStats.executes);
  aPage.AddCounter("forwarded_total", "calls made to other nodes for callers", aStats.forwarded);
  aPage.AddCounter("served_for_others_total", "requests forwarded here", aStats.servedForOthers);
  aPage.AddCounter("bad_requests_total", "malformed requests", aStats.badRequests);
  aPage.AddCounter("address_answers_total", "address answers", aStats.addressAnswers);
  aPage.AddCounters("answers_total",
                    "answers to callers by outcome",
                    { { { { "outcome", "answered" } }, aStats.answered },
                      { { { "outcome", "not_run" } }, aStats.notRun },
                      { { { "outcome", "unknown" } }, aStats.unknown } });
}

void
AddOutcomes(MetricsPage& aPage, const QueryStats& aStats)
{
  std::vector<std::pair<MetricsPage::Labels, std::uint64_t>> values;
  for (std::size_t outcome = 0; outcome < kRequestOutcomeCount; ++outcome) {
    for (std::size_t reason = 0; reason < kRequestReasonCount; ++reason) {
      const std::uint64_t count = aStats.outcomes[outcome][reason];
      if (count == 0) {
        continue;
      }
      values.push_back({ { { "outcome", ToString(static_cast<RequestOutcome>(outcome)) },
                           { "reason", ToString(static_cast<RequestReason>(reason)) } },
                         count });
    }
  }
  aPage.AddCounters("requests_total", "requests run here by outcome and reason", values);
}

void
AddQuery(MetricsPage& aPage, const QueryStats& aStats)
{
  aPage.AddCounter("leaf_first_attempts_total", "first attempts at leafs", aStats.firstAttempts);
  aPage.AddCounter("leaf_hedges_total", "hedged attempts", aStats.hedges);
  aPage.AddCounter("leaf_hedges_held_total", "hedges that the budget refused", aStats.hedgesSuppressed);
  aPage.AddCounter("leaf_retries_total", "retries", aStats.retries);
  aPage.AddCounter("leaf_probes_total", "probes of excluded replicas", aStats.probes);
  aPage.AddCounter("leaf_sheds_total", "attempts that leafs shed", aStats.leafSheds);
  aPage.AddCounter("shed_total", "requests that this node shed", aStats.sheds);
  aPage.AddCounter("replans_total", "queries planned anew", aStats.replans);
  aPage.AddCounter("partial_answers_total", "answers without full coverage", aStats.partialAnswers);
  aPage.AddCounter(
    "mismatched_parts_total", "parts of another snapshot, discarded", aStats.mismatchedReplies);
  AddOutcomes(aPage, aStats);
  aPage.AddHistogram("answer_seconds", "time to the answer", aStats.latency);
}

void
AddLeafs(MetricsPage& aPage, const LeafPoolCounters& aCounters)
{
  aPage.AddCounter("leaf_requests_written_total", "requests written to leafs", aCounters.written);
  aPage.AddCounter("leaf_connections_opened_total", "connections opened to leafs", aCounters.opened);
  aPage.AddCounter("leaf_connections_refused_total", "refused or failed connects", aCounters.refused);
  aPage.AddCounter("leaf_replies_discarded_total", "replies that did not match", aCounters.discarded);
  aPage.AddGauge("leaf_connections", "open connections to leafs", static_cast<double>(aCounters.open));
}

void
AddPeers(MetricsPage& aPage, const PeerCounters& aCounters)
{
  aPage.AddCounter("peer_frames_in_total", "frames from peers", aCounters.framesIn);
  aPage.AddCounter("peer_frames_out_total", "frames to peers", aCounters.framesOut);
  aPage.AddCounter("peer_bytes_in_total", "bytes of frames from peers", aCounters.bytesIn);
  aPage.AddCounter("peer_bytes_out_total", "bytes of frames to peers", aCounters.bytesOut);
  aPage.AddCounter("peer_malformed_frames_total", "frames that closed their link", aCounters.malformedFrames);
  aPage.AddGauge("peer_links", "established links", static_cast<double>(aCounters.links));
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
  MetricsPage page;
  page.AddGauge("ticket_in_force", "ticket in force", static_cast<double>(this->control.Store().InForce()));
  page.AddGauge("serving", "1 while callers are served", this->node.serving.Serving() ? 1 : 0);
  page.AddCounter("broken_invariants_total", "invariants found broken", BrokenInvariants());
  AddEntry(page, this->node.entryStats);
  AddQuery(page, this->node.queryNode->Stats());
  AddLeafs(page, this->pools.Counters());
  AddPeers(page, this->control.Peers().Counters());
  return page.Text();
}

} // namespace yp
