// A TCP proxy on loopback that misbehaves as networks do: it delays bytes,
// resets connections, lets them go silent, or carries one way alone.

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
  // Listens at `at` and carries each connection to `to`. Throws
  // boost::system::system_error where it can't listen.
  FaultProxy(boost::asio::io_context& io, Endpoint at, Endpoint to);

  // Bytes take so much longer from now on.
  void Delay(std::chrono::milliseconds delay) { *delay_ = delay; }
  // Resets all open connections; new ones work.
  void ResetAll();
  // All open connections go silent for good, without a reset; new ones work.
  void SilenceAll();
  // Carries nothing towards `to`, or nothing from it, until Heal; what was
  // under way arrives then. Holds for new connections as well.
  void CutTowards() { cut_->ways.at(kTowards) = true; }
  void CutFrom() { cut_->ways.at(kFrom) = true; }
  // Carries nothing either way on links that the host of this name opened, as
  // it says in its greeting; others go on.
  void CutHost(const std::string& name) { cut_->hosts.insert(name); }
  // Ends delays and cuts.
  void Heal();

 private:
  enum Way : size_t { kTowards, kFrom };
  struct Cut {
    std::array<bool, 2> ways{};
    std::set<std::string> hosts;
  };
  // One connection, and its way on.
  struct Pair {
    explicit Pair(boost::asio::io_context& io) : near(io), far(io) {}
    boost::asio::ip::tcp::socket near;
    boost::asio::ip::tcp::socket far;
    bool is_silent = false;
    int open_ways = 2;
    std::string opener;  // Empty until its greeting has come.
  };

  void Accept();
  void Carry(const std::shared_ptr<Pair>& pair, Way way);
  static boost::asio::awaitable<void> Run(
      std::shared_ptr<Pair> pair,
      Way way,
      std::shared_ptr<std::chrono::milliseconds> delay,
      std::shared_ptr<Cut> cut);
  static bool IsCut(const Pair& pair, Way way, const Cut& cut);
  static void Reset(Pair& pair);

  boost::asio::io_context& io_;
  boost::asio::ip::tcp::acceptor acceptor_;
  Endpoint to_;
  // Shared with the coroutines of connections, which may live on for a moment.
  std::shared_ptr<std::chrono::milliseconds> delay_;
  std::shared_ptr<Cut> cut_;
  std::list<std::weak_ptr<Pair>> pairs_;
};

}  // namespace acaciahold::standins

#endif  // ACACIAHOLD_TEST_STANDINS_FAULT_PROXY_H_
