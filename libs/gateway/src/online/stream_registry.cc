#include "online/stream_registry.h"

#include <algorithm>
#include <utility>

#include "base/hash.h"
#include "proto/stream_origins.pb.h"

namespace knapweedstile::gateway {
namespace {

void AddOrigin(uint64_t stream, const serving::StreamOrigin& origin,
               wire::StreamOriginsMessage& message) {
  wire::StreamOriginMessage& written = *message.add_origins();
  written.set_stream(stream);
  written.set_service(origin.service);
  written.set_software(origin.software);
}

}  // namespace

void StreamRegistry::OnStreamBegan(const std::string& request_id,
                                   const serving::StreamOrigin& origin,
                                   TimePoint now) {
  const uint64_t stream = Hash64(request_id);
  origins_.Add(stream, origin, now);
  wire::StreamOriginsMessage message;
  AddOrigin(stream, origin, message);
  const std::string datagram = message.SerializeAsString();
  for (const std::string& keeper : callbacks_.keepers(stream)) {
    callbacks_.send(keeper, datagram);
  }
}

void StreamRegistry::Find(const std::string& request_id, TimePoint now,
                          FindCallback done) {
  const uint64_t stream = Hash64(request_id);
  if (const serving::StreamOrigin* known = origins_.Find(stream)) {
    return done(*known);
  }
  std::vector<std::string> keepers = callbacks_.keepers(stream);
  if (keepers.empty()) return done(std::nullopt);
  const auto [search, is_new] = searches_.try_emplace(stream);
  search->second.done.push_back(std::move(done));
  if (!is_new) return;
  search->second.asked = keepers;
  search->second.ask_again_at = now + kAskAgain;
  search->second.expires_at = now + kFindTimeout;
  Ask(stream, keepers);
}

void StreamRegistry::Ask(uint64_t stream,
                         const std::vector<std::string>& gateways) {
  wire::StreamOriginsMessage message;
  message.add_asked(stream);
  const std::string datagram = message.SerializeAsString();
  for (const std::string& gateway : gateways) {
    callbacks_.send(gateway, datagram);
  }
}

void StreamRegistry::OnDatagram(std::string_view datagram,
                                const std::string& sender, TimePoint now) {
  wire::StreamOriginsMessage message;
  const int size = static_cast<int>(datagram.size());
  if (!message.ParseFromArray(datagram.data(), size)) return;
  for (const wire::StreamOriginMessage& read : message.origins()) {
    const serving::StreamOrigin origin{read.service(), read.software()};
    origins_.Add(read.stream(), origin, now);
    End(read.stream(), origin);
  }
  for (const uint64_t stream : message.unknown()) {
    const auto search = searches_.find(stream);
    if (search == searches_.end()) continue;
    std::erase(search->second.asked, sender);
    if (search->second.asked.empty()) End(stream, std::nullopt);
  }
  if (message.asked().empty()) return;
  wire::StreamOriginsMessage answer;
  for (const uint64_t stream : message.asked()) {
    const serving::StreamOrigin* known = origins_.Find(stream);
    if (known) {
      AddOrigin(stream, *known, answer);
    } else {
      answer.add_unknown(stream);
    }
  }
  callbacks_.send(sender, answer.SerializeAsString());
}

void StreamRegistry::End(uint64_t stream,
                         const std::optional<serving::StreamOrigin>& origin) {
  auto search = searches_.extract(stream);
  if (search.empty()) return;
  for (const FindCallback& done : search.mapped().done) done(origin);
}

void StreamRegistry::Run(TimePoint now) {
  origins_.Expire(now);
  std::vector<uint64_t> expired;
  std::vector<std::pair<uint64_t, std::vector<std::string>>> unanswered;
  for (auto& [stream, search] : searches_) {
    if (search.expires_at <= now) {
      expired.push_back(stream);
    } else if (search.ask_again_at <= now) {
      search.ask_again_at = now + kAskAgain;
      unanswered.emplace_back(stream, search.asked);
    }
  }
  for (const auto& [stream, gateways] : unanswered) Ask(stream, gateways);
  for (const uint64_t stream : expired) End(stream, std::nullopt);
}

}  // namespace knapweedstile::gateway
