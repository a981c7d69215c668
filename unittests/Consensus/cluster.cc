// The run, and the checker of its history.

#include "cluster.h"

#include <algorithm>

namespace acaciahold::consensus {
namespace {

constexpr double kLoss = 0.1;
constexpr double kRepeat = 0.05;
constexpr size_t kMaxInFlight = 60;
constexpr int kCalmSteps = 600;
constexpr size_t kCommandsPerSnapshot = 12;

Endpoint AdminOf(ReplicaId id) {
  return {id, 1};
}

std::string Describe(const Event& event) {
  return "replica " + std::to_string(event.replica) + " index " +
         std::to_string(event.index) + " command " + event.command;
}

}  // namespace

std::string CheckHistory(const EventLog& history) {
  std::map<Index, std::string> agreed;
  std::map<std::string, Index> places;
  std::map<Term, ReplicaId> leaders;
  std::map<std::pair<ReplicaId, uint64_t>, Index> applied;
  for (const auto& event : history) {
    auto reader = std::pair(event.replica, event.life);
    switch (event.kind) {
      case EventKind::kBecameLeader: {
        auto [it, is_new] = leaders.emplace(event.index, event.replica);
        if (!is_new && it->second != event.replica) {
          return "two leaders in term " + std::to_string(event.index);
        }
        break;
      }
      case EventKind::kReset:
        if (event.index < applied[reader]) {
          return "a reader went back: " + Describe(event);
        }
        applied[reader] = event.index;
        break;
      case EventKind::kApplied: {
        if (event.index <= applied[reader]) {
          return "a reader went back: " + Describe(event);
        }
        applied[reader] = event.index;
        auto [it, is_new] = agreed.emplace(event.index, event.command);
        if (it->second != event.command) {
          return "an accepted edit was replaced: " + Describe(event);
        }
        auto [place, is_first] = places.emplace(event.command, event.index);
        if (!is_first && place->second != event.index) {
          return "an edit was applied twice: " + Describe(event);
        }
        break;
      }
      case EventKind::kAccepted: {
        auto it = agreed.find(event.index);
        if (it == agreed.end() || it->second != event.command) {
          return "an accepted edit is not in the log: " + Describe(event);
        }
        break;
      }
    }
  }
  return "";
}

Cluster::Cluster(uint64_t seed, const ClusterOptions& options)
    : random_(seed), options_(options) {
  std::vector<Member> members;
  for (int i = 1; i <= options.replicas; ++i) {
    auto id = static_cast<ReplicaId>(i);
    members.push_back({id, AdminOf(id), true, 0});
  }
  for (const auto& member : members) {
    Node node;
    node.id = member.id;
    node.disk.instance = next_instance_++;
    node.disk.snapshot.members = members;
    nodes_.push_back(std::move(node));
  }
  for (auto& node : nodes_) {
    Start(node);
  }
}

bool Cluster::Chance(double p) {
  return std::uniform_real_distribution<double>(0, 1)(random_) < p;
}

Cluster::Node* Cluster::Find(ReplicaId id) {
  for (auto& node : nodes_) {
    if (node.id == id) {
      return &node;
    }
  }
  return nullptr;
}

bool Cluster::IsCut(ReplicaId a, ReplicaId b) const {
  return cut_off_.contains(a) != cut_off_.contains(b);
}

void Cluster::Start(Node& node) {
  StartState start;
  start.id = node.id;
  start.instance = node.disk.instance;
  start.seed = random_();
  start.hard = node.disk.hard;
  start.snapshot = node.disk.snapshot;
  start.entries = node.disk.entries;
  start.commit_hint = node.disk.commit_hint;
  node.replica = StartReplica(std::move(start), now_);
  ++node.life;
  node.applied_index = node.disk.snapshot.index;
  history_.push_back(
      {EventKind::kReset, node.id, node.life, node.applied_index, ""});
  Carry(node, OnStart(*node.replica));
}

void Cluster::Crash(Node& node) {
  node.replica.reset();
  node.restart_at = now_ + std::chrono::milliseconds(300);
  std::erase_if(waiting_, [&](const auto& it) {
    return std::get<0>(it.first) == node.id;
  });
}

// The folder is gone; the operator wrongly starts the same id on a new one.
void Cluster::LoseDisk(Node& node) {
  Crash(node);
  node.disk = {};
  node.disk.instance = next_instance_++;
  for (int i = 1; i <= options_.replicas; ++i) {
    auto id = static_cast<ReplicaId>(i);
    node.disk.snapshot.members.push_back({id, AdminOf(id), true, 0});
  }
}

void Cluster::Carry(Node& node, Output output) {
  bool is_lost = options_.crashes && !is_calm_ && Chance(0.004);
  if (is_lost) {
    Crash(node);  // Before anything of it was synced.
    return;
  }
  auto& disk = node.disk;
  // The hint is not synced, so that a crash may leave an older one.
  if (output.persist.commit_hint && Chance(0.5)) {
    disk.commit_hint = *output.persist.commit_hint;
  }
  if (output.persist.hard_state) {
    disk.hard = *output.persist.hard_state;
  }
  if (output.persist.snapshot) {
    disk.snapshot = *output.persist.snapshot;
    std::erase_if(disk.entries, [&](const LogEntry& e) {
      return e.index <= disk.snapshot.index;
    });
  }
  if (output.persist.truncate_from) {
    std::erase_if(disk.entries, [&](const LogEntry& e) {
      return e.index >= *output.persist.truncate_from;
    });
  }
  disk.entries.insert(disk.entries.end(), output.persist.append.begin(),
                      output.persist.append.end());
  for (auto& message : output.messages) {
    network_.push_back(std::move(message));
  }
  if (output.restore) {
    node.applied_index = output.restore->index;
    history_.push_back(
        {EventKind::kReset, node.id, node.life, node.applied_index, ""});
  }
  for (const auto& entry : output.committed) {
    node.applied_index = entry.index;
    if (entry.kind != EntryKind::kCommand) {
      continue;
    }
    node.applied.push_back(entry.payload);
    history_.push_back(
        {EventKind::kApplied, node.id, node.life, entry.index, entry.payload});
    auto it = waiting_.find({node.id, entry.index, entry.term});
    if (it != waiting_.end()) {
      ++accepted_;
      history_.push_back(
          {EventKind::kAccepted, node.id, node.life, entry.index, it->second});
      waiting_.erase(it);
    }
  }
  auto& replica = *node.replica;
  if (replica.role == Role::kLeader) {
    history_.push_back(
        {EventKind::kBecameLeader, node.id, node.life, replica.hard.term, ""});
  }
  if (replica.applied >= replica.snapshot.index + kCommandsPerSnapshot) {
    Carry(node, Compact(replica, "snapshot"));
  }
}

void Cluster::Deliver(size_t position) {
  std::swap(network_[position], network_.back());
  Message message = network_.back();
  if (is_calm_ || !Chance(kRepeat)) {
    network_.pop_back();
  }
  auto* node = Find(message.to);
  bool is_lost = !is_calm_ && Chance(kLoss);
  if (!node || !node->replica || is_lost || IsCut(message.from, message.to)) {
    return;
  }
  Carry(*node, OnMessage(*node->replica, message, now_));
}

void Cluster::Offer() {
  for (auto& node : nodes_) {
    if (!node.replica || node.replica->role != Role::kLeader) {
      continue;
    }
    std::string command = "edit-" + std::to_string(next_command_++);
    auto result = Propose(*node.replica, command, now_);
    if (result.status == ProposeStatus::kAccepted) {
      waiting_[{node.id, result.index, result.term}] = command;
      Carry(node, std::move(result.output));
    }
  }
}

// Removes a member, or adds a new one as a learner.
void Cluster::ChangeMembers() {
  for (size_t i = 0; i < nodes_.size(); ++i) {
    if (!nodes_[i].replica || nodes_[i].replica->role != Role::kLeader) {
      continue;
    }
    auto members = nodes_[i].replica->members;
    if (members.size() > 3 && Chance(0.5)) {
      auto& victim = members[random_() % members.size()];
      if (victim.id != nodes_[i].id) {
        members.erase(members.begin() + (&victim - members.data()));
      }
    } else if (members.size() < 6 && nodes_.size() < 9) {
      Node node;
      node.id = static_cast<ReplicaId>(nodes_.size() + 1);
      node.disk.instance = next_instance_++;
      members.push_back({node.id, AdminOf(node.id), false, 0});
      nodes_.push_back(std::move(node));
      Start(nodes_.back());
    }
    auto result = consensus::ProposeMembers(*nodes_[i].replica, members, now_);
    Carry(nodes_[i], std::move(result.output));
    return;
  }
}

void Cluster::Partition() {
  cut_off_.clear();
  if (Chance(0.5)) {
    return;
  }
  for (const auto& node : nodes_) {
    if (Chance(0.4)) {
      cut_off_.insert(node.id);
    }
  }
}

void Cluster::Step() {
  now_ += std::chrono::milliseconds(random_() % 20);
  for (auto& node : nodes_) {
    if (!node.replica && now_ >= node.restart_at) {
      Start(node);
    }
    if (node.replica && now_ >= NextDeadline(*node.replica)) {
      Carry(node, OnTick(*node.replica, now_));
    }
  }
  while (network_.size() > kMaxInFlight) {
    Deliver(random_() % network_.size());
  }
  for (int i = 0; i < 6 && !network_.empty(); ++i) {
    Deliver(random_() % network_.size());
  }
  if (is_calm_) {
    return;
  }
  if (Chance(0.15)) {
    Offer();
  }
  if (Chance(0.02)) {
    Partition();
  }
  if (options_.member_changes && Chance(0.02)) {
    ChangeMembers();
  }
  if (options_.crashes && Chance(0.005)) {
    Crash(nodes_[random_() % nodes_.size()]);
  }
  bool may_lose = options_.lost_disks && Chance(0.002);
  if (may_lose && nodes_.front().disk.instance == 1) {
    LoseDisk(nodes_.front());
  }
}

void Cluster::Run(int steps) {
  for (int i = 0; i < steps; ++i) {
    Step();
  }
  is_calm_ = true;
  cut_off_.clear();
  for (int i = 0; i < kCalmSteps; ++i) {
    Step();
  }
}

bool Cluster::IsSettled() const {
  const Replica* leader = nullptr;
  for (const auto& node : nodes_) {
    if (node.replica && node.replica->role == Role::kLeader) {
      leader = &*node.replica;
    }
  }
  if (!leader) {
    return false;
  }
  size_t same = 0;
  for (const auto& node : nodes_) {
    same += node.replica && IsVoter(*leader, node.id) &&
            node.replica->applied == leader->applied;
  }
  size_t voters = std::count_if(leader->members.begin(), leader->members.end(),
                                [](const Member& m) { return m.is_voter; });
  return same * 2 > voters;
}

}  // namespace acaciahold::consensus
