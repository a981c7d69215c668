// How a control host leaves its group before it stops.

#include <utility>

#include "acaciahold/Node/control_node.h"
#include "acaciahold/Observe/event_log.h"

namespace acaciahold::node {
namespace {

using consensus::LeaveAnswer;
using consensus::LeaveStep;
using observe::EventPriority;
using observe::LogEvent;

constexpr std::chrono::milliseconds kLeaveTickInterval{20};

}  // namespace

void ControlNode::LeaveGroup(Duration grace, std::function<void()> done) {
  if (leave_) {
    return;
  }
  leave_ = consensus::StartLeave(grace, ReadClock());
  on_left_ = std::move(done);
  driver_->StartHandOver();
  LogEvent(EventPriority::kNotable, "leave_started",
           {{"is_leader", driver_->is_leader()},
            {"members", driver_->members().size()}});
  ContinueLeave();
}

void ControlNode::ContinueLeave() {
  auto step =
      consensus::NextLeaveStep(*leave_, driver_->replica(), ReadClock());
  if (step == LeaveStep::kEnd) {
    LogEvent(EventPriority::kNotable, "leave_ended",
             {{"answer", consensus::AnswerName(leave_->answer)},
              {"is_leader", driver_->is_leader()}});
    std::exchange(on_left_, {})();
    return;
  }
  auto leader = OtherLeader();
  auto it = leader ? links_.find(*leader) : links_.end();
  if (step == LeaveStep::kSendRequest && it != links_.end()) {
    it->second->Send(
        Encode(LeaveMessage{driver_->replica().id, settings_.link()}));
  }
  leave_timer_.expires_after(kLeaveTickInterval);
  leave_timer_.async_wait([this](boost::system::error_code ec) {
    if (!ec) {
      ContinueLeave();
    }
  });
}

void ControlNode::OnLeaveMessage(const LeaveMessage& message) {
  auto answer = driver_->OnLeaveRequest(message.id);
  auto it = links_.find(message.from);
  if (answer == LeaveAnswer::kPending || it == links_.end()) {
    return;
  }
  it->second->Send(Encode(LeaveAnswerMessage{answer == LeaveAnswer::kStays}));
}

void ControlNode::OnLeaveAnswer(const LeaveAnswerMessage& message) {
  if (leave_) {
    leave_->answer =
        message.is_member ? LeaveAnswer::kStays : LeaveAnswer::kLeft;
  }
}

}  // namespace acaciahold::node
