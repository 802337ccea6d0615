#include <ctl/text_diff.h>

#include <algorithm>
#include <sstream>

namespace pollen {

namespace {

std::vector<std::string> splitLines(const std::string& text)
{
    std::vector<std::string> lines;
    std::istringstream stream(text);
    for (std::string line; std::getline(stream, line);)
        lines.push_back(line);
    return lines;
}

// lengths[i][j]: length of the longest common subsequence of the lines from i and from j on.
using length_table = std::vector<std::vector<size_t>>;

length_table commonLengths(const std::vector<std::string>& before, const std::vector<std::string>& after)
{
    length_table lengths(before.size() + 1, std::vector<size_t>(after.size() + 1, 0));
    for (size_t i = before.size(); i-- > 0;) {
        for (size_t j = after.size(); j-- > 0;) {
            const size_t skip = std::max(lengths[i + 1][j], lengths[i][j + 1]);
            lengths[i][j] = before[i] == after[j] ? lengths[i + 1][j + 1] + 1 : skip;
        }
    }
    return lengths;
}

} // namespace

std::vector<std::string> diffLines(const std::string& before, const std::string& after)
{
    const std::vector<std::string> left = splitLines(before);
    const std::vector<std::string> right = splitLines(after);
    const length_table lengths = commonLengths(left, right);
    std::vector<std::string> result;
    size_t i = 0;
    size_t j = 0;
    while (i < left.size() || j < right.size()) {
        if (i < left.size() && j < right.size() && left[i] == right[j]) {
            ++i;
            ++j;
            continue;
        }
        const bool removed = j == right.size() || (i < left.size() && lengths[i + 1][j] >= lengths[i][j + 1]);
        result.push_back(removed ? "-" + left[i] : "+" + right[j]);
        i += removed ? 1 : 0;
        j += removed ? 0 : 1;
    }
    return result;
}

} // namespace pollen
