// A TCP proxy on loopback that injects network faults: it delays data, resets
// connections, stalls them without a reset, or blocks one direction.

#ifndef ACACIAHOLD_TEST_STANDINS_FAULT_PROXY_H_
#define ACACIAHOLD_TEST_STANDINS_FAULT_PROXY_H_

#include <array>
#include <chrono>
#include <list>
#include <memory>
#include <set>
#include <string>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "acaciahold/Support/address.h"

namespace acaciahold::standins {

class FaultProxy {
 public:
  // Listens at `listen_endpoint` and forwards each connection to `target`.
  // Throws boost::system::system_error if it can't listen.
  FaultProxy(boost::asio::io_context& io,
             Endpoint listen_endpoint,
             Endpoint target);

  // Delays each read of up to 16 KiB by `delay` before it is forwarded, in both
  // directions.
  void SetDelay(std::chrono::milliseconds delay) { *delay_ = delay; }
  // Resets all open connections. New connections work.
  void ResetConnections();
  // Permanently stops forwarding on all open connections without resetting
  // them. New connections work.
  void BlackholeConnections();
  // Blocks data to the target, or from it, until ClearFaults. Data received
  // meanwhile is forwarded afterwards. Applies to new connections as well.
  void BlockToTarget() { blocks_->directions.at(kToTarget) = true; }
  void BlockFromTarget() { blocks_->directions.at(kFromTarget) = true; }
  // Blocks both directions of the connections that the host of this name opened
  // (its Hello message carries the name). Other connections are unaffected.
  void BlockInitiator(const std::string& name) {
    blocks_->initiators.insert(name);
  }
  // Removes the delay and all blocks.
  void ClearFaults();

 private:
  enum Direction : size_t { kToTarget, kFromTarget };
  struct Blocks {
    std::array<bool, 2> directions{};
    std::set<std::string> initiators;
  };
  // An accepted connection and the connection to the target.
  struct Connection {
    explicit Connection(boost::asio::io_context& io)
        : client_socket(io), target_socket(io) {}
    boost::asio::ip::tcp::socket client_socket;
    boost::asio::ip::tcp::socket target_socket;
    bool is_blackholed = false;
    int open_directions = 2;
    // Name of the host that opened the connection; empty until its Hello
    // message has been received.
    std::string initiator;
  };

  void Accept();
  void StartForwarding(const std::shared_ptr<Connection>& connection,
                       Direction direction);
  static boost::asio::awaitable<void> Forward(
      std::shared_ptr<Connection> connection,
      Direction direction,
      std::shared_ptr<std::chrono::milliseconds> delay,
      std::shared_ptr<Blocks> blocks);
  static bool IsBlocked(const Connection& connection,
                        Direction direction,
                        const Blocks& blocks);
  static void Reset(Connection& connection);

  boost::asio::io_context& io_;
  boost::asio::ip::tcp::acceptor acceptor_;
  Endpoint target_;
  // Shared with the connections' coroutines, which may outlive the proxy.
  std::shared_ptr<std::chrono::milliseconds> delay_;
  std::shared_ptr<Blocks> blocks_;
  std::list<std::weak_ptr<Connection>> connections_;
};

}  // namespace acaciahold::standins

#endif  // ACACIAHOLD_TEST_STANDINS_FAULT_PROXY_H_
