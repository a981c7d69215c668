// A group of replicas in one process and in real time, each with a data folder
// of its own. Messages are delivered through the event loop. Stands in for the
// links and the join requests of control hosts.

#ifndef ACACIAHOLD_UNITTESTS_NODE_REPLICA_GROUP_H_
#define ACACIAHOLD_UNITTESTS_NODE_REPLICA_GROUP_H_

#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "acaciahold/Node/replica_driver.h"

namespace acaciahold::node {

class ReplicaGroup {
 public:
  struct Host {
    Endpoint endpoint;
    std::string folder;
    bool is_founder = false;
    bool is_cut_off = false;  // Neither sends nor receives messages.
    std::string applied;      // Payload of the last applied command.
    std::unique_ptr<ReplicaDriver> driver;  // Null while the host is down.
  };

  // Starts `founders` hosts that found the group. `name` names the folder of
  // the group, which is removed at the end. All hosts have the tolerance in
  // their settings.
  ReplicaGroup(std::string_view name,
               size_t founders,
               std::optional<uint32_t> tolerated_disk_losses = std::nullopt);
  ~ReplicaGroup();
  ReplicaGroup(const ReplicaGroup&) = delete;
  ReplicaGroup& operator=(const ReplicaGroup&) = delete;

  // Starts a host with an empty folder that joins the group.
  Host& AddHost();
  // Starts a host that is down, with the folder that it has.
  void StartHost(Host& host);
  // Ends the host's process at once. Its folder is kept.
  static void KillHost(Host& host);
  // Removes the folder of a host that is down.
  static void LoseDisk(Host& host);

  void RunFor(std::chrono::milliseconds time);
  // Runs until the condition holds. Returns whether it did within the time.
  bool RunUntil(const std::function<bool()>& condition,
                std::chrono::milliseconds time);

  // While the interval is above zero, the leader is asked to change something
  // that often.
  void SetChangeInterval(std::chrono::milliseconds interval);
  // The same for confirmed reads.
  void SetReadInterval(std::chrono::milliseconds interval);

  // Returns the host that leads with a majority of its voters up, or null.
  Host* Leader();
  // Returns whether the leader has exactly these voters.
  bool HasVoters(const std::vector<const Host*>& hosts);
  // Returns whether a new change is applied within the time, trying the leader
  // again and again as an operator does.
  bool CanChange(std::chrono::milliseconds time);

  boost::asio::io_context& io() { return io_; }
  std::list<Host>& hosts() { return hosts_; }

 private:
  Host& AddHostRecord(bool is_founder);
  void Deliver(const Host& from, const consensus::Message& message);
  void SendJoinRequests();
  void SendChange();
  void SendRead();

  boost::asio::io_context io_;
  boost::asio::steady_timer join_timer_;
  boost::asio::steady_timer change_timer_;
  boost::asio::steady_timer read_timer_;
  std::chrono::milliseconds change_interval_{0};
  std::chrono::milliseconds read_interval_{0};
  std::string folder_;
  std::optional<uint32_t> tolerated_disk_losses_;
  std::vector<Endpoint> founders_;
  std::list<Host> hosts_;
  uint64_t next_change_ = 1;
};

}  // namespace acaciahold::node

#endif  // ACACIAHOLD_UNITTESTS_NODE_REPLICA_GROUP_H_
