#include <base/digest.h>
#include <gtest/gtest.h>

namespace pollen {

TEST(Digest, MatchesPublishedVectors)
{
    EXPECT_EQ(sha256Hex("abc"), "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
    // RFC 4231, test case 2.
    EXPECT_EQ(hmacSha256Hex("Jefe", "what do ya want for nothing?"),
        "5bdcc146bf60754e6a042426089575c75a003f089d2739839dec58b964ec3843");
}

TEST(Digest, HexadecimalRoundTripsAndRejectsOtherText)
{
    const std::string bytes("\x00\xff\x10z", 4);
    EXPECT_EQ(fromHex(toHex(bytes)), bytes);
    EXPECT_EQ(fromHex("abc"), "");
    EXPECT_EQ(fromHex("zz"), "");
}

} // namespace pollen
