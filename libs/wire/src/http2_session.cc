#include "http2_session.h"

#include <nghttp2/nghttp2.h>

#include <array>
#include <cstdlib>
#include <utility>

#include "message_frame.h"

namespace knapweedstile::wire {
namespace {

constexpr std::string_view kControlPath = "/control";
constexpr std::string_view kRunPath = "/run";

// A stream may send this much before its reader has taken it; a token event is
// some fifty bytes and a prompt a few kilobytes, so that a stream never waits
// for a window on a healthy connection.
constexpr uint32_t kStreamWindow = 1 << 20;
// Of the whole connection: 4,096 streams with 16 KB each under way.
constexpr int32_t kConnectionWindow = 64 << 20;
// What the protocol allows; the bound that counts is max_streams, which answers
// with REFUSED_STREAM instead of letting requests wait unseen in the opener.
constexpr uint32_t kAnnouncedStreams = 0x7fffffff;
// nghttp2 closes a connection whose opener resets more than 33 streams a
// second, a guard against hostile callers. The other ends here are processes of
// the system, which cancel every batch stream of a connection at once when
// online requests arrive.
constexpr uint64_t kResetBurst = 1 << 20;
constexpr uint64_t kResetsPerSecond = 1 << 20;
// Bytes of incomplete messages kept for one connection, in multiples of what
// the other end may have unsent. Messages that travel at once are each partly
// here and partly there, about half and half.
constexpr size_t kWaitingFactor = 4;

nghttp2_nv HeaderField(std::string_view name, std::string_view value) {
  // nghttp2 copies both; its interface lacks the const.
  return {
      reinterpret_cast<uint8_t*>(const_cast<char*>(name.data())),
      reinterpret_cast<uint8_t*>(const_cast<char*>(value.data())),
      name.size(),
      value.size(),
      NGHTTP2_NV_FLAG_NONE,
  };
}

template <typename Message>
bool Parse(std::string_view payload, Message& message) {
  return message.ParseFromArray(payload.data(),
                                static_cast<int>(payload.size()));
}

bool EndsStream(const nghttp2_frame* frame) {
  return (frame->hd.flags & NGHTTP2_FLAG_END_STREAM) != 0;
}

}  // namespace

// The C callbacks of nghttp2; each only finds its session and hands on.
struct Http2Session::Callbacks {
  static Http2Session& Self(void* user) {
    return *static_cast<Http2Session*>(user);
  }
  static int Verdict(bool ok) { return ok ? 0 : NGHTTP2_ERR_CALLBACK_FAILURE; }

  static int OnBeginHeaders(nghttp2_session*, const nghttp2_frame* frame,
                            void* user) {
    if (frame->headers.cat != NGHTTP2_HCAT_REQUEST) return 0;
    return Verdict(Self(user).AddAcceptedStream(frame->hd.stream_id));
  }

  static int OnHeader(nghttp2_session*, const nghttp2_frame* frame,
                      const uint8_t* name, size_t name_size,
                      const uint8_t* value, size_t value_size, uint8_t,
                      void* user) {
    const std::string_view key(reinterpret_cast<const char*>(name), name_size);
    if (key != ":path") return 0;
    const std::string_view path(reinterpret_cast<const char*>(value),
                                value_size);
    return Verdict(Self(user).SetPath(frame->hd.stream_id, path));
  }

  static int OnFrame(nghttp2_session*, const nghttp2_frame* frame, void* user) {
    Http2Session& self = Self(user);
    const int32_t number = frame->hd.stream_id;
    if (frame->hd.type == NGHTTP2_DATA) {
      return Verdict(self.EndData(number, EndsStream(frame)));
    }
    // The other end takes no new streams; those that are open go on.
    if (frame->hd.type == NGHTTP2_GOAWAY) self.used_up_ = true;
    if (frame->hd.type != NGHTTP2_HEADERS) return 0;
    // Every stream of this protocol carries a message, so none ends here.
    if (EndsStream(frame)) return Verdict(self.FindStream(number) == nullptr);
    if (frame->headers.cat != NGHTTP2_HCAT_REQUEST) return 0;
    return Verdict(self.StartAccepted(number));
  }

  static int OnDataChunk(nghttp2_session*, uint8_t, int32_t number,
                         const uint8_t* data, size_t size, void* user) {
    const std::string_view bytes(reinterpret_cast<const char*>(data), size);
    return Verdict(Self(user).TakeData(number, bytes));
  }

