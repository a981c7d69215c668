// Elects a leader and replies to it.

#include "test_leader.h"

namespace acaciahold::consensus {

Endpoint EndpointOf(ReplicaId id) {
  return {id, 7'000};
}

namespace {

// Returns the leader that the state becomes by the votes of all others.
Replica Elect(StartState start) {
  auto replica = StartReplica(std::move(start), kStart);
  OnTick(replica, replica.election_deadline);
  for (auto kind : {MessageKind::kPreVoteReply, MessageKind::kVoteReply}) {
    for (size_t id = 2; id <= CountVoters(replica); ++id) {
      Message grant;
      grant.kind = kind;
      grant.from = static_cast<ReplicaId>(id);
      grant.to = 1;
      grant.instance = 100 + id;
      grant.term = replica.hard_state.term +
                   (kind == MessageKind::kPreVoteReply ? 1 : 0);
      grant.granted = true;
      OnMessage(replica, grant, kStart);
    }
  }
  return replica;
}

StartState MakeStart(ReplicaId voters, bool has_instances) {
  StartState start;
  start.id = 1;
  start.instance = 101;
  for (ReplicaId id = 1; id <= voters; ++id) {
    start.snapshot.members.push_back(
        {id, EndpointOf(id), true, has_instances ? 100ULL + id : 0});
  }
  return start;
}

}  // namespace

Replica MakeLeader(ReplicaId voters) {
  auto start = MakeStart(voters, true);
  start.snapshot.index = 1;
  start.snapshot.term = 1;
  start.hard_state.term = 1;
  return Elect(std::move(start));
}

Replica MakeFoundingLeader(ReplicaId voters, uint32_t tolerated_disk_losses) {
  auto start = MakeStart(voters, false);
  start.tolerated_disk_losses = tolerated_disk_losses;
  return Elect(std::move(start));
}

Output ReplyToAppend(Replica& replica,
                     ReplicaId from,
                     uint64_t read_round,
                     Instant now) {
  Message reply;
  reply.kind = MessageKind::kAppendReply;
  reply.from = from;
  reply.to = replica.id;
  reply.instance = 100 + from;
  reply.term = replica.hard_state.term;
  reply.index = LastIndex(replica);
  reply.granted = true;
  reply.read_round = read_round;
  return OnMessage(replica, reply, now);
}

}  // namespace acaciahold::consensus
