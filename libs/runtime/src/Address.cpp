#include "cowslipdoor/runtime/Address.h"
#include <charconv>
#include <cowslipdoor/core/Error.h>

namespace cowslipdoor::runtime {

namespace {

    [[noreturn]] void refuse(std::string_view text)
    {
        throw Error(ErrorKind::BadSetting, "'" + std::string(text) + "' is not an IP address and port such as 192.0.2.1:80 or [2001:db8::1]:80");
    }

    std::uint16_t parsePort(std::string_view text, std::string_view whole)
    {
        std::uint16_t port = 0;
        const std::from_chars_result result = std::from_chars(text.data(), text.data() + text.size(), port);
        if (text.empty() || result.ec != std::errc() || result.ptr != text.data() + text.size())
            refuse(whole);
        return port;
    }

}

boost::asio::ip::tcp::endpoint parseAddress(std::string_view text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos || colon == 0)
        refuse(text);
    std::string_view host = text.substr(0, colon);
    const bool bracketed = host.front() == '[' && host.back() == ']';
    if (bracketed)
        host = host.substr(1, host.size() - 2);
    boost::system::error_code error;
    const boost::asio::ip::address address = boost::asio::ip::make_address(std::string(host), error);
    if (error || address.is_v6() != bracketed)
        refuse(text);
    return { address, parsePort(text.substr(colon + 1), text) };
}

std::vector<std::string> parseAddressList(std::string_view text)
{
    std::vector<std::string> addresses;
    while (!text.empty()) {
        const std::size_t comma = std::min(text.find(','), text.size());
        (void)parseAddress(text.substr(0, comma));
        addresses.emplace_back(text.substr(0, comma));
        text.remove_prefix(std::min(comma + 1, text.size()));
    }
    return addresses;
}

}