  static int OnStreamClose(nghttp2_session*, int32_t number, uint32_t code,
                           void* user) {
    Self(user).CloseStream(number, code == NGHTTP2_REFUSED_STREAM);
    return 0;
  }

  static int BeforeFrameSend(nghttp2_session*, const nghttp2_frame* frame,
                             void* user) {
    if (frame->hd.type != NGHTTP2_HEADERS) return 0;
    Stream* stream = Self(user).FindStream(frame->hd.stream_id);
    if (stream != nullptr) stream->handed_out = true;
    return 0;
  }

  static int OnFrameNotSend(nghttp2_session*, const nghttp2_frame* frame, int,
                            void* user) {
    if (frame->hd.type != NGHTTP2_HEADERS) return 0;
    Self(user).CloseStream(frame->hd.stream_id, false);
    return 0;
  }

  static int OnInvalidFrame(nghttp2_session*, const nghttp2_frame*, int,
                            void* user) {
    Self(user).broken_ = true;
    return 0;
  }

  static ssize_t ReadData(nghttp2_session*, int32_t number, uint8_t* target,
                          size_t capacity, uint32_t* flags,
                          nghttp2_data_source*, void* user) {
    return static_cast<ssize_t>(
        Self(user).ReadOutgoing(number, target, capacity, *flags));
  }

