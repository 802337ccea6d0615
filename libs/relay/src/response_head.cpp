#include <relay/response_head.h>

#include <algorithm>
#include <cctype>
#include <string>

namespace pollen {

namespace {

constexpr std::string_view statusLineBegin = "HTTP/1.";

bool equalNoCase(char left, char right)
{
    return std::tolower(static_cast<unsigned char>(left)) == std::tolower(static_cast<unsigned char>(right));
}

} // namespace

bool holdsResponseHead(std::string_view body, std::string_view echoHeader)
{
    const size_t statusLine = body.find(statusLineBegin);
    if (statusLine == std::string_view::npos)
        return false;
    std::string headerLine = "\n";
    headerLine.append(echoHeader).append(":");
    const std::string_view head = body.substr(statusLine);
    return std::search(head.begin(), head.end(), headerLine.begin(), headerLine.end(), equalNoCase) != head.end();
}

} // namespace pollen
