#include <standins/percentile.h>

#include <algorithm>
#include <cmath>

namespace pollen {

double percentile(std::vector<double> values, double share)
{
    if (values.empty())
        return 0;
    std::sort(values.begin(), values.end());
    return values[static_cast<size_t>(std::lround(share * static_cast<double>(values.size() - 1)))];
}

} // namespace pollen
