#include "http/server.h"

#include "server_impl.h"

namespace knapweedstile::http {

Server::Server(boost::asio::io_context& io, const ServerSettings& settings,
               EventSink sink)
    : impl_(std::make_unique<Impl>(io, settings, std::move(sink))) {}

Server::~Server() = default;

Result<uint16_t> Server::Listen(const std::string& address) {
  return impl_->Listen(address);
}

void Server::SetConnectionFilter(std::function<bool()> admits) {
  impl_->SetConnectionFilter(std::move(admits));
}

void Server::Execute(ServerCommand&& command) {
  impl_->Execute(std::move(command));
}

void Server::SetLimits(uint32_t max_header_bytes, uint64_t max_body_bytes,
                       std::chrono::milliseconds header_timeout,
                       std::chrono::milliseconds idle_timeout) {
  impl_->SetLimits(max_header_bytes, max_body_bytes, header_timeout,
                   idle_timeout);
}

void Server::BeginDraining() { impl_->BeginDraining(); }

void Server::StopAccepting() { impl_->StopAccepting(); }

void Server::Close() { impl_->Close(); }

size_t Server::open_exchanges() const noexcept {
  return impl_->open_exchanges();
}

size_t Server::open_connections() const noexcept {
  return impl_->open_connections();
}

uint64_t Server::held_bytes() const noexcept { return impl_->held_bytes(); }

uint64_t Server::gave_way() const noexcept { return impl_->gave_way(); }

}  // namespace knapweedstile::http
