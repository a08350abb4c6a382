#include "gateway_metrics.h"

#include "observe/metrics.h"

namespace knapweedstile::gateway {

void DeclareMetrics(observe::Metrics& metrics) {
  metrics.DeclareCounter("knap_requests_total",
                         "online requests by route and outcome",
                         {"route", "outcome"});
  metrics.DeclareCounter("knap_turned_away_total", "rejected requests by cause",
                         {"cause"});
  metrics.DeclareCounter(
      "knap_workspace_refused_total",
      "requests over their workspace's rate limit, by verdict",
      {"workspace", "verdict"});
  metrics.DeclareHistogram("knap_request_seconds",
                           "from arrival to the last response byte", {"route"});
  metrics.DeclareHistogram("knap_first_event_seconds",
                           "from arrival to a stream's first event",
                           {"route", "policy"});
  metrics.DeclareGauge("knap_waiting",
                       "online requests that wait at this gateway for a slot");
  metrics.DeclareHistogram("knap_waited_seconds",
                           "wait at this gateway of requests that got a slot");
  metrics.DeclareCounter(
      "knap_wait_rejected_total",
      "requests without a slot that did not wait, or no longer, by cause",
      {"cause"});
  metrics.DeclareGauge("knap_returns_promised",
                       "rejected callers that were asked to return later");
  metrics.DeclareCounter("knap_returns_total",
                         "callers that returned as asked, or not here",
                         {"outcome"});
  metrics.DeclareCounter("knap_jobs_total", "submissions by outcome",
                         {"outcome"});
  metrics.DeclareCounter("knap_items_total",
                         "finished items by state and sharing policy",
                         {"state", "policy"});
  metrics.DeclareCounter("knap_items_requeued_total",
                         "runs that ended without a result, by reason",
                         {"reason"});
  metrics.DeclareCounter("knap_job_calls_forwarded_total",
                         "calls forwarded to a gateway that holds the job",
                         {"outcome"});
  metrics.DeclareCounter(
      "knap_outline_calls_total",
      "reads that needed bytes of a job known in outline, by where they went",
      {"outcome"});
  metrics.DeclareCounter("knap_result_writes_rejected_total",
                         "writes of results that the store rejected for good",
                         {"record"});
  metrics.DeclareCounter(
      "knap_records_found_total",
      "records pushed to the peers that no gateway had announced");
  metrics.DeclareGauge("knap_jobs_known", "batch jobs in memory, by form",
                       {"form"});
  metrics.DeclareGauge("knap_job_bytes",
                       "estimated memory of the batch jobs in memory");
  metrics.DeclareGauge("knap_jobs_handed_over",
                       "1 while this gateway starts no items of its jobs and "
                       "its peers do");
  metrics.DeclareCounter("knap_jobs_deleted_unseen_total",
                         "jobs removed as a list of the store lacks them");
  metrics.DeclareCounter("knap_peer_bytes_total",
                         "bytes queued for other gateways, by cause",
                         {"cause"});
  metrics.DeclareGauge("knap_configuration_version",
                       "configuration version in effect");
  metrics.DeclareGauge("knap_configuration_age_seconds",
                       "time since the configuration was known to be current; "
                       "0 while it is");
  metrics.DeclareGauge("knap_servers", "backend servers known");
  metrics.DeclareCounter(
      "knap_foreign_responses_total",
      "responses of backend servers to other requests than the one sent");
  metrics.DeclareCounter("knap_invalid_responses_total",
                         "responses of backend servers that were given up as "
                         "malformed or too long");
  metrics.DeclareGauge("knap_servers_avoided",
                       "backend servers avoided because they fail");
  metrics.DeclareGauge(
      "knap_server_pace",
      "time per step of the slowest and the fastest server, relative to the "
      "median of its service",
      {"server"});
  metrics.DeclareGauge("knap_store_available", "1 while the store answers");
  metrics.DeclareGauge("knap_store_calls", "calls to the store so far");
  metrics.DeclareGauge("knap_store_objects_unreadable",
                       "objects read from the store so far of which a part "
                       "could not be parsed");
  metrics.DeclareGauge("knap_store_reader",
                       "1 while this gateway reads the store for its cell");
  metrics.DeclareGauge("knap_cell_entries",
                       "gateways in this cell, including this one");
  metrics.DeclareGauge("knap_online_open", "online requests in progress");
  metrics.DeclareGauge("knap_stream_origins",
                       "streams whose software version is known here");
  metrics.DeclareCounter("knap_streams_resumed_total",
                         "streams that callers took up again, by outcome",
                         {"outcome"});
  metrics.DeclareGauge("knap_prompt_parts_quarantined",
                       "parts of prompts that crash servers; requests with one "
                       "are rejected");
  metrics.DeclareGauge("knap_server_processes_ended",
                       "backend servers' processes that this gateway or a "
                       "peer saw end under requests in the last minute");
  metrics.DeclareCounter("knap_prompt_part_trials_total",
                         "requests that were sent to try a quarantined part");
  metrics.DeclareGauge("knap_items_running", "batch items in progress");
  metrics.DeclareGauge("knap_items_waiting",
                       "items of this gateway's jobs that wait to be run: "
                       "ready, paused, or held as it starts no items of them",
                       {"state"});
  metrics.DeclareGauge("knap_connections_gave_way",
                       "callers' connections with an incomplete request or "
                       "response that were given up for others");
  metrics.DeclareGauge("knap_connection_bytes",
                       "estimated memory that callers' connections hold");
  metrics.DeclareGauge("knap_connections_closed_unread",
                       "connections closed unread so far, for peers to take");
  metrics.DeclareGauge("knap_processor_headroom",
                       "share of the processor time left, 0 to 1");
  metrics.DeclareCounter("knap_processor_short_total",
                         "times this process became short of processor time");
  metrics.DeclareGauge("knap_entries_heard", "active peers");
  metrics.DeclareGauge("knap_fleet_members", "registered gateways");
  metrics.DeclareGauge("knap_fleet_cells_departed",
                       "cells of the layout whose shards others hold");
  metrics.DeclareCounter("knap_cell_claims_total",
                         "records of claims that this gateway has written, by "
                         "their state",
                         {"state"});
  metrics.DeclareGauge("knap_fleet_shards",
                       "shards of batch jobs; 1: each gateway holds all jobs");
}

}  // namespace knapweedstile::gateway
