// One TCP connection between two hosts that carries messages: length-prefixed
// byte strings. Both sides send keep-alives, so that a connection that has
// gone silent is closed by either.

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

// A keep-alive is due after so long; a fifth of what a peer waits.
inline constexpr std::chrono::milliseconds kKeepAliveInterval{300};
// Nothing received for so long, a connection is given up.
inline constexpr std::chrono::milliseconds kSilenceTimeout{1'500};
// A snapshot of the largest deployment fits in.
inline constexpr size_t kMaxMessageBytes = 16U << 20U;
// A peer that does not read is cut off beyond this.
inline constexpr size_t kMaxQueuedBytes = 24U << 20U;

class Session : public std::enable_shared_from_this<Session> {
 public:
  struct Handlers {
    std::function<void(std::string_view message)> on_message;
    std::function<void()> on_close;  // Once, also after Close.
  };

  static std::shared_ptr<Session> Create(boost::asio::ip::tcp::socket socket);

  // Calls the handlers until the connection has closed.
  void Start(Handlers handlers);

  // Queues the message; closes the connection where the queue is full.
  void Send(std::string_view message);

  void Close();

  // When anything was received last.
  std::chrono::steady_clock::time_point heard_at() const { return heard_at_; }

 private:
  explicit Session(boost::asio::ip::tcp::socket socket);

  void ReadHead();
  void ReadBody(uint32_t n);
  void Write();
  void Enqueue(std::string frame);
  void CheckLiveness();

  boost::asio::ip::tcp::socket socket_;
  boost::asio::steady_timer timer_;
  Handlers handlers_;
  std::array<unsigned char, 4> head_{};
  std::string body_;
  std::deque<std::string> queue_;
  size_t queued_bytes_ = 0;  // Invariant: the sum over queue_.
  bool is_writing_ = false;
  bool is_closed_ = false;
  std::chrono::steady_clock::time_point heard_at_;
};

}  // namespace acaciahold::link

#endif  // ACACIAHOLD_LINK_SESSION_H_
