// A TCP connection between two hosts that carries messages as length-prefixed
// byte strings. Both sides send keep-alives, and each closes the connection if
// it receives nothing for kReceiveTimeout.

#ifndef ACACIAHOLD_LINK_SESSION_H_
#define ACACIAHOLD_LINK_SESSION_H_

#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

namespace acaciahold::link {

// Interval of keep-alives; a fifth of the peer's kReceiveTimeout.
inline constexpr std::chrono::milliseconds kKeepAliveInterval{300};
// The connection is closed after nothing was received for this long.
inline constexpr std::chrono::milliseconds kReceiveTimeout{1'500};
// Maximum size of a message; larger than a snapshot of the largest deployment.
inline constexpr size_t kMaxMessageBytes = 16U << 20U;
// Maximum size of the send queue. The connection is closed if a peer that does
// not read lets the queue exceed it.
inline constexpr size_t kMaxQueuedBytes = 24U << 20U;

class Session : public std::enable_shared_from_this<Session> {
 public:
  struct Handlers {
    std::function<void(std::string_view message)> on_message;
    std::function<void()> on_close;  // Called once, also after Close.
  };

  static std::shared_ptr<Session> Create(boost::asio::ip::tcp::socket socket);

  // Starts reading. Calls the handlers until the connection has closed.
  void Start(Handlers handlers);

  // Queues the message for sending. Closes the connection if the queue is full.
  void Send(std::string_view message);

  void Close();

  // When data was last received.
  std::chrono::steady_clock::time_point last_received_at() const {
    return last_received_at_;
  }

 private:
  explicit Session(boost::asio::ip::tcp::socket socket);

  void ReadLength();
  void ReadBody(uint32_t n);
  void Write();
  void Enqueue(std::string frame);
  void CheckLiveness();

  boost::asio::ip::tcp::socket socket_;
  boost::asio::steady_timer timer_;
  Handlers handlers_;
  std::array<unsigned char, 4> length_prefix_{};
  std::string body_;
  std::deque<std::string> queue_;
  size_t queued_bytes_ = 0;  // Invariant: total size of the frames in queue_.
  bool is_writing_ = false;
  bool is_closed_ = false;
  std::chrono::steady_clock::time_point last_received_at_;
};

}  // namespace acaciahold::link

#endif  // ACACIAHOLD_LINK_SESSION_H_
