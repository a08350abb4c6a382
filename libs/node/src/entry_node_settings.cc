#include "node/entry_node_settings.h"

#include "settings/schema.h"

namespace knapweedstile::node {
namespace {

void BindHttp(settings::Schema& schema, http::ServerSettings* http) {
  schema.Integer("callers.max_connections", "connections",
                 "Callers' connections held at once.", &http->max_connections,
                 1, 1'000'000);
  schema.Integer("callers.max_header_bytes", "bytes",
                 "Request line and headers of one request.",
                 &http->max_header_bytes, 1024, 1 << 20);
  schema.Integer("callers.max_body_bytes", "bytes", "Body of one request.",
                 &http->max_body_bytes, 1024, 1LL << 30);
  schema.Millis("callers.header_timeout",
                "Within which a request's headers must have arrived.",
                &http->header_timeout, 10, 600'000);
  schema.Millis("callers.body_timeout",
                "Within which a request's body must have arrived.",
                &http->body_timeout, 10, 3'600'000);
  schema.Millis("callers.idle_timeout",
                "After which a connection without a request is closed.",
                &http->idle_timeout, 10, 3'600'000);
}

void BindBatch(settings::Schema& schema, EntryNodeSettings* settings) {
  schema.Integer("batch.shards", "shards",
                 "Job shards of the fleet; the same on every entry.",
                 &settings->shard_count, 1, 4096);
  schema.Integer("batch.max_items", "items", "Items of one job.",
                 &settings->max_items, 1, 130'000);
  schema.Millis("batch.submit_deadline",
                "Within which a job must be durable, or the caller is told "
                "that it is not.",
                &settings->submit_deadline, 100, 600'000);
  schema.Millis("batch.lease_term",
                "How long a shard's lease stands without a write; a lost "
                "owner's items wait this long.",
                &settings->lease_term, 500, 600'000);
  schema.Millis("batch.flush_every", "Results are committed at least so often.",
                &settings->flush_every, 20, 60'000);
  schema.Millis("batch.poll_jobs_every",
                "How soon a job that was submitted elsewhere is seen.",
                &settings->poll_jobs_every, 50, 60'000);
  schema.Integer("batch.max_attempts", "attempts",
                 "Runs of one item that may end in a crash, a lost connection "
                 "or a timeout, before it ends with its own error.",
                 &settings->max_attempts, 1, 100);
}

}  // namespace

jobs::ShardOwnerSettings ShardOwnerSettingsOf(
    const EntryNodeSettings& settings) {
  // Ratios of the jobs package's own defaults: renewals at a third of the
  // term, so that two may fail; polls and margin in proportion.
  jobs::ShardOwnerSettings owner;
  owner.lease.term = settings.lease_term;
  owner.lease.renew_after = settings.lease_term / 3;
  owner.lease.poll_every = settings.lease_term / 4;
  owner.lease.margin = settings.lease_term / 10;
  owner.lease.call_timeout = settings.lease_term / 5;
  owner.poll_jobs_every = settings.poll_jobs_every;
  owner.flush_every = settings.flush_every;
  owner.max_attempts = settings.max_attempts;
  return owner;
}

void BindEntryNodeSettings(settings::Schema& schema,
                           EntryNodeSettings* settings) {
  using settings::Presence;
  BindNodeSettings(schema, &settings->node);
  schema.Address("callers.listen", "Listener for callers.",
                 &settings->callers_listen);
  BindHttp(schema, &settings->http);
  schema.Millis("callers.online_deadline",
                "Deadline of an online answer's first token, unless the caller "
                "says otherwise with X-Deadline-Ms.",
                &settings->online_deadline, 10, 3'600'000);
  schema.Flag("callers.require_workspace",
              "Refuse requests whose workspace is not an object in force.",
              &settings->require_workspace);
  schema.Integer("callers.default_max_tokens", "tokens",
                 "Used when a request names no max_tokens.",
                 &settings->default_max_tokens, 1, 1'000'000);
  schema.Integer("callers.most_max_tokens", "tokens",
                 "The largest max_tokens that is accepted.",
                 &settings->most_max_tokens, 1, 1'000'000);
  schema.AddressList("platform.addresses", "Servers of the platform's API.",
                     &settings->platform_addresses, Presence::kRequired);
  schema.Millis("platform.vm_list_period", "Between reads of the VM list.",
                &settings->vm_list_period, 50, 600'000);
  schema.Millis("platform.watch_wait", "How long one watch call waits.",
                &settings->watch_wait, 100, 600'000);
  schema.Millis("platform.watch_gap",
                "Between two watches of one relay: bounds its calls when "
                "changes are many.",
                &settings->watch_gap, 0, 60'000);
  schema.Integer("fleet.relays", "entries",
                 "Entries of each availability zone that watch the platform.",
                 &settings->relays, 1, 64);
  schema.Integer("fleet.servers_per_target", "backend servers",
                 "Backend servers of one model or service that this entry "
                 "connects to; 0: all.",
                 &settings->servers_per_target, 0, 10'000);
  schema.Millis("fleet.forget_after",
                "A VM that is absent from the list for this long and not "
                "connected is forgotten.",
                &settings->forget_after, 100, 86'400'000);
  schema.Millis("platform.deadline", "Deadline of one other call.",
                &settings->platform_deadline, 50, 60'000);
  BindBatch(schema, settings);
  schema.Integer("queue.limit", "requests", "Requests waiting in this entry.",
                 &settings->scheduler.queue_limit, 1, 1'000'000);
  schema.Integer("queue.workspace_limit", "requests",
                 "Requests of one workspace waiting in this entry.",
                 &settings->scheduler.workspace_queue_limit, 1, 1'000'000);
  schema.Integer(
      "queue.longest_wait_percent", "percent",
      "Share of its deadline that a request may be expected to wait; "
      "beyond, it is refused at once.",
      &settings->scheduler.longest_wait_percent, 1, 100);
}

}  // namespace knapweedstile::node
