// The compact form of news: whole, damaged, and small enough.

#include "acaciahold/Wire/news.h"

#include <boost/test/unit_test.hpp>

namespace acaciahold::wire {
namespace {

// A deployment's upstreams, as they look after some minutes.
Records MakeRecords(size_t n) {
  Records records;
  for (size_t i = 0; i < n; ++i) {
    auto& record = records.records.emplace_back();
    record.id = 0xfedcba9876543210ULL + i;
    record.service = i % 5 == 0 ? "returns-ledger" : "depot-desk";
    record.endpoint = {0x0a800009U + static_cast<uint32_t>(i), 8080};
    record.failure_domain = "north-" + std::to_string(i % 6);
    record.slots = 2;
    record.phase = directory::Phase::kDraining;
    record.born_ms = 1'796'000'000'000;
    record.sequence = 500 + i;
    record.cold_ms = 1'500;
  }
  return records;
}

}  // namespace

BOOST_AUTO_TEST_CASE(RecordsComeBackAsTheyWere) {
  auto records = MakeRecords(40);
  records.is_whole = true;
  auto back = DecodeNews(EncodeNews(records));
  BOOST_REQUIRE(back.has_value());
  const auto& list = std::get<Records>(*back);
  BOOST_CHECK(list.records == records.records);
  BOOST_TEST(list.is_whole);
}

BOOST_AUTO_TEST_CASE(ViewChangesComeBackAsTheyWere) {
  catalog::ViewChange change;
  change.base_revision = 3;
  change.revision = 5;
  change.version = 70;
  change.idle_timeout_ms = 15'000;
  change.removed_listeners = {{1, 80}};
  change.listeners = {{"a", {2, 443}, {{"orders", 9}, {"returns", 1}}}};
  change.removed_services = {"old"};
  change.services = {{"orders", 4.5}};
  change.domains_out = {"north", "south"};
  auto back = DecodeNews(EncodeNews(change));
  BOOST_REQUIRE(back.has_value());
  BOOST_CHECK(std::get<catalog::ViewChange>(*back) == change);
}

// A release replaces hundreds of upstreams, and hundreds of hosts start at
// once: each reads all records within 100 ms of a link of 2 Mbit/s.
BOOST_AUTO_TEST_CASE(TheFirstStateOfAStartFitsASlowLink) {
  constexpr size_t kUpstreams = 600;
  constexpr size_t kBytesIn100Ms = 2'000'000 / 8 / 10;
  BOOST_TEST(EncodeNews(MakeRecords(kUpstreams)).size() <= kBytesIn100Ms);
}

BOOST_AUTO_TEST_CASE(DamagedNewsAreRefusedWhole) {
  auto encoded = EncodeNews(MakeRecords(3));
  std::string_view bytes = encoded;
  for (size_t n = 1; n < bytes.size(); ++n) {
    auto cut = DecodeNews(bytes.substr(0, n));
    BOOST_CHECK(!cut);
  }
  BOOST_CHECK(!DecodeNews(""));
  BOOST_CHECK(!DecodeNews("{\"kind\":\"records\"}"));
}

// A name that the list doesn't have, or an unknown phase.
BOOST_AUTO_TEST_CASE(RecordsOutOfRangeAreRefused) {
  auto records = MakeRecords(1);
  records.records[0].phase = static_cast<directory::Phase>(9);
  BOOST_CHECK(!DecodeNews(EncodeNews(records)));
}

}  // namespace acaciahold::wire
