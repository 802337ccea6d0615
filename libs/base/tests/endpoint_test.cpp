#include <base/endpoint.h>
#include <gtest/gtest.h>

namespace pollen {

TEST(Endpoint, ParsesAddressesAndPorts)
{
    EXPECT_EQ(parseEndpoint("127.0.0.1:80"), (endpoint { "127.0.0.1", 80 }));
    EXPECT_EQ(parseEndpoint("[::1]:65535"), (endpoint { "::1", 65535 }));
    EXPECT_EQ(parseEndpoint("[::1]:8080").text(), "[::1]:8080");
}

TEST(Endpoint, RejectsEverythingElse)
{
    for (const char* text : { "", ":80", "127.0.0.1", "127.0.0.1:", "127.0.0.1:65536", "127.0.0.1:-1", "127.0.0.1:80x",
             "localhost:80", "::1:80", "[127.0.0.1]:80", "1.2.3:80" })
        EXPECT_THROW(parseEndpoint(text), endpoint_error) << text;
}

} // namespace pollen
