// The simulated cluster.

#include "cluster.h"

#include <algorithm>
#include <memory>
#include <utility>

namespace acaciahold::consensus {
namespace {

constexpr double kLossProbability = 0.1;
constexpr double kDuplicateProbability = 0.05;
constexpr size_t kMaxInFlight = 60;
constexpr size_t kCommandsPerSnapshot = 12;
// No new host comes beyond this number, and no disk is lost beyond the other.
constexpr size_t kMaxNodes = 12;
constexpr size_t kMaxReplicas = 24;

Endpoint EndpointOf(ReplicaId id) {
  return {id, 1};
}

// Names an entry that is not a command, so that no other one passes for it.
std::string DescribeEntry(const LogEntry& entry) {
  return "entry " + std::to_string(entry.index) + " of term " +
         std::to_string(entry.term);
}

}  // namespace

Cluster::Cluster(uint64_t seed, const ClusterOptions& options)
    : random_(seed), options_(options) {
  std::vector<Member> members;
  for (int i = 1; i <= options.replicas; ++i) {
    auto id = static_cast<ReplicaId>(i);
    members.push_back({id, EndpointOf(id), true, 0});
  }
  for (const auto& member : members) {
    nodes_.push_back(MakeNode(member.id, members));
  }
  for (auto& node : nodes_) {
    StartNode(node);
  }
}

Cluster::Node Cluster::MakeNode(ReplicaId id,
                                const std::vector<Member>& members) {
  Node node;
  node.id = id;
  node.endpoint = EndpointOf(id);
  node.instance = next_instance_++;
  node.disk = options_.make_disk(id, node.instance, random_(), members);
  return node;
}

bool Cluster::RandomlyTrue(double p) {
  return std::uniform_real_distribution<double>(0, 1)(random_) < p;
}

Cluster::Node* Cluster::FindNode(ReplicaId id) {
  return const_cast<Node*>(std::as_const(*this).FindNode(id));
}

const Cluster::Node* Cluster::FindNode(ReplicaId id) const {
  auto it = std::find_if(nodes_.begin(), nodes_.end(),
                         [&](const Node& node) { return node.id == id; });
  return it == nodes_.end() ? nullptr : &*it;
}

bool Cluster::IsPartitioned(ReplicaId a, ReplicaId b) const {
  return partition_ids_.contains(a) != partition_ids_.contains(b);
}

void Cluster::StartNode(Node& node) {
  auto start = node.disk.open();
  start.seed = random_();
  if (options_.is_tolerance_known) {
    start.tolerated_disk_losses = options_.max_lost_disks;
  }
  node.applied_index = start.snapshot.index;
  node.replica = StartReplica(std::move(start), now_);
  ++node.incarnation;
  node.leave.reset();
  node.requests = {};
  history_.push_back(
      {EventKind::kReset, node.id, node.incarnation, node.applied_index, ""});
  ProcessOutput(node, OnStart(*node.replica));
}

void Cluster::CrashNode(Node& node) {
  node.replica.reset();
  node.disk.end_process();
  node.restart_at = now_ + std::chrono::milliseconds(300);
  std::erase_if(pending_commands_, [&](const auto& it) {
    return std::get<0>(it.first) == node.id;
  });
}

// Loses the data folder, and then starts the same id on a new folder, which is
// an operator error that the group must survive.
void Cluster::LoseDisk(Node& node) {
  CrashNode(node);
  std::vector<Member> members;
  for (int i = 1; i <= options_.replicas; ++i) {
    auto id = static_cast<ReplicaId>(i);
    members.push_back({id, EndpointOf(id), true, 0});
  }
  auto replacement = MakeNode(node.id, members);
  node.instance = replacement.instance;
  node.disk = std::move(replacement.disk);
}

void Cluster::ProcessOutput(Node& node, Output output) {
  bool crash_before_sync =
      options_.crashes && !faults_stopped_ && RandomlyTrue(0.004);
  if (crash_before_sync) {
    CrashNode(node);  // Before any of the output is synced.
    return;
  }
  bool needs_write = !output.persist.IsEmpty() || output.persist.commit_hint;
  if (needs_write && !node.disk.write(output.persist)) {
    CrashNode(node);
    return;
  }
  for (auto& message : output.messages) {
    network_.push_back(std::move(message));
  }
  if (output.restore) {
    node.applied_index = output.restore->index;
    history_.push_back(
        {EventKind::kReset, node.id, node.incarnation, node.applied_index, ""});
  }
  for (const auto& entry : output.committed) {
    node.applied_index = entry.index;
    if (entry.kind != EntryKind::kCommand) {
      history_.push_back({EventKind::kApplied, node.id, node.incarnation,
                          entry.index, DescribeEntry(entry)});
      continue;
    }
    node.applied.push_back(entry.payload);
    history_.push_back({EventKind::kApplied, node.id, node.incarnation,
                        entry.index, entry.payload});
    auto it = pending_commands_.find({node.id, entry.index, entry.term});
    if (it != pending_commands_.end()) {
      ++acknowledged_count_;
      acknowledged_index_ = std::max(acknowledged_index_, entry.index);
      history_.push_back({EventKind::kAcknowledged, node.id, node.incarnation,
                          entry.index, it->second});
      pending_commands_.erase(it);
    }
  }
  auto& replica = *node.replica;
  if (replica.role == Role::kLeader) {
    history_.push_back({EventKind::kBecameLeader, node.id, node.incarnation,
                        replica.hard_state.term, ""});
  }
  if (replica.applied >= replica.snapshot.index + kCommandsPerSnapshot) {
    ProcessOutput(node, Compact(replica, "snapshot"));
  }
}

void Cluster::Deliver(size_t position) {
  std::swap(network_[position], network_.back());
  Message message = network_.back();
  if (faults_stopped_ || !RandomlyTrue(kDuplicateProbability)) {
    network_.pop_back();
  }
  auto* node = FindNode(message.to);
  bool is_dropped = !faults_stopped_ && RandomlyTrue(kLossProbability);
  if (!node || !node->replica || is_dropped ||
      IsPartitioned(message.from, message.to)) {
    return;
  }
  ProcessOutput(*node, OnMessage(*node->replica, message, now_));
}

void Cluster::ProposeCommand() {
  for (auto& node : nodes_) {
    if (!node.replica || node.replica->role != Role::kLeader) {
      continue;
    }
    std::string command = "edit-" + std::to_string(next_command_++);
    auto result = Propose(*node.replica, command, now_);
    if (result.status == ProposeStatus::kAccepted) {
      pending_commands_[{node.id, result.index, result.term}] = command;
      ProcessOutput(node, std::move(result.output));
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
    if (members.size() > 3 && RandomlyTrue(0.5)) {
      auto& removed = members[random_() % members.size()];
      if (removed.id != nodes_[i].id) {
        members.erase(members.begin() + (&removed - members.data()));
      }
    } else if (members.size() < 6 && nodes_.size() < 9) {
      auto id = static_cast<ReplicaId>(nodes_.size() + 1);
      members.push_back({id, EndpointOf(id), false, 0});
      nodes_.push_back(MakeNode(id, {}));
      StartNode(nodes_.back());
    }
    auto result = consensus::ProposeMembers(*nodes_[i].replica, members, now_);
    ProcessOutput(nodes_[i], std::move(result.output));
    return;
  }
}

Cluster::Node* Cluster::FindLeader() {
  Node* leader = nullptr;
  for (auto& node : nodes_) {
    bool is_newest = node.replica && node.replica->role == Role::kLeader &&
                     (!leader || node.replica->hard_state.term >
                                     leader->replica->hard_state.term);
    leader = is_newest ? &node : leader;
  }
  return leader;
}

// Lets a leader hand over, and a leaving host ask its leader and end.
void Cluster::ContinueLeave(Node& node) {
  ProcessOutput(node, HandOverLeadership(*node.replica, now_));
  if (!node.replica) {
    return;
  }
  auto step = NextLeaveStep(*node.leave, *node.replica, now_);
  auto* leader = FindNode(node.replica->leader);
  if (step == LeaveStep::kSendRequest && leader && leader->replica &&
      !IsPartitioned(node.id, leader->id)) {
    OnLeaveRequest(leader->requests, node.id, now_);
    node.leave->answer = AnswerLeaveRequest(*leader->replica, node.id, now_);
  }
  if (step == LeaveStep::kEnd) {
    node.is_gone = node.leave->answer == LeaveAnswer::kLeft;
    CrashNode(node);
  }
}

const Cluster::Node& Cluster::LastSuccessor(const Node& node) const {
  const Node* it = &node;
  while (it->successor != 0) {
    it = FindNode(it->successor);
  }
  return *it;
}

// Notes which lost replicas have been replaced, by the committed members of the
// newest leader.
void Cluster::UpdateLostDisks() {
  const auto* leader = FindLeader();
  if (!leader || leader->replica->members_index > leader->replica->commit) {
    return;
  }
  is_formed_ = true;
  const auto& members = leader->replica->members;
  for (auto& node : nodes_) {
    bool is_counted =
        std::any_of(members.begin(), members.end(),
                    [&](const Member& m) { return m.id == node.id; });
    if (node.has_lost_disk && !is_counted &&
        IsVoter(*leader->replica, LastSuccessor(node).id)) {
      node.is_replaced = true;
    }
  }
}

std::set<Endpoint> Cluster::HostsWithLostDisks() const {
  std::set<Endpoint> hosts;
  for (const auto& node : nodes_) {
    if (node.has_lost_disk && !node.is_replaced) {
      hosts.insert(node.endpoint);
    }
  }
  return hosts;
}

// Returns whether the host may lose its disk now. A host that has lost one may
// lose the next one, too.
bool Cluster::MayLoseDisk(const Node& node) const {
  auto hosts = HostsWithLostDisks();
  hosts.insert(node.endpoint);
  return is_formed_ && !node.is_gone && hosts.size() <= options_.max_lost_disks;
}

// A host loses its disk and comes back with an empty one, as a new replica at
// the old endpoint; or it is gone for good, and an empty host comes in its
// place at another.
void Cluster::ReplaceDisk(size_t position) {
  CrashNode(nodes_[position]);
  auto node = MakeNode(static_cast<ReplicaId>(nodes_.size() + 1), {});
  if (RandomlyTrue(0.7)) {
    node.endpoint = nodes_[position].endpoint;
  }
  node.restart_at = now_ + std::chrono::milliseconds(300);
  nodes_[position].is_gone = true;
  nodes_[position].has_lost_disk = true;
  nodes_[position].successor = node.id;
  nodes_.push_back(std::move(node));
}

// Some hosts lose power, and get it back one after the other.
void Cluster::LosePower() {
  constexpr uint64_t kMaxTimeMs = 5'000;
  double share = std::uniform_real_distribution<double>(0.1, 0.7)(random_);
  for (auto& node : nodes_) {
    if (node.is_gone || !RandomlyTrue(share)) {
      continue;
    }
    CrashNode(node);
    node.restart_at = now_ + std::chrono::milliseconds(random_() % kMaxTimeMs);
  }
}

// Hosts without a leader ask to join, hosts that leave go on with it, and each
// leader decides on its members. New hosts come, and hosts are told to stop.
void Cluster::RunGroupDecisions() {
  auto* leader = FindLeader();
  for (auto& node : nodes_) {
    bool can_ask = leader && leader->replica && node.replica && !node.leave &&
                   node.replica->leader == 0 &&
                   !IsPartitioned(node.id, leader->id);
    if (can_ask) {
      OnJoinRequest(leader->requests, {node.id, node.instance, node.endpoint},
                    now_);
    }
    if (node.replica && node.leave) {
      ContinueLeave(node);
    }
    if (!node.replica) {
      continue;
    }
    if (auto change = NextMemberChange(*node.replica, node.requests, now_)) {
      auto result =
          ProposeMembers(*node.replica, std::move(change->members), now_);
      ProcessOutput(node, std::move(result.output));
    }
  }
  if (faults_stopped_) {
    return;
  }
  if (nodes_.size() < kMaxNodes && RandomlyTrue(0.005)) {
    nodes_.push_back(MakeNode(static_cast<ReplicaId>(nodes_.size() + 1), {}));
    StartNode(nodes_.back());
  }
  auto& node = nodes_[random_() % nodes_.size()];
  if (node.replica && !node.leave && RandomlyTrue(0.005)) {
    node.leave = StartLeave(std::chrono::seconds(6), now_);
  }
  // A host that left for good may be started again with the disk that it had.
  if (node.is_gone && !node.has_lost_disk && RandomlyTrue(0.01)) {
    node.is_gone = false;
  }
  UpdateLostDisks();
  bool may_lose_disk = options_.lost_disks && nodes_.size() < kMaxReplicas &&
                       RandomlyTrue(0.01) && MayLoseDisk(node);
  if (may_lose_disk) {
    ReplaceDisk(&node - nodes_.data());
  }
}

void Cluster::Partition() {
  partition_ids_.clear();
  if (RandomlyTrue(0.5)) {
    return;
  }
  for (const auto& node : nodes_) {
    if (RandomlyTrue(0.4)) {
      partition_ids_.insert(node.id);
    }
  }
}

void Cluster::Step() {
  now_ += std::chrono::milliseconds(random_() % 20);
  for (auto& node : nodes_) {
    if (!node.replica && !node.is_gone && now_ >= node.restart_at) {
      StartNode(node);
    }
    if (node.replica) {
      ProcessOutput(node, OnTick(*node.replica, now_));
    }
  }
  while (network_.size() > kMaxInFlight) {
    Deliver(random_() % network_.size());
  }
  for (int i = 0; i < 6 && !network_.empty(); ++i) {
    Deliver(random_() % network_.size());
  }
  if (options_.group_decisions) {
    RunGroupDecisions();
  }
  if (faults_stopped_) {
    return;
  }
  if (RandomlyTrue(0.15)) {
    ProposeCommand();
  }
  if (RandomlyTrue(0.02)) {
    Partition();
  }
  if (options_.member_changes && RandomlyTrue(0.02)) {
    ChangeMembers();
  }
  if (options_.crashes && RandomlyTrue(0.005)) {
    CrashNode(nodes_[random_() % nodes_.size()]);
  }
  if (options_.power_losses && RandomlyTrue(0.002)) {
    LosePower();
  }
  bool may_lose_disk =
      options_.lost_disks && !options_.group_decisions && RandomlyTrue(0.002);
  if (may_lose_disk && nodes_.front().instance == 1) {
    LoseDisk(nodes_.front());
  }
}

void Cluster::Run(int steps) {
  for (int i = 0; i < steps; ++i) {
    Step();
  }
  faults_stopped_ = true;
  partition_ids_.clear();
  for (auto& node : nodes_) {
    node.disk.stop_faults();
    node.restart_at = std::min(node.restart_at, now_);
  }
  for (int i = 0; i < options_.convergence_steps; ++i) {
    Step();
  }
}

bool Cluster::HasConverged() const {
  const Replica* leader = nullptr;
  for (const auto& node : nodes_) {
    if (node.replica && node.replica->role == Role::kLeader) {
      leader = &*node.replica;
    }
  }
  if (!leader || leader->applied < acknowledged_index_) {
    return false;
  }
  size_t caught_up = 0;
  for (const auto& node : nodes_) {
    caught_up += node.replica && IsVoter(*leader, node.id) &&
                 node.replica->applied == leader->applied;
  }
  size_t voters = std::count_if(leader->members.begin(), leader->members.end(),
                                [](const Member& m) { return m.is_voter; });
  return caught_up * 2 > voters;
}

}  // namespace acaciahold::consensus
