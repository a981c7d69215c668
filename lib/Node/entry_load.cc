// Load reports of an entry host to one of its feeds, and the digests that it
// receives from all.

#include <utility>
#include <vector>

#include "acaciahold/Node/entry_node.h"
#include "acaciahold/Steering/fitness.h"
#include "load_events.h"

namespace acaciahold::node {

void EntryNode::OnLoadDigest(uint32_t feed, const LoadDigest& digest) {
  feeds_[feed].understands_reports = true;
  Instant now = ReadClock();
  load::OnDigest(steering_.digests, feed, digest, now);
  steering::ApplyRecentDigests(steering_, now);
}

void EntryNode::ReportLoad(Instant now) {
  if (!TakeReportTime(load_reporter_, now)) {
    return;
  }
  LogLoad(now);
  // Always taken, so that the counts start anew.
  auto report = steering::TakeLoadReport(steering_);
  if (!load::HasTerms(steering_.view.catalog)) {
    return;
  }
  std::vector<ReportFeed> feeds;
  for (const auto& feed : feeds_) {
    bool is_able = feed.is_connected && feed.understands_reports &&
                   feed.connector->HasReceivedWithin(kCurrentFeedTimeout);
    feeds.push_back({feed.failure_domain, is_able});
  }
  auto chosen = ChooseReportFeed(feeds, settings_.failure_domain);
  if (chosen) {
    ++load_reporter_.reports_sent;
    feeds_[*chosen].connector->Send(Encode(report));
  }
}

void EntryNode::LogLoad(Instant now) {
  auto summary = load::Summarize(steering_.digests, now);
  const auto* best = load::BestDigest(steering_.digests, now);
  LogLoadChanges(load_reporter_.logged, summary,
                 best ? now - best->came_at : Duration());
  load_reporter_.logged = std::move(summary);
}

}  // namespace acaciahold::node
