#pragma once

/// @file
/// @brief IP addresses with a port.

#include <boost/asio/ip/tcp.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace cowslipdoor::runtime {

/// @brief Parses an address such as 192.0.2.1:80 or [2001:db8::1]:80.
/// @param text address literal; host names are not resolved
/// @return the endpoint
/// @throws Error with ErrorKind::BadSetting if the text is malformed
[[nodiscard]] boost::asio::ip::tcp::endpoint parseAddress(std::string_view text);

/// @brief Parses addresses separated by commas.
/// @param text the list; an empty text is an empty list
/// @return the text of each address, validated
/// @throws Error with ErrorKind::BadSetting if an address is malformed
[[nodiscard]] std::vector<std::string> parseAddressList(std::string_view text);

}
