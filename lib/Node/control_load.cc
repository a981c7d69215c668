// Load reports, sums and digests of a control host. Nothing is sent while no
// listener has a term, nor to hosts of earlier versions.

#include <utility>

#include "acaciahold/Load/digest_changes.h"
#include "acaciahold/Node/control_node.h"
#include "load_events.h"

namespace acaciahold::node {

void ControlNode::TickLoad() {
  Instant now = ReadClock();
  if (load::HasTerms(state_.view.catalog)) {
    ExchangeLoad(now);
  } else {
    load_.digest = {};
    load::SkipInterval(load_.standing);
    sent_digest_.reset();
  }
  auto summary = load::Summarize(load_.digest);
  LogLoadChanges(logged_load_, summary, Duration());
  logged_load_ = std::move(summary);
  load_timer_.expires_after(load::kReportInterval);
  load_timer_.async_wait([this](boost::system::error_code ec) {
    if (!ec) {
      TickLoad();
    }
  });
}

void ControlNode::ExchangeLoad(Instant now) {
  auto own = load::EndInterval(load_, state_.view, directory_,
                               entry_host_counter_.lease_deadlines.size(), now);
  auto sums = Encode(std::move(own));
  for (auto& [to, connector] : links_) {
    if (connector->is_open() && UnderstandsLoad(to)) {
      ++load_sent_.sums;
      connector->Send(sums);
    }
  }
  auto digest = Encode(load::TakeChanges(sent_digest_, load_.digest));
  for (auto& [id, peer] : peers_) {
    if (peer.is_synced && peer.hello.understands_load) {
      ++load_sent_.digests;
      peer.session->Send(digest);
    }
  }
}

// Whether the newest Hello of the control host at `link` says that it
// understands load sums.
bool ControlNode::UnderstandsLoad(Endpoint link) const {
  bool understands = false;
  for (const auto& [id, peer] : peers_) {
    bool is_host = peer.hello.is_control && peer.hello.link == link;
    understands = is_host ? peer.hello.understands_load : understands;
  }
  return understands;
}

// Sends the digest that later changes refer to. It also shows the entry host
// that it may send reports.
void ControlNode::SendFirstDigest(const Peer& peer) {
  if (peer.hello.understands_load && load::HasTerms(state_.view.catalog)) {
    ++load_sent_.digests;
    peer.session->Send(Encode(sent_digest_.value_or(LoadDigest{})));
  }
}

void ControlNode::OnLoadReport(const Peer& peer, const LoadReport& report) {
  if (!peer.hello.is_control && !peer.hello.name.empty()) {
    load::OnReport(load_, peer.hello.name, peer.hello.failure_domain, report,
                   ReadClock());
  }
}

void ControlNode::OnLoadSums(const Peer& peer, const LoadSums& sums) {
  if (peer.hello.is_control) {
    load::OnSums(load_, peer.hello.link, sums, ReadClock());
  }
}

}  // namespace acaciahold::node
