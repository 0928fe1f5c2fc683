#pragma once

/// @file
/// @brief Addresses as IP number and port.

#include <boost/asio/ip/tcp.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace cowslipdoor::runtime {

/// @brief Reads "192.0.2.1:80" or "[2001:db8::1]:80".
/// @param text the address; names are not looked up
/// @return the endpoint
/// @throws Error with ErrorKind::BadSetting when the text has another form
[[nodiscard]] boost::asio::ip::tcp::endpoint parseAddress(std::string_view text);

/// @brief Reads addresses with commas between them.
/// @param text the list; empty gives none
/// @return the texts of the addresses, each checked
/// @throws Error with ErrorKind::BadSetting when one has another form
[[nodiscard]] std::vector<std::string> parseAddressList(std::string_view text);

}
