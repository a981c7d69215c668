// The compact form of what control hosts tell many hosts: records of upstreams
// and changes of the catalog. Decoding returns nothing for bytes that are no
// well-formed message.

#ifndef ACACIAHOLD_WIRE_NEWS_H_
#define ACACIAHOLD_WIRE_NEWS_H_

#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "acaciahold/Catalog/view_change.h"
#include "acaciahold/Directory/directory.h"

namespace acaciahold::wire {

// Upstreams whose records have changed.
struct Records {
  std::vector<directory::Record> records;
  // Control hosts to each other: the sender's whole directory is sent.
  bool is_whole = false;
};

// Upstreams that announced themselves again without a change.
struct Refreshes {
  std::vector<directory::RefreshNotice> refreshments;
};

// Upstreams that this control host has not heard of for long.
struct Silences {
  std::vector<directory::UpstreamId> ids;
};

// Upstreams that a control host suspects anew, to all hosts.
struct Suspects {
  std::vector<directory::UpstreamId> ids;
};

// A message that goes to few hosts, as text in a form of its own.
struct Document {
  std::string text;
};

using News = std::variant<Document,
                          Records,
                          Refreshes,
                          Silences,
                          Suspects,
                          catalog::ViewChange>;

std::string EncodeNews(const News& news);
std::optional<News> DecodeNews(std::string_view bytes);

}  // namespace acaciahold::wire

#endif  // ACACIAHOLD_WIRE_NEWS_H_
