// Framing, send queue and liveness check of a connection.

#include "acaciahold/Link/session.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

namespace acaciahold::link {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

// Returns the length in network byte order followed by the message. A frame
// with an empty message is a keep-alive.
std::string MakeFrame(std::string_view message) {
  auto n = static_cast<uint32_t>(message.size());
  std::string frame;
  frame.reserve(message.size() + 4);
  for (int shift = 24; shift >= 0; shift -= 8) {
    frame.push_back(static_cast<char>((n >> shift) & 0xffU));
  }
  frame.append(message);
  return frame;
}

}  // namespace

Session::Session(tcp::socket socket)
    : socket_(std::move(socket)), timer_(socket_.get_executor()) {}

std::shared_ptr<Session> Session::Create(tcp::socket socket) {
  error_code ec;  // Without the option messages are only delayed.
  socket.set_option(tcp::no_delay(true), ec);
  return std::shared_ptr<Session>(new Session(std::move(socket)));
}

void Session::Start(Handlers handlers) {
  handlers_ = std::move(handlers);
  last_received_at_ = std::chrono::steady_clock::now();
  ReadLength();
  CheckLiveness();
}

void Session::ReadLength() {
  asio::async_read(socket_, asio::buffer(length_prefix_),
                   [self = shared_from_this()](error_code ec, size_t) {
                     if (ec || self->is_closed_) {
                       self->Close();
                       return;
                     }
                     self->last_received_at_ = std::chrono::steady_clock::now();
                     uint32_t n = 0;
                     for (auto byte : self->length_prefix_) {
                       n = (n << 8U) | byte;
                     }
                     if (n == 0) {
                       self->ReadLength();
                     } else if (n > kMaxMessageBytes) {
                       self->Close();
                     } else {
                       self->ReadBody(n);
                     }
                   });
}

void Session::ReadBody(uint32_t n) {
  body_.resize(n);
  asio::async_read(socket_, asio::buffer(body_),
                   [self = shared_from_this()](error_code ec, size_t) {
                     if (ec || self->is_closed_) {
                       self->Close();
                       return;
                     }
                     self->last_received_at_ = std::chrono::steady_clock::now();
                     self->handlers_.on_message(self->body_);
                     if (self->is_closed_) {
                       return;
                     }
                     self->body_.clear();
                     self->ReadLength();
                   });
}

void Session::Send(std::string_view message) {
  if (!message.empty()) {
    Enqueue(MakeFrame(message));
  }
}

void Session::Enqueue(std::string frame) {
  if (is_closed_) {
    return;
  }
  if (queued_bytes_ + frame.size() > kMaxQueuedBytes) {
    Close();
    return;
  }
  queued_bytes_ += frame.size();
  queue_.push_back(std::move(frame));
  if (!is_writing_) {
    Write();
  }
}

void Session::Write() {
  is_writing_ = true;
  asio::async_write(socket_, asio::buffer(queue_.front()),
                    [self = shared_from_this()](error_code ec, size_t) {
                      self->is_writing_ = false;
                      if (ec || self->is_closed_) {
                        self->Close();
                        return;
                      }
                      self->queued_bytes_ -= self->queue_.front().size();
                      self->queue_.pop_front();
                      if (!self->queue_.empty()) {
                        self->Write();
                      }
                    });
}

void Session::CheckLiveness() {
  // Sent even if a message was sent recently: the next keep-alive is a full
  // interval away, and the peer measures the time since the last data it
  // received.
  Enqueue(MakeFrame({}));
  timer_.expires_after(kKeepAliveInterval);
  timer_.async_wait([self = shared_from_this()](error_code ec) {
    if (ec || self->is_closed_) {
      return;
    }
    if (std::chrono::steady_clock::now() >
        self->last_received_at_ + kReceiveTimeout) {
      self->Close();
      return;
    }
    self->CheckLiveness();
  });
}

void Session::Close() {
  if (is_closed_) {
    return;
  }
  is_closed_ = true;
  error_code ec;  // The connection is closed in any case.
  socket_.close(ec);
  timer_.cancel();
  auto on_close = std::move(handlers_.on_close);
  // Calls on_close and then clears the handlers, since they may own this
  // session.
  asio::post(socket_.get_executor(),
             [self = shared_from_this(), on_close = std::move(on_close)] {
               if (on_close) {
                 on_close();
               }
               self->handlers_ = {};
             });
}

}  // namespace acaciahold::link
