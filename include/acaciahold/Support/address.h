// IPv4 addresses and endpoints. Hosts are configured by IP address only; host
// names are never resolved.

#ifndef ACACIAHOLD_SUPPORT_ADDRESS_H_
#define ACACIAHOLD_SUPPORT_ADDRESS_H_

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

#include "acaciahold/Support/error.h"

namespace acaciahold {

// An IPv4 address and a port, both in host byte order.
struct Endpoint {
  uint32_t address = 0;
  uint16_t port = 0;

  auto operator<=>(const Endpoint&) const = default;
};

// Parses "10.0.0.1". Fails with FieldError.
Result<uint32_t> ParseAddress(std::string_view text);

// Parses "10.0.0.1:7000". Port 0 is rejected. Fails with FieldError.
Result<Endpoint> ParseEndpoint(std::string_view text);

std::string FormatAddress(uint32_t address);
std::string FormatEndpoint(Endpoint endpoint);

// Packs the address and port into the low 48 bits, without loss.
constexpr uint64_t PackEndpoint(Endpoint endpoint) {
  return (uint64_t{endpoint.address} << 16U) | endpoint.port;
}

constexpr Endpoint UnpackEndpoint(uint64_t packed) {
  return {static_cast<uint32_t>(packed >> 16U), static_cast<uint16_t>(packed)};
}

}  // namespace acaciahold

#endif  // ACACIAHOLD_SUPPORT_ADDRESS_H_
