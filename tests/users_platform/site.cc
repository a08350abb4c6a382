#include "users_platform/site.h"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <boost/asio/steady_timer.hpp>
#include <fstream>
#include <regex>
#include <stdexcept>

#include "base/clock.h"

namespace knapweedstile::users_site {
namespace {

constexpr uint64_t kFirstStartMs = 1770000000000;

namespace json = boost::json;

constexpr char kLoopback[] = "127.0.0.1:";

std::string ReadTemplate() { return harness::ReadFile(KNAP_SETTINGS_TEMPLATE); }

std::string Replace(std::string text, const std::string& field,
                    const std::string& value) {
  const std::string placeholder = "{{" + field + "}}";
  for (size_t at = text.find(placeholder); at != std::string::npos;
       at = text.find(placeholder, at)) {
    text.replace(at, placeholder.size(), value);
  }
  return text;
}

json::object StreamRoute(const std::string& name, const std::string& prefix,
                         bool resumable, int attempts) {
  return {{"name", name},
          {"host", kHost},
          {"path_prefix", prefix},
          {"kind", "stream"},
          {"timeout_ms", 3000},
          {"target_latency_ms", 300},
          {"priority", 0},
          {"service", "llm"},
          {"max_attempts", attempts},
          {"resumable", resumable},
          {"gap_aim_ms", 400}};
}

json::object PlainRoute(const std::string& name, const std::string& prefix,
                        const std::string& kind, int attempts) {
  return {{"name", name},  {"host", kHost},      {"path_prefix", prefix},
          {"kind", kind},  {"timeout_ms", 2000}, {"target_latency_ms", 100},
          {"priority", 1}, {"service", "app"},   {"max_attempts", attempts}};
}

bool CanBind(int port, int type) {
  const int fd = ::socket(AF_INET, type, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<uint16_t>(port));
  address.sin_addr.s_addr = ::inet_addr("127.0.0.1");
  const bool bound =
      ::bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0;
  ::close(fd);
  return bound;
}

}  // namespace

Site::Site() : store_(caller_.io()) {}

// Ports lie below the range of ephemeral ports, so that no outgoing connection
// takes an address while its process restarts. The start depends on the process
// id, so that test programs that run in parallel rarely probe the same ports.
uint16_t Site::FreePort() {
  constexpr int kFirst = 10000;
  constexpr int kCount = 20000;
  constexpr int kStride = 151;
  if (last_port_ == 0) last_port_ = kFirst + ::getpid() * kStride % kCount;
  for (int tries = 0; tries < kCount; ++tries) {
    last_port_ = kFirst + (last_port_ + 1 - kFirst) % kCount;
    if (CanBind(last_port_, SOCK_STREAM) && CanBind(last_port_, SOCK_DGRAM)) {
      return static_cast<uint16_t>(last_port_);
    }
  }
  throw std::runtime_error("no free port on loopback");
}

void Site::PutServer(const ModelServer& server, const std::string& service,
                     int slots, const std::string& state) {
  store_.Put("servers", server.instance(),
             json::object{{"service", service},
                          {"address", interpose("server/" + server.instance(),
                                                server.address())},
                          {"zone", "zone-a"},
                          {"version", server.software},
                          {"slots", slots},
                          {"state", state},
                          {"born", started_ms_[server.instance()]},
                          {"sequence", 1}});
}

void Site::RegisterNewProcess(const ModelServer& server) {
  ++started_ms_[server.instance()];
  MarkReady(server);
}

ModelServer& Site::AddServer(const std::string& service,
                             const std::string& instance, int slots) {
  servers_.push_back(std::make_unique<ModelServer>(caller_.io(), instance));
  servers_.back()->software = software;
  registrations_[instance] = {service, slots};
  started_ms_[instance] = kFirstStartMs;
  PutServer(*servers_.back(), service, slots, "ready");
  return *servers_.back();
}

void Site::MarkDraining(const ModelServer& server) {
  const Registration& registration = registrations_.at(server.instance());
  PutServer(server, registration.service, registration.slots, "draining");
}

void Site::MarkReady(const ModelServer& server) {
  const Registration& registration = registrations_.at(server.instance());
  PutServer(server, registration.service, registration.slots, "ready");
}

void Site::RestartServer(ModelServer& server, const std::string& instance) {
  registrations_[instance] = registrations_.at(server.instance());
  server.Restart(instance);
}

void Site::CrashServer(ModelServer& server) {
  constexpr std::chrono::milliseconds kDowntime{500};
  const std::string previous = server.instance();
  RestartServer(server, previous + "+");
  auto timer = std::make_shared<boost::asio::steady_timer>(caller_.io());
  timer->expires_after(kDowntime);
  timer->async_wait(
      [this, timer, previous, &server](const boost::system::error_code&) {
        store_.Remove("servers", previous);
        MarkReady(server);
      });
}

void Site::RemoveServer(const ModelServer& server) {
  store_.Remove("servers", server.instance());
}

void Site::Configure(int version, const json::object& changes) {
  json::object batch = {{"name", "summaries"},
                        {"host", kHost},
                        {"path_prefix", "/summaries/"},
                        {"kind", "batch"},
                        {"timeout_ms", 15000},
                        {"target_latency_ms", 400},
                        {"service", "llm"},
                        {"max_attempts", 2},
                        {"completion_target_ms", 18000},
                        {"queue_ttl_s", 60},
                        {"max_count", 100000}};
  for (const auto& [name, value] : changes) batch[name] = value;
  json::array routes = {StreamRoute("query", "/query/", false, 1),
                        StreamRoute("reply", "/reply/", true, 2),
                        PlainRoute("ping", "/ping/", "idempotent", 2),
                        PlainRoute("book", "/book/", "non_idempotent", 2),
                        batch};
  if (native_api) {
    routes.push_back(StreamRoute("completions", "/v1/", true, 2));
    json::object batches = batch;
    batches["name"] = "batches";
    batches["path_prefix"] = "/v1/batches/";
    routes.push_back(std::move(batches));
  }
  for (const std::string& name : extra_routes) {
    routes.push_back(StreamRoute(name, "/" + name + "/", false, 1));
  }
  for (json::value& route : routes) {
    const std::string name(route.at("name").as_string());
    route.as_object()["public"] = public_routes.contains(name);
    if (backends.empty() || route.at("service") != "llm") continue;
    route.as_object()["service"] = "";
    route.as_object()["backends"] = backends;
  }
  json::object configuration = {
      {"version", version},
      {"routes", std::move(routes)},
      {"services", json::array{json::object{{"name", "llm"}},
                               json::object{{"name", kSecondService}},
                               json::object{{"name", "app"}}}},
      {"limits", json::object{{"max_header_bytes", max_header_bytes},
                              {"max_body_bytes", max_body_bytes},
                              {"header_timeout_ms", 1000},
                              {"idle_timeout_ms", 5000}}}};
  if (workspaces) configuration["tenants"] = *workspaces;
  store_.Put("config", "main", configuration);
}

std::string Site::WriteSettings(const std::string& name) {
  const std::string listens = kLoopback + std::to_string(FreePort());
  caller_addresses_[name] = interpose("callers/" + name, listens);
  admin_addresses_[name] = kLoopback + std::to_string(FreePort());
  std::string text = ReadTemplate();
  text = std::regex_replace(
      text, std::regex(R"(\{\{[#/](listen|bounds|limits|provider)\.\w+\}\}\n)"),
      "");
  text = Replace(text, "node_name", name);
  text = Replace(text, "ip", "127.0.0.1");
  text = Replace(text, "limits.cpu_share", "1");
  text = Replace(text, "limits.memory_mb", std::to_string(memory_mb));
  text = Replace(text, "limits.max_fds", std::to_string(max_descriptors));
  text = Replace(text, "provider.history_s", "20");
  text = Replace(text, "zone", zone_of(name));
  text = Replace(text, "listen.front", listens);
  text = Replace(text, "listen.ready", admin_addresses_[name]);
  const std::string peer_port = std::to_string(FreePort());
  peer_addresses_[name] = kLoopback + peer_port;
  text = Replace(text, "port_range.0", peer_port);
  const std::string& store =
      use_second_store_address ? store_.second_address() : store_.address();
  text = Replace(text, "provider.address", interpose("store/" + name, store));
  text = Replace(text, "heartbeat_ms", std::to_string(heartbeat_ms));
  text = Replace(text, "bounds.status_s", std::to_string(retention_s));
  text = Replace(text, "bounds.grace_s", "4.5");
  text = Replace(text, "bounds.quota_window_s", "5");
  text = Replace(text, "bounds.quota_overage", "0.1");
  text = Replace(text, "bounds.quota_slack", "20");
  text = Replace(text, "bounds.revoke_strict", "false");
  text = Replace(text, "bounds.revoke_ms", "5000");
  const std::string section = "[workspaces]\n";
  text.insert(text.find(section) + section.size(), workspace_settings);
  text += further_settings;
  std::string file = folder_.File(name + ".toml");
  std::ofstream(file) << text;
  return file;
}

void Site::StartGateway(const std::string& name) {
  WriteSettings(name);
  StartProcess(name);
}

void Site::RestartGateway(const std::string& name) { StartProcess(name); }

void Site::StartProcess(const std::string& name) {
  processes_.erase(name);
  const int start = ++start_counts_[name];
  const std::string log =
      start == 1 ? name : name + "." + std::to_string(start);
  processes_[name] = std::make_unique<harness::Process>(
      folder_, log, harness::Program::kKnapweedstile,
      std::vector<std::string>{"gateway", "--config",
                               folder_.File(name + ".toml")},
      environment(name));
}

void Site::StartStore(const std::string& name) {
  processes_[name] = std::make_unique<harness::Process>(
      folder_, name, harness::Program::kKnapweedstile,
      std::vector<std::string>{"store", "--config", WriteSettings(name)});
}

void Site::AddGateway(const std::string& name) {
  StartGateway(name);
  if (!caller_.GetUntil(
          admin_addresses_[name], "/-/readiness",
          [](const http::EndEvent& end) { return end.status == 200; })) {
    throw std::runtime_error(
        "gateway " + name + " did not become ready: " + process(name).output());
  }
}

bool Site::Ready(const std::string& gateway) {
  return caller_.Get(admin_addresses_.at(gateway), "/-/readiness").status ==
         200;
}

std::string Site::Metrics(const std::string& gateway) {
  return caller_.Get(admin_addresses_.at(gateway), "/metrics").body;
}

std::string Site::Status(const std::string& gateway) {
  return caller_.Get(admin_addresses_.at(gateway), "/status").body;
}

std::string Site::RunKnapctl(const std::vector<std::string>& arguments,
                             int* exit_code) {
  harness::Process command(folder_,
                           "knapctl-" + std::to_string(++command_count_),
                           harness::Program::kKnapctl, arguments);
  caller_.RunUntil([&] { return !command.running(); });
  *exit_code = command.exit_code();
  return command.output() + command.errors();
}

http::ClientRequest Site::OnlineRequest(const std::string& gateway,
                                        const std::string& method,
                                        const std::string& target,
                                        const std::string& id,
                                        int64_t budget_ms) const {
  http::ClientRequest request;
  request.address = caller_addresses_.at(gateway);
  request.method = method;
  request.target = target;
  request.headers.Add("Host", kHost);
  request.headers.Add("Request-Id", id);
  request.headers.Add("Request-Deadline", std::to_string(budget_ms));
  request.headers.Add("Model", "m");
  if (method == "POST") request.body = "prompt of " + id;
  return request;
}

http::ClientRequest Site::JobRequest(const std::string& gateway,
                                     const std::string& id, int items,
                                     int tokens) const {
  json::array list;
  for (int i = 0; i < items; ++i) {
    const std::string item = id + "-" + std::to_string(i);
    list.push_back(json::object{{"id", item},
                                {"path", "/summaries/" + item},
                                {"headers", json::object{{"Model", "m"}}},
                                {"body", "aGVsbG8="},  // hello
                                {"tokens", tokens}});
  }
  http::ClientRequest request =
      OnlineRequest(gateway, "POST", "/summaries/new", id);
  request.body = json::serialize(json::object{{"items", std::move(list)}});
  return request;
}

http::EndEvent Site::Call(http::ClientRequest&& request) {
  return caller_.Call(std::move(request));
}

http::EndEvent Site::Results(const std::string& gateway, const std::string& job,
                             int after, int wait_ms) {
  http::ClientRequest request;
  request.address = caller_addresses_.at(gateway);
  request.target = "/-/lots/" + job + "?after=" + std::to_string(after);
  request.headers.Add("Host", kHost);
  if (wait_ms > 0) request.headers.Add("Poll-Wait", std::to_string(wait_ms));
  return caller_.Call(std::move(request));
}

http::EndEvent Site::EndJob(const std::string& gateway,
                            const std::string& job) {
  http::ClientRequest request;
  request.address = caller_addresses_.at(gateway);
  request.method = "DELETE";
  request.target = "/-/lots/" + job;
  request.headers.Add("Host", kHost);
  return caller_.Call(std::move(request));
}

json::object Site::WaitForResults(const std::string& gateway,
                                  const std::string& job, size_t count) {
  constexpr std::chrono::seconds kTimeout{30};
  const TimePoint deadline = MonotonicNow() + kTimeout;
  json::object page;
  while (MonotonicNow() < deadline) {
    const http::EndEvent end = Results(gateway, job, 0, 0);
    if (end.status == 200) {
      page = json::parse(end.body).as_object();
      if (page.at("results").as_array().size() >= count) return page;
    }
    caller_.RunFor(std::chrono::milliseconds(30));
  }
  return page;
}

}  // namespace knapweedstile::users_site
