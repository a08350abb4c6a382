#include "http/client.h"

#include "client_impl.h"

namespace knapweedstile::http {

Client::Client(boost::asio::io_context& io, const ClientSettings& settings,
               EventSink sink)
    : impl_(std::make_unique<Impl>(io, settings, std::move(sink))) {}

Client::~Client() = default;

void Client::Send(ClientRequest&& request) { impl_->Send(std::move(request)); }

void Client::Cancel(ExchangeId exchange) { impl_->Cancel(exchange); }

void Client::Close() { impl_->CloseIdle(); }

void Client::CloseIdle(const std::string& address) {
  impl_->CloseIdle(address);
}

size_t Client::open_exchanges() const noexcept {
  return impl_->open_exchanges();
}

}  // namespace knapweedstile::http
