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

void Server::Execute(ServerCommand&& command) {
  impl_->Execute(std::move(command));
}

void Server::StopAccepting() { impl_->StopAccepting(); }

void Server::Close() { impl_->Close(); }

size_t Server::open_exchanges() const noexcept {
  return impl_->open_exchanges();
}

size_t Server::open_connections() const noexcept {
  return impl_->open_connections();
}

}  // namespace knapweedstile::http
