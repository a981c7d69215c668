// Protobuf encoding of load reports, sums and digests.

#ifndef ACACIAHOLD_LIB_WIRE_LOAD_MESSAGE_H_
#define ACACIAHOLD_LIB_WIRE_LOAD_MESSAGE_H_

#include <optional>

#include "acaciahold/Load/load.h"
#include "acaciahold/Wire/control_message.h"
#include "news.pb.h"

namespace acaciahold::wire {

void FillReport(news::LoadReport& to, const load::LoadReport& report);
void FillSums(news::LoadSums& to, const load::LoadSums& sums);
void FillDigest(news::LoadDigest& to, const load::LoadDigest& digest);

// Return nothing if parallel lists differ in size, an index is out of range or
// a fraction is not allowed.
std::optional<ControlMessage> ReadReport(const news::LoadReport& from);
std::optional<ControlMessage> ReadSums(const news::LoadSums& from);
std::optional<ControlMessage> ReadDigest(const news::LoadDigest& from);

}  // namespace acaciahold::wire

#endif  // ACACIAHOLD_LIB_WIRE_LOAD_MESSAGE_H_
