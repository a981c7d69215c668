// Parsing and formatting of IPv4 addresses and endpoints.

#include "acaciahold/Support/address.h"

#include <charconv>

#include <boost/asio/ip/address_v4.hpp>

namespace acaciahold {

Result<uint32_t> ParseAddress(std::string_view text) {
  boost::system::error_code ec;
  auto address = boost::asio::ip::make_address_v4(text, ec);
  if (ec) {
    return leaf::new_error(
        FieldError{.value = std::string(text),
                   .expected = "an IPv4 address such as 10.0.0.1"});
  }
  return address.to_uint();
}

Result<Endpoint> ParseEndpoint(std::string_view text) {
  auto fail = [&] {
    return leaf::new_error(FieldError{
        .value = std::string(text),
        .expected = "an IPv4 address and port such as 10.0.0.1:7000"});
  };
  auto colon = text.rfind(':');
  if (colon == std::string_view::npos) {
    return fail();
  }
  auto port_text = text.substr(colon + 1);
  uint16_t port = 0;
  auto [end, ec] = std::from_chars(port_text.data(),
                                   port_text.data() + port_text.size(), port);
  if (ec != std::errc() || end != port_text.data() + port_text.size() ||
      port == 0) {
    return fail();
  }
  boost::system::error_code address_ec;
  auto address = boost::asio::ip::make_address_v4(
      std::string(text.substr(0, colon)), address_ec);
  if (address_ec) {
    return fail();
  }
  return Endpoint{address.to_uint(), port};
}

std::string FormatAddress(uint32_t address) {
  return boost::asio::ip::address_v4(address).to_string();
}

std::string FormatEndpoint(Endpoint endpoint) {
  return FormatAddress(endpoint.address) + ":" + std::to_string(endpoint.port);
}

}  // namespace acaciahold