  static nghttp2_data_provider Provider() {
    nghttp2_data_provider provider{};
    provider.read_callback = ReadData;
    return provider;
  }
};

Http2Session::Http2Session(SessionSide side, const TransportSettings& settings,
                           SessionListener& listener,
                           TransportCounters& counters)
    : side_(side),
      settings_(settings),
      listener_(listener),
      counters_(counters) {
  CreateSession();
  SubmitSettings();
  if (side_ == SessionSide::kOpening) OpenControlStream();
}

Http2Session::~Http2Session() { nghttp2_session_del(session_); }

void Http2Session::CreateSession() {
  nghttp2_session_callbacks* callbacks = nullptr;
  nghttp2_option* option = nullptr;
  const bool made = nghttp2_session_callbacks_new(&callbacks) == 0 &&
                    nghttp2_option_new(&option) == 0;
  if (!made) std::abort();  // out of memory
  nghttp2_session_callbacks_set_on_begin_headers_callback(
      callbacks, Callbacks::OnBeginHeaders);
  nghttp2_session_callbacks_set_on_header_callback(callbacks,
                                                   Callbacks::OnHeader);
  nghttp2_session_callbacks_set_on_frame_recv_callback(callbacks,
                                                       Callbacks::OnFrame);
  nghttp2_session_callbacks_set_on_data_chunk_recv_callback(
      callbacks, Callbacks::OnDataChunk);
  nghttp2_session_callbacks_set_on_stream_close_callback(
      callbacks, Callbacks::OnStreamClose);
  nghttp2_session_callbacks_set_before_frame_send_callback(
      callbacks, Callbacks::BeforeFrameSend);
  nghttp2_session_callbacks_set_on_frame_not_send_callback(
      callbacks, Callbacks::OnFrameNotSend);
  nghttp2_session_callbacks_set_on_invalid_frame_recv_callback(
      callbacks, Callbacks::OnInvalidFrame);
  // Closed streams are kept by default for the priority tree, which is not
  // used here.
  nghttp2_option_set_no_closed_streams(option, 1);
  nghttp2_option_set_stream_reset_rate_limit(option, kResetBurst,
                                             kResetsPerSecond);
  const int status =
      side_ == SessionSide::kOpening
          ? nghttp2_session_client_new2(&session_, callbacks, this, option)
          : nghttp2_session_server_new2(&session_, callbacks, this, option);
  nghttp2_option_del(option);
  nghttp2_session_callbacks_del(callbacks);
  if (status != 0) std::abort();  // out of memory
}

void Http2Session::SubmitSettings() {
  const std::array<nghttp2_settings_entry, 3> entries = {{
      {NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, kAnnouncedStreams},
      {NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, kStreamWindow},
      {NGHTTP2_SETTINGS_ENABLE_PUSH, 0},
  }};
  // A server must not send the last one.
  const size_t count =
      side_ == SessionSide::kOpening ? entries.size() : entries.size() - 1;
  nghttp2_submit_settings(session_, NGHTTP2_FLAG_NONE, entries.data(), count);
  nghttp2_session_set_local_window_size(session_, NGHTTP2_FLAG_NONE, 0,
                                        kConnectionWindow);
}

void Http2Session::OpenControlStream() {
  control_number_ = SubmitRequest(kControlPath);
  if (control_number_ < 0) std::abort();  // the first request of a session
  Stream& stream =
      streams_.try_emplace(control_number_, settings_.max_message_bytes)
          .first->second;
  stream.kind = StreamKind::kControl;
}

int32_t Http2Session::SubmitRequest(std::string_view path) {
  const std::array<nghttp2_nv, 4> headers = {
      HeaderField(":method", "POST"),
      HeaderField(":scheme", "http"),
      HeaderField(":authority", "fleet"),
      HeaderField(":path", path),
  };
  const nghttp2_data_provider provider = Callbacks::Provider();
  return nghttp2_submit_request(session_, nullptr, headers.data(),
                                headers.size(), &provider, nullptr);
}

void Http2Session::SubmitResponse(int32_t number) {
  const nghttp2_nv status = HeaderField(":status", "200");
  const nghttp2_data_provider provider = Callbacks::Provider();
  nghttp2_submit_response(session_, number, &status, 1, &provider);
}

bool Http2Session::Receive(std::string_view bytes) {
  const ssize_t taken = nghttp2_session_mem_recv(
      session_, reinterpret_cast<const uint8_t*>(bytes.data()), bytes.size());
  if (taken < 0) broken_ = true;
  return !broken_ && nghttp2_session_want_read(session_) != 0;
}

bool Http2Session::TakeOutput(std::string& out, size_t limit) {
  while (out.size() < limit) {
    const uint8_t* data = nullptr;
    const ssize_t size = nghttp2_session_mem_send(session_, &data);
    if (size < 0) return false;
    if (size == 0) break;
    out.append(reinterpret_cast<const char*>(data), static_cast<size_t>(size));
  }
  return !broken_;
}

bool Http2Session::OpenStream(StreamId id, const pb::RunRequest& request) {
  const size_t size = request.ByteSizeLong();
  if (size > settings_.max_message_bytes) {
    ++counters_.messages_too_large;
    return false;
  }
  if (queued_bytes_ + size > settings_.max_queued_bytes) {
    ++counters_.streams_over_queue;
    return false;
  }
  const int32_t number = SubmitRequest(kRunPath);
  if (number < 0) {
    used_up_ = number == NGHTTP2_ERR_STREAM_ID_NOT_AVAILABLE;
    return false;
  }
  Stream& stream =
      streams_.try_emplace(number, settings_.max_message_bytes).first->second;
  stream.kind = StreamKind::kRun;
  stream.id = id;
  stream.finished = true;
  stream.out.Push(EncodeMessage(request));
  queued_bytes_ += stream.out.size();
  numbers_[id] = number;
  return true;
}

void Http2Session::SendEvent(StreamId id, const pb::RunEvent& event,
                             bool last) {
  const auto found = numbers_.find(id);
  if (found == numbers_.end()) return;
  const int32_t number = found->second;
  Stream* stream = FindStream(number);
  if (stream == nullptr) return;
  if (event.ByteSizeLong() > settings_.max_message_bytes) {
    ++counters_.messages_too_large;
    Lose(*stream, false);
    Drop(number, NGHTTP2_INTERNAL_ERROR);
    return;
  }
  if (!Queue(number, *stream, EncodeMessage(event))) return;
  if (!last) return;
  stream->finished = true;
  stream->id = StreamId();
  numbers_.erase(found);
}

bool Http2Session::Queue(int32_t number, Stream& stream, std::string message) {
  if (queued_bytes_ + message.size() > settings_.max_queued_bytes) {
    ++counters_.streams_over_queue;
    Lose(stream, false);
    Drop(number, NGHTTP2_ENHANCE_YOUR_CALM);
    return false;
  }
  queued_bytes_ += message.size();
  stream.out.Push(std::move(message));
  if (!stream.responded) {
    stream.responded = true;
    SubmitResponse(number);
  } else {
    nghttp2_session_resume_data(session_, number);
  }
  return true;
}

void Http2Session::CancelStream(StreamId id) {
  const auto found = numbers_.find(id);
  if (found == numbers_.end()) return;
  const int32_t number = found->second;
  numbers_.erase(found);
  Drop(number, NGHTTP2_CANCEL);
}

bool Http2Session::SendControl(const pb::Control& control) {
  Stream* stream = FindStream(control_number_);
  if (stream == nullptr || broken_) return false;
  const size_t size = control.ByteSizeLong();
  if (size > settings_.max_message_bytes) {
    ++counters_.messages_too_large;
    return false;
  }
  if (queued_bytes_ + size > settings_.max_queued_bytes) {
    ++counters_.controls_over_queue;
    return false;
  }
  std::string message = EncodeMessage(control);
  queued_bytes_ += message.size();
  stream->out.Push(std::move(message));
  nghttp2_session_resume_data(session_, control_number_);
  return true;
}

bool Http2Session::control_blocked() const {
  const auto found = streams_.find(control_number_);
  return found != streams_.end() && !found->second.out.empty();
}

void Http2Session::Abandon() {
  for (auto& [number, stream] : streams_) Lose(stream, false);
}

bool Http2Session::worn_out() const noexcept {
  return used_up_ && numbers_.empty();
}

void Http2Session::SkipStreamNumbers(int32_t next) {
  nghttp2_session_set_next_stream_id(session_, next);
}

Http2Session::Stream* Http2Session::FindStream(int32_t number) {
  const auto found = streams_.find(number);
  return found == streams_.end() ? nullptr : &found->second;
}

bool Http2Session::AddAcceptedStream(int32_t number) {
  // The control stream comes on top of the request streams.
  if (streams_.size() > settings_.max_streams) {
    ++counters_.streams_refused;
    Reset(number, NGHTTP2_REFUSED_STREAM);
    return true;
  }
  streams_.try_emplace(number, settings_.max_message_bytes);
  return true;
}

bool Http2Session::SetPath(int32_t number, std::string_view path) {
  Stream* stream = FindStream(number);
  if (stream == nullptr) return true;
  if (path == kControlPath) stream->kind = StreamKind::kControl;
  if (path == kRunPath) stream->kind = StreamKind::kRun;
  return stream->kind != StreamKind::kUnknown;
}

bool Http2Session::StartAccepted(int32_t number) {
  Stream* stream = FindStream(number);
  if (stream == nullptr || stream->kind == StreamKind::kRun) return true;
  const bool first = control_number_ == 0;
  if (stream->kind != StreamKind::kControl || !first) return false;
  control_number_ = number;
  stream->responded = true;
  SubmitResponse(number);
  return true;
}

bool Http2Session::TakeData(int32_t number, std::string_view bytes) {
  Stream* stream = FindStream(number);
  // Data of a stream that was cancelled or refused here is still under way.
  if (stream == nullptr) return true;
  stream->reader.Append(bytes);
  waiting_bytes_ += bytes.size();
  // Failure guarded against: a peer that starts thousands of messages and ends
  // none fills the memory, each of them being under the bound for one message.
  if (waiting_bytes_ > kWaitingFactor * settings_.max_queued_bytes) {
    return false;
  }
  if (stream->kind == StreamKind::kControl) return TakeControls(*stream);
  if (side_ == SessionSide::kOpening) return TakeRunEvents(number, *stream);
  return true;
}

ReadStatus Http2Session::NextMessage(Stream& stream,
                                     std::string_view& payload) {
  const size_t before = stream.reader.size();
  const ReadStatus status = stream.reader.Next(payload);
  waiting_bytes_ -= before - stream.reader.size();
  return status;
}

bool Http2Session::TakeControls(Stream& stream) {
  std::string_view payload;
  ReadStatus status = NextMessage(stream, payload);
  for (; status == ReadStatus::kMessage;
       status = NextMessage(stream, payload)) {
    pb::Control control;
    if (!Parse(payload, control)) return false;
    if (!listener_.OnControl(std::move(control))) return false;
  }
  return status == ReadStatus::kNeedMore;
}

bool Http2Session::TakeRunRequest(int32_t number, Stream& stream) {
  std::string_view payload;
  pb::RunRequest request;
  if (NextMessage(stream, payload) != ReadStatus::kMessage) return false;
  // Failure guarded against: one request that cannot be read would end every
  // other request of the connection. Frames and lengths are in order here, so
  // the damage is inside this message, and only its stream ends.
  if (!Parse(payload, request)) {
    Drop(number, NGHTTP2_PROTOCOL_ERROR);
    return true;
  }
  // One message is the whole of the body.
  if (NextMessage(stream, payload) != ReadStatus::kNeedMore) return false;
  if (!stream.reader.empty()) return false;
  const StreamId id = listener_.NewStreamId();
  if (!listener_.OnStreamOpened(id, std::move(request))) return false;
  stream.id = id;
  numbers_[id] = number;
  return true;
}

bool Http2Session::TakeRunEvents(int32_t number, Stream& stream) {
  std::string_view payload;
  ReadStatus status = NextMessage(stream, payload);
  for (; status == ReadStatus::kMessage;
       status = NextMessage(stream, payload)) {
    pb::RunEvent event;
    if (!Parse(payload, event)) {
      // As for requests: only this stream ends.
      Lose(stream, false);
      Drop(number, NGHTTP2_PROTOCOL_ERROR);
      return true;
    }
    ReleaseHeld(stream, false);
    stream.held = std::move(event);
  }
  return status == ReadStatus::kNeedMore;
}

void Http2Session::ReleaseHeld(Stream& stream, bool last) {
  if (!stream.held) return;
  pb::RunEvent event = std::move(*stream.held);
  stream.held.reset();
  if (!stream.id) return;
  listener_.OnStreamEvent(stream.id, std::move(event), last);
}

bool Http2Session::EndData(int32_t number, bool end_of_stream) {
  Stream* stream = FindStream(number);
  if (stream == nullptr) return true;
  if (stream->kind == StreamKind::kControl) return !end_of_stream;
  if (side_ == SessionSide::kAccepting) {
    if (!end_of_stream) {
      // Nothing may wait behind a message that is over the bound.
      return !stream->reader.too_large();
    }
    return TakeRunRequest(number, *stream);
  }
  if (!end_of_stream) {
    ReleaseHeld(*stream, false);
    return true;
  }
  if (!stream->held || !stream->reader.empty()) return false;
  ReleaseHeld(*stream, true);
  numbers_.erase(stream->id);
  stream->id = StreamId();
  return true;
}

void Http2Session::CloseStream(int32_t number, bool refused) {
  const auto found = streams_.find(number);
  if (found == streams_.end()) return;
  // Without its control stream a connection has no heartbeats.
  if (number == control_number_) broken_ = true;
  Lose(found->second, refused);
  Forget(found);
}

void Http2Session::Forget(std::unordered_map<int32_t, Stream>::iterator it) {
  queued_bytes_ -= it->second.out.size();
  waiting_bytes_ -= it->second.reader.size();
  streams_.erase(it);
}

void Http2Session::Lose(Stream& stream, bool refused) {
  if (!stream.id) return;
  // Failure guarded against: a request that may have run is said not to have,
  // and a non-idempotent one is sent again. nghttp2 reports REFUSED_STREAM only
  // when the other end said so, or put the stream's number above the last one
  // it looked at; without that, the request stayed here only if nghttp2 has not
  // given its HEADERS out for writing, and DATA never goes before those.
  const bool not_sent =
      side_ == SessionSide::kOpening && (refused || !stream.handed_out);
  const StreamId id = std::exchange(stream.id, StreamId());
  numbers_.erase(id);
  listener_.OnStreamClosed(
      id, not_sent ? StreamLoss::kNotSent : StreamLoss::kUnknown);
}

void Http2Session::Reset(int32_t number, uint32_t code) {
  nghttp2_submit_rst_stream(session_, NGHTTP2_FLAG_NONE, number, code);
}

void Http2Session::Drop(int32_t number, uint32_t code) {
  const auto found = streams_.find(number);
  if (found == streams_.end()) return;
  Forget(found);
  Reset(number, code);
}

int64_t Http2Session::ReadOutgoing(int32_t number, uint8_t* target,
                                   size_t capacity, uint32_t& flags) {
  Stream* stream = FindStream(number);
  // Dropped here: its RST_STREAM goes first, and ending the body normally would
  // pass half a message off as a whole one.
  if (stream == nullptr) return NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;
  const size_t taken = stream->out.Take(target, capacity);
  queued_bytes_ -= taken;
  const bool ended = stream->finished && stream->out.empty();
  if (ended) flags |= NGHTTP2_DATA_FLAG_EOF;
  if (taken == 0 && !ended) return NGHTTP2_ERR_DEFERRED;
  return static_cast<int64_t>(taken);
}

}  // namespace knapweedstile::wire
