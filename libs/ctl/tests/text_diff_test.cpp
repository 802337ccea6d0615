#include <ctl/text_diff.h>
#include <gtest/gtest.h>

namespace pollen {

TEST(TextDiff, ShowsOnlyWhatDiffers)
{
    using lines = std::vector<std::string>;
    EXPECT_EQ(diffLines("a\nb\nc\n", "a\nb\nc\n"), lines {});
    EXPECT_EQ(diffLines("a\nb\nc\n", "a\nc\nd\n"), (lines { "-b", "+d" }));
    EXPECT_EQ(diffLines("", "a\n"), lines { "+a" });
    EXPECT_EQ(diffLines("a\n", ""), lines { "-a" });
}

} // namespace pollen
