// What the transport costs: processor time for a heartbeat, a request stream
// and an event of a stream, and memory for a connection and an open stream.
// Both ends run in this process on one thread; figures are for the two ends
// together unless said otherwise.

#include <fmt/format.h>
#include <malloc.h>
#include <sys/resource.h>

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <functional>
#include <string>
#include <variant>
#include <vector>

#include "base/clock.h"
#include "wire/transport.h"

namespace knapweedstile::wire {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Length prefix and frame header before each message.
constexpr size_t kFraming = 4 + 9;

double ProcessorMicros() {
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  const auto micros = [](const timeval& t) {
    return static_cast<double>(t.tv_sec) * 1e6 + static_cast<double>(t.tv_usec);
  };
  return micros(usage.ru_utime) + micros(usage.ru_stime);
}

size_t HeldBytes() { return mallinfo2().uordblks; }

TransportSettings Settings(const char* node, Duration heartbeat) {
  TransportSettings settings;
  settings.hello.set_node(node);
  settings.heartbeat_period =
      std::chrono::duration_cast<milliseconds>(heartbeat);
  settings.silence_limit = seconds(60);
  settings.max_streams = 100000;
  return settings;
}

// An entry with some connections to one sidecar that answers every request.
struct Bench {
  Bench(size_t connections, Duration heartbeat)
      : sidecar(io, Settings("sidecar", heartbeat),
                [this](TransportEvent&& e) { return OnSidecar(e); }),
        entry(io, Settings("entry", heartbeat),
              [this](TransportEvent&& e) { return OnEntry(e); }) {
    const Result<uint16_t> port = sidecar.Listen("127.0.0.1:0");
    if (!port) return;
    const std::string address = "127.0.0.1:" + std::to_string(port.value());
    for (size_t i = 1; i <= connections; ++i) {
      entry.Execute(ConnectCommand{PeerId(i), address});
    }
    Until([&] { return up == 2 * connections; });
  }

  template <typename Done>
  void Until(Done done) {
    while (!done()) io.run_one();
  }

  bool OnSidecar(const TransportEvent& event) {
    Count(event);
    if (const auto* request = std::get_if<StreamOpenedEvent>(&event)) {
      opened.push_back(request->stream);
      if (answer_at_once) Send(request->stream, true);
    }
    return true;
  }
  bool OnEntry(const TransportEvent& event) {
    Count(event);
    if (const auto* output = std::get_if<StreamEvent>(&event)) {
      ++events;
      if (output->last) ++finished;
    }
    return true;
  }
  void Count(const TransportEvent& event) {
    if (std::holds_alternative<PeerUpEvent>(event)) ++up;
    if (std::holds_alternative<ControlEvent>(event)) ++heartbeats;
  }
  void Open(uint64_t stream, size_t body) {
    OpenStreamCommand command{PeerId(1), StreamId(stream), {}};
    command.request.set_request_id(std::to_string(stream));
    command.request.set_body(std::string(body, 'b'));
    entry.Execute(std::move(command));
  }
  void Send(StreamId stream, bool last) {
    SendEventCommand command{stream, {}, last};
    command.event.mutable_output()->set_data("token ");
    command.event.mutable_output()->set_tokens(1);
    sidecar.Execute(std::move(command));
  }

  boost::asio::io_context io;
  bool answer_at_once = false;
  size_t up = 0;
  size_t heartbeats = 0;
  size_t events = 0;
  size_t finished = 0;
  std::vector<StreamId> opened;
  Transport sidecar;
  Transport entry;
};

void MeasureHeartbeats() {
  for (const size_t connections : {10, 100, 400}) {
    Bench bench(connections, milliseconds(20));
    const size_t before = bench.heartbeats;
    const double micros = ProcessorMicros();
    const size_t wanted = connections * 100;
    bench.Until([&] { return bench.heartbeats - before >= wanted; });
    fmt::print("heartbeat, {} connections: {:.1f} us to send and receive one\n",
               connections,
               (ProcessorMicros() - micros) / static_cast<double>(wanted));
  }
  pb::Control control;
  pb::Heartbeat& heartbeat = *control.mutable_heartbeat();
  heartbeat.set_sequence(100000);
  heartbeat.set_wall_clock_nanos(WallClockNanos());
  heartbeat.set_echo_sequence(100000);
  heartbeat.set_echo_hold_nanos(250000000);
  heartbeat.set_config_revision(1000000);
  heartbeat.set_config_digest(~uint64_t{0} >> 1);
  heartbeat.set_config_ready(true);
  fmt::print("heartbeat of an entry: {} bytes\n",
             control.ByteSizeLong() + kFraming);
  heartbeat.set_backend_server_healthy(true);
  heartbeat.mutable_load()->set_slots(32);
  heartbeat.mutable_load()->set_online_running(16);
  heartbeat.mutable_load()->set_batch_running(16);
  heartbeat.mutable_load()->set_batch_waiting(200);
  heartbeat.mutable_load()->set_age_ms(300);
  fmt::print("heartbeat of a sidecar: {} bytes\n",
             control.ByteSizeLong() + kFraming);
}

void MeasureStreams() {
  constexpr size_t kStreams = 40000;
  constexpr size_t kAtOnce = 100;
  for (const size_t body : {200, 4000}) {
    Bench bench(1, seconds(10));
    bench.answer_at_once = true;
    const double micros = ProcessorMicros();
    for (size_t i = 0; i < kStreams; i += kAtOnce) {
      for (size_t k = 1; k <= kAtOnce; ++k) bench.Open(i + k, body);
      bench.Until([&] { return bench.finished == i + kAtOnce; });
    }
    fmt::print("request stream, body {} bytes, one event: {:.1f} us\n", body,
               (ProcessorMicros() - micros) / kStreams);
  }
}

void MeasureEvents() {
  constexpr size_t kEvents = 100000;
  for (const size_t streams : {1, 20, 200}) {
    Bench bench(1, seconds(10));
    for (size_t i = 1; i <= streams; ++i) bench.Open(i, 200);
    bench.Until([&] { return bench.opened.size() == streams; });
    const double micros = ProcessorMicros();
    while (bench.events < kEvents) {
      const size_t wanted = bench.events + streams;
      for (const StreamId stream : bench.opened) bench.Send(stream, false);
      bench.Until([&] { return bench.events == wanted; });
    }
    fmt::print("token event, {} written together: {:.2f} us\n", streams,
               (ProcessorMicros() - micros) / kEvents);
  }
}

void MeasureMemory() {
  constexpr size_t kConnections = 300;
  constexpr size_t kStreams = 20000;
  const size_t empty = HeldBytes();
  Bench bench(kConnections, seconds(10));
  const size_t connected = HeldBytes();
  fmt::print("connection: {} bytes an end\n",
             (connected - empty) / kConnections / 2);
  for (size_t i = 1; i <= kStreams; ++i) bench.Open(i, 200);
  bench.Until([&] { return bench.opened.size() == kStreams; });
  bench.opened.shrink_to_fit();
  fmt::print("open request stream: {} bytes, both ends\n",
             (HeldBytes() - connected) / kStreams);
}

}  // namespace
}  // namespace knapweedstile::wire

int main() {
  knapweedstile::wire::MeasureHeartbeats();
  knapweedstile::wire::MeasureStreams();
  knapweedstile::wire::MeasureEvents();
  knapweedstile::wire::MeasureMemory();
}
