#include "command_lists.h"

#include "estimate_log.h"
#include <fstream>
#include <iomanip>
#include <limits>

namespace pollen {

namespace {

constexpr int columnWidth = 12;
constexpr int correlationDigits = 3;

void printEstimates(const std::string& title, const wait_estimates& estimates, std::ostream& out)
{
    out << title << ": " << estimates.pairs() << " pairs, rank correlation ";
    if (const std::optional<double> correlation = estimates.rankCorrelation())
        out << std::fixed << std::setprecision(correlationDigits) << *correlation << '\n';
    else
        out << "not defined (fewer than 3 pairs, or no variation)\n";
    out << std::setw(columnWidth) << "expected ms" << std::setw(columnWidth) << "pairs" << std::setw(columnWidth)
        << "median ms" << std::setw(columnWidth) << "p90 ms" << '\n';
    for (const wait_range& range : estimates.ranges()) {
        const std::string lower = std::to_string(range.lowerMilliseconds);
        out << std::setw(columnWidth)
            << (range.upperMilliseconds ? lower + '-' + std::to_string(*range.upperMilliseconds) : lower + '+')
            << std::setw(columnWidth) << range.pairs;
        if (range.pairs == 0)
            out << std::setw(columnWidth) << '-' << std::setw(columnWidth) << '-' << '\n';
        else
            out << std::setw(columnWidth) << range.medianMilliseconds << std::setw(columnWidth)
                << range.percentile90Milliseconds << '\n';
    }
}

class estimates_command final : public command {
public:
    explicit estimates_command(std::istream& input)
        : m_input(input)
    {
    }

    std::string name() const override { return "estimates"; }
    std::string operands() const override { return "[FILE]..."; }
    std::string help() const override { return "compare expected with measured first bytes, from logs"; }
    size_t operandCount() const override { return 0; }
    size_t maximumOperandCount() const override { return std::numeric_limits<size_t>::max(); }

    void run(const ctl_arguments& arguments, std::ostream& out) override
    {
        estimate_log log;
        for (const std::string& path : arguments.operands) {
            std::ifstream file(path);
            if (!file)
                throw ctl_error(ctl_exit::BadInput, path + " cannot be read");
            log.read(file);
            // A directory can be opened, but not read.
            if (file.bad())
                throw ctl_error(ctl_exit::BadInput, path + " cannot be read");
        }
        if (arguments.operands.empty())
            log.read(m_input);
        out << "skipped: " << log.unreadableLines() << " lines that could not be read, " << log.otherEvents()
            << " of other events, " << log.otherRequests() << " of other requests\n";
        if (log.all().pairs() == 0)
            throw ctl_error(ctl_exit::Refused, "no stream in these logs was answered at its first attempt");
        printEstimates("all", log.all(), out);
        for (const auto& [version, estimates] : log.byVersion())
            printEstimates("version " + version, estimates, out);
    }

private:
    std::istream& m_input;
};

} // namespace

std::unique_ptr<command> makeEstimatesCommand(std::istream& input)
{
    return std::make_unique<estimates_command>(input);
}

} // namespace pollen
