#include <base/json_logger.h>

#include <boost/log/core.hpp>
#include <boost/log/sinks/basic_sink_backend.hpp>
#include <boost/log/sinks/unlocked_frontend.hpp>
#include <boost/log/sources/logger.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/make_shared.hpp>
#include <nlohmann/json.hpp>
#include <poll.h>
#include <unistd.h>

namespace pollen {

namespace {

const char* levelName(log_level level)
{
    switch (level) {
    case log_level::Debug:
        return "debug";
    case log_level::Info:
        return "info";
    case log_level::Warning:
        return "warning";
    case log_level::Error:
        return "error";
    }
    return "error";
}

} // namespace

class json_logger::sink_backend final
    : public boost::log::sinks::basic_formatted_sink_backend<char, boost::log::sinks::concurrent_feeding> {
public:
    explicit sink_backend(int fileDescriptor)
        : m_fileDescriptor(fileDescriptor)
    {
    }

    void consume(const boost::log::record_view&, const string_type& line)
    {
        pollfd entry { m_fileDescriptor, POLLOUT, 0 };
        if (poll(&entry, 1, 0) != 1 || !(entry.revents & POLLOUT)) {
            ++m_droppedLines;
            return;
        }
        const ssize_t written = ::write(m_fileDescriptor, line.data(), line.size());
        if (written != static_cast<ssize_t>(line.size()))
            ++m_droppedLines;
    }

    uint64_t droppedLines() const { return m_droppedLines; }

private:
    int m_fileDescriptor;
    uint64_t m_droppedLines = 0;
};

struct json_logger::details {
    boost::shared_ptr<sink_backend> backend;
    boost::shared_ptr<boost::log::sinks::unlocked_sink<sink_backend>> sink;
    boost::log::sources::logger boostLogger;
    log_level minimumLevel;
    std::string sourceName;
    const pollen::clock& clock;
};

json_logger::json_logger(int fileDescriptor, log_level minimumLevel, std::string source, const clock& clock)
    : m_details(new details {
        boost::make_shared<sink_backend>(fileDescriptor), nullptr, {}, minimumLevel, std::move(source), clock })
{
    m_details->sink = boost::make_shared<boost::log::sinks::unlocked_sink<sink_backend>>(m_details->backend);
    m_details->sink->set_formatter([](const boost::log::record_view& record, boost::log::formatting_ostream& out) {
        const auto message = record[boost::log::aux::default_attribute_names::message()].extract<std::string>();
        out << *message << '\n';
    });
    boost::log::core::get()->add_sink(m_details->sink);
}

json_logger::~json_logger() { boost::log::core::get()->remove_sink(m_details->sink); }

void json_logger::write(log_level level, std::string_view event, std::initializer_list<log_field> fields)
{
    if (level < m_details->minimumLevel)
        return;
    nlohmann::ordered_json line;
    line["time_ms"] = m_details->clock.wallMilliseconds();
    line["level"] = levelName(level);
    line["source"] = m_details->sourceName;
    line["event"] = event;
    for (const log_field& field : fields)
        std::visit([&](const auto& value) { line[std::string(field.name)] = value; }, field.value);
    BOOST_LOG(m_details->boostLogger) << line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

uint64_t json_logger::droppedLines() const { return m_details->backend->droppedLines(); }

} // namespace pollen
