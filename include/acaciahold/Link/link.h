// Lasting links between hosts: a connector keeps one session to an endpoint and
// opens it again after a loss; a listener accepts sessions.

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

// A lost session is opened again after so long, since hosts restart within a
// second; doubled with each failure up to the maximum. Callers may be waiting
// for it.
inline constexpr std::chrono::milliseconds kReconnectDelayMin{40};
inline constexpr std::chrono::milliseconds kReconnectDelayMax{160};
// Some round trips, also between regions. A host without power does not answer,
// and the next attempt finds it started.
inline constexpr std::chrono::milliseconds kConnectTimeout{120};

class Connector : public std::enable_shared_from_this<Connector> {
 public:
  struct Handlers {
    std::function<void()> on_open;
    std::function<void(std::string_view message)> on_message;
    std::function<void()> on_close;  // Only after on_open.
  };

  static std::shared_ptr<Connector> Create(boost::asio::io_context& io,
                                           Endpoint to);

  void Start(Handlers handlers);

  // Closes the session; no handler is called from then on.
  void Stop();

  // Returns false where no session is open; the message is then dropped.
  bool Send(std::string_view message);

  Endpoint to() const { return to_; }
  bool is_open() const { return session_ != nullptr; }
  // Whether anything was received on the open session within `time`.
  bool IsHeard(std::chrono::milliseconds time) const;

 private:
  Connector(boost::asio::io_context& io, Endpoint to);

  void Connect();
  void OnConnected(boost::asio::ip::tcp::socket socket);
  void ConnectLater();

  boost::asio::io_context& io_;
  Endpoint to_;
  Handlers handlers_;
  boost::asio::steady_timer timer_;
  std::shared_ptr<Session> session_;  // Null while not connected.
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

// Opens a listening socket. Fails with SystemError.
Result<void> OpenAcceptor(boost::asio::ip::tcp::acceptor& acceptor,
                          Endpoint endpoint);

}  // namespace acaciahold::link

#endif  // ACACIAHOLD_LINK_LINK_H_
