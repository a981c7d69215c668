// Persistent links between hosts. A Connector keeps one session to an endpoint
// open and reconnects after it is lost. A Listener accepts sessions.

#ifndef ACACIAHOLD_LINK_LINK_H_
#define ACACIAHOLD_LINK_LINK_H_

#include <functional>
#include <memory>
#include <string_view>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include "acaciahold/Link/session.h"
#include "acaciahold/Support/address.h"
#include "acaciahold/Support/error.h"

namespace acaciahold::link {

// Delay before reconnecting after a session is lost, doubled after each failed
// attempt up to the maximum. Short, since hosts restart within a second and
// callers may be waiting for the link.
inline constexpr std::chrono::milliseconds kReconnectDelayMin{40};
inline constexpr std::chrono::milliseconds kReconnectDelayMax{160};
// Covers several round trips, also between regions. A host that is powered off
// does not answer, and a new attempt can reach it once it has started.
inline constexpr std::chrono::milliseconds kConnectTimeout{120};

class Connector : public std::enable_shared_from_this<Connector> {
 public:
  struct Handlers {
    std::function<void()> on_open;
    std::function<void(std::string_view message)> on_message;
    std::function<void()> on_close;  // Called only after on_open.
  };

  static std::shared_ptr<Connector> Create(boost::asio::io_context& io,
                                           Endpoint to);

  void Start(Handlers handlers);

  // Closes the session. No handler is called afterwards.
  void Stop();

  // Returns false if no session is open; the message is then dropped.
  bool Send(std::string_view message);

  Endpoint to() const { return to_; }
  bool is_open() const { return session_ != nullptr; }
  // Whether any data arrived on the open session within the last `duration`.
  bool HasReceivedWithin(std::chrono::milliseconds duration) const;

 private:
  Connector(boost::asio::io_context& io, Endpoint to);

  void Connect();
  void OnConnected(boost::asio::ip::tcp::socket socket);
  void ScheduleReconnect();

  boost::asio::io_context& io_;
  Endpoint to_;
  Handlers handlers_;
  boost::asio::steady_timer timer_;
  std::shared_ptr<Session> session_;  // Null while disconnected.
  std::chrono::milliseconds reconnect_delay_ = kReconnectDelayMin;
  bool is_stopped_ = false;
};

class Listener : public std::enable_shared_from_this<Listener> {
 public:
  using OnSession = std::function<void(std::shared_ptr<Session>)>;

  // Fails with SystemError.
  static Result<std::shared_ptr<Listener>> Listen(boost::asio::io_context& io,
                                                  Endpoint endpoint,
                                                  OnSession on_session);

 private:
  Listener(boost::asio::io_context& io, OnSession on_session);

  void Accept();

  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::steady_timer timer_;
  OnSession on_session_;
};

// Opens a listening socket on `endpoint`. Fails with SystemError.
Result<void> OpenAcceptor(boost::asio::ip::tcp::acceptor& acceptor,
                          Endpoint endpoint);

}  // namespace acaciahold::link

#endif  // ACACIAHOLD_LINK_LINK_H_
