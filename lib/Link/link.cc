// Connecting, reconnecting and accepting sessions.

#include "acaciahold/Link/link.h"

#include <algorithm>

#include <boost/asio/post.hpp>

namespace acaciahold::link {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

tcp::endpoint ToAsio(Endpoint endpoint) {
  return {asio::ip::address_v4(endpoint.address), endpoint.port};
}

}  // namespace

Connector::Connector(asio::io_context& io, Endpoint to)
    : io_(io), to_(to), timer_(io) {}

std::shared_ptr<Connector> Connector::Create(asio::io_context& io,
                                             Endpoint to) {
  return std::shared_ptr<Connector>(new Connector(io, to));
}

void Connector::Start(Handlers handlers) {
  handlers_ = std::move(handlers);
  Connect();
}

void Connector::Stop() {
  is_stopped_ = true;
  timer_.cancel();
  if (session_) {
    session_->Close();
  }
}

bool Connector::Send(std::string_view message) {
  if (!session_) {
    return false;
  }
  session_->Send(message);
  return true;
}

bool Connector::HasReceivedWithin(std::chrono::milliseconds duration) const {
  return session_ && std::chrono::steady_clock::now() <
                         session_->last_received_at() + duration;
}

void Connector::Connect() {
  auto socket = std::make_shared<tcp::socket>(io_);
  timer_.expires_after(kConnectTimeout);
  timer_.async_wait([socket](error_code ec) {
    if (!ec) {
      error_code close_ec;  // Aborts the attempt, whose handler reports it.
      socket->close(close_ec);
    }
  });
  socket->async_connect(ToAsio(to_),
                        [self = shared_from_this(), socket](error_code ec) {
                          if (self->is_stopped_) {
                            return;
                          }
                          if (ec || !socket->is_open()) {
                            self->ScheduleReconnect();
                            return;
                          }
                          self->timer_.cancel();
                          self->OnConnected(std::move(*socket));
                        });
}

void Connector::OnConnected(tcp::socket socket) {
  reconnect_delay_ = kReconnectDelayMin;
  auto session = Session::Create(std::move(socket));
  session_ = session;
  session->Start({[self = shared_from_this()](std::string_view message) {
                    self->handlers_.on_message(message);
                  },
                  [self = shared_from_this()] {
                    self->session_ = nullptr;
                    if (!self->is_stopped_) {
                      self->handlers_.on_close();
                      self->ScheduleReconnect();
                    }
                  }});
  handlers_.on_open();
}

void Connector::ScheduleReconnect() {
  timer_.expires_after(reconnect_delay_);
  reconnect_delay_ = std::min(reconnect_delay_ * 2, kReconnectDelayMax);
  timer_.async_wait([self = shared_from_this()](error_code ec) {
    if (!ec && !self->is_stopped_) {
      self->Connect();
    }
  });
}

Listener::Listener(asio::io_context& io, OnSession on_session)
    : acceptor_(io), timer_(io), on_session_(std::move(on_session)) {}

Result<std::shared_ptr<Listener>> Listener::Listen(asio::io_context& io,
                                                   Endpoint endpoint,
                                                   OnSession on_session) {
  std::shared_ptr<Listener> listener(new Listener(io, std::move(on_session)));
  BOOST_LEAF_CHECK(OpenAcceptor(listener->acceptor_, endpoint));
  listener->Accept();
  return listener;
}

void Listener::Accept() {
  acceptor_.async_accept(
      [self = shared_from_this()](error_code ec, tcp::socket socket) {
        if (!self->acceptor_.is_open()) {
          return;
        }
        if (ec) {
          // Most likely out of file descriptors: waits instead of retrying in a
          // busy loop.
          self->timer_.expires_after(kReconnectDelayMax);
          self->timer_.async_wait([self](error_code) { self->Accept(); });
          return;
        }
        self->on_session_(Session::Create(std::move(socket)));
        self->Accept();
      });
}

Result<void> OpenAcceptor(tcp::acceptor& acceptor, Endpoint endpoint) {
  error_code ec;
  auto at = ToAsio(endpoint);
  acceptor.open(at.protocol(), ec);
  if (!ec) {
    acceptor.set_option(tcp::acceptor::reuse_address(true), ec);
  }
  if (!ec) {
    acceptor.bind(at, ec);
  }
  if (!ec) {
    acceptor.listen(asio::socket_base::max_listen_connections, ec);
  }
  if (ec) {
    return leaf::new_error(
        SystemError{"listen at " + FormatEndpoint(endpoint), ec.message()});
  }
  return {};
}

}  // namespace acaciahold::link
