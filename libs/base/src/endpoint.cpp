#include <base/endpoint.h>

#include <arpa/inet.h>
#include <charconv>

namespace pollen {

endpoint_error::endpoint_error(const std::string& text)
    : error("not an IP address and port: '" + text + "'")
{
}

std::string endpoint::text() const
{
    if (address.find(':') != std::string::npos)
        return "[" + address + "]:" + std::to_string(port);
    return address + ":" + std::to_string(port);
}

endpoint parseEndpoint(const std::string& text)
{
    const size_t colon = text.rfind(':');
    if (colon == std::string::npos || colon == 0)
        throw endpoint_error(text);
    endpoint result;
    result.address = text.substr(0, colon);
    const bool bracketed = result.address.front() == '[' && result.address.back() == ']';
    if (bracketed)
        result.address = result.address.substr(1, result.address.size() - 2);
    const char* first = text.data() + colon + 1;
    const char* last = text.data() + text.size();
    const auto [end, errorCode] = std::from_chars(first, last, result.port);
    if (errorCode != std::errc() || end != last)
        throw endpoint_error(text);
    in6_addr storage {};
    if (inet_pton(bracketed ? AF_INET6 : AF_INET, result.address.c_str(), &storage) != 1)
        throw endpoint_error(text);
    return result;
}

} // namespace pollen
