#include <http/http_message.h>

#include <array>
#include <strings.h>

namespace pollen {

namespace {

bool equalNoCase(std::string_view left, std::string_view right)
{
    return left.size() == right.size() && strncasecmp(left.data(), right.data(), left.size()) == 0;
}

} // namespace

std::string_view findHeader(const http_headers& headers, std::string_view name)
{
    for (const auto& [key, value] : headers) {
        if (equalNoCase(key, name))
            return value;
    }
    return {};
}

bool isIdempotentMethod(std::string_view method)
{
    static constexpr std::array<std::string_view, 6> idempotent { "GET", "HEAD", "PUT", "DELETE", "OPTIONS", "TRACE" };
    for (const std::string_view candidate : idempotent) {
        if (candidate == method)
            return true;
    }
    return false;
}

std::string_view targetPath(std::string_view target) { return target.substr(0, target.find('?')); }

std::string_view queryParameter(std::string_view target, std::string_view name)
{
    const size_t question = target.find('?');
    if (question == std::string_view::npos)
        return {};
    std::string_view rest = target.substr(question + 1);
    while (!rest.empty()) {
        const size_t ampersand = rest.find('&');
        const std::string_view pair = rest.substr(0, ampersand);
        const size_t equals = pair.find('=');
        if (equals != std::string_view::npos && pair.substr(0, equals) == name)
            return pair.substr(equals + 1);
        if (ampersand == std::string_view::npos)
            break;
        rest.remove_prefix(ampersand + 1);
    }
    return {};
}

} // namespace pollen
