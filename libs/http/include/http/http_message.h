#pragma once

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace pollen {

// Header names and values, in the order in which they are sent.
using http_headers = std::vector<std::pair<std::string, std::string>>;

// Value of the first header with that name (case-insensitive); empty when absent.
std::string_view findHeader(const http_headers& headers, std::string_view name);

struct http_request {
    std::string method = "GET";
    // Request target: path and query string.
    std::string target = "/";
    http_headers headers;
    std::string body;

    friend bool operator==(const http_request&, const http_request&) = default;
};

struct http_response {
    int status = 0;
    http_headers headers;
    std::string body;

    friend bool operator==(const http_response&, const http_response&) = default;
};

// True for methods that RFC 9110 defines as idempotent.
bool isIdempotentMethod(std::string_view method);

// Value of a query parameter of a target such as "/x?from=3", not percent-decoded; empty when absent.
std::string_view queryParameter(std::string_view target, std::string_view name);

// Path of a target, without its query string.
std::string_view targetPath(std::string_view target);

} // namespace pollen
