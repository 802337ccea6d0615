#include "workload.h"

namespace pollen {

std::vector<request_kind> workloadOf(const std::string& fleet)
{
    if (fleet == "tausi")
        return {
            { "tender draft", 3, "wholesale", "tender", true, 120, 150, "", "", false },
            { "contract summary", 1, "contracts", "summary", true, 1500, 120, "", "", false },
            { "stockist question", 6, "stockists", "quick", false, 30, 30, "", "", false },
            { "stockist session", 3, "stockists", "quick", true, 30, 25, "", "", true },
            { "kiosk question", 3, "kiosks", "quick", false, 20, 20, "", "", false },
            { "order", 3, "kiosks", "", false, 0, 0, "POST", "orders/orders", false },
            { "stock read", 3, "stockists", "", false, 0, 0, "GET", "orders/stock", false },
        };
    return {
        { "quote", 3, "clerks", "quote", true, 100, 80, "", "", false },
        { "buyer session", 2, "buyers", "quote", false, 60, 40, "", "", true },
        { "pattern book", 1, "pattern-books", "pattern", true, 2000, 120, "", "", false },
        { "stitch advice", 6, "makers", "advice", true, 40, 40, "", "", false },
        { "advice session", 3, "makers", "advice", false, 40, 30, "", "", true },
        { "booking", 2, "makers", "", false, 0, 0, "POST", "desk/bookings", false },
        { "payment", 2, "clerks", "", false, 0, 0, "POST", "desk/payments", false },
        { "stock read", 2, "buyers", "", false, 0, 0, "GET", "desk/stock", false },
    };
}

const request_kind& drawKind(const std::vector<request_kind>& kinds, random_source& random)
{
    std::vector<int> weights;
    weights.reserve(kinds.size());
    for (const request_kind& kind : kinds)
        weights.push_back(kind.weight);
    std::discrete_distribution<size_t> draw(weights.begin(), weights.end());
    return kinds[draw(random)];
}

} // namespace pollen
