#include <csignal>
#include <cstdio>
#include <memory>
#include <popt.h>
#include <standins/engine_standin.h>
#include <standins/instance_list_standin.h>
#include <standins/log_standin.h>
#include <standins/rating_standin.h>
#include <standins/service_standin.h>
#include <toml++/toml.h>

namespace {

using namespace pollen;

std::string text(const toml::table& table, const char* key) { return table[key].value_or(std::string()); }

std::vector<std::string> texts(const toml::table& table, const char* key)
{
    std::vector<std::string> result;
    if (const toml::array* array = table[key].as_array()) {
        for (const toml::node& node : *array)
            result.push_back(node.value_or(std::string()));
    }
    return result;
}

nlohmann::json instanceEntry(const toml::table& table, const char* role)
{
    return { { "id", text(table, "id") }, { "role", role }, { "failure_domain", text(table, "failure_domain") },
        { "address", text(table, "address") }, { "state", "live" }, { "versions", texts(table, "versions") },
        { "service", text(table, "service") } };
}

template <typename Use> void forEachTable(const toml::table& document, const char* key, Use use)
{
    const toml::array* array = document[key].as_array();
    if (!array)
        return;
    for (const toml::node& node : *array) {
        if (const toml::table* table = node.as_table())
            use(*table);
    }
}

// Starts every stand-in that the document lists and serves until SIGTERM.
void serve(const toml::table& document)
{
    event_loop loop;
    std::vector<std::unique_ptr<standin>> standins;
    auto instances = nlohmann::json::array();
    // Instances that are on the list and do not run, to make it long.
    for (int64_t i = 0; i < document["listed_only"].value_or<int64_t>(0); ++i)
        instances.push_back({ { "id", "listed-" + std::to_string(i) }, { "role", "engine" }, { "failure_domain", "a" },
            { "address", "127.0.0.1:1" }, { "state", "live" }, { "versions", { "bench/v1" } }, { "service", "" } });
    forEachTable(document, "engine", [&](const toml::table& table) {
        engine_speed speed;
        speed.slots = table["slots"].value_or<size_t>(16);
        speed.promptMicroseconds = table["prompt_us"].value_or<int64_t>(20);
        speed.tokenMicroseconds = table["token_us"].value_or<int64_t>(2000);
        standins.push_back(std::make_unique<engine_standin>(
            loop, parseEndpoint(text(table, "address")), texts(table, "versions"), speed));
        instances.push_back(instanceEntry(table, "engine"));
    });
    forEachTable(document, "service", [&](const toml::table& table) {
        standins.push_back(
            std::make_unique<service_standin>(loop, parseEndpoint(text(table, "address")), text(table, "id")));
        standins.back()->set("delay_ms", table["delay_ms"].value_or<int64_t>(0));
        instances.push_back(instanceEntry(table, "service"));
    });
    forEachTable(
        document, "router", [&](const toml::table& table) { instances.push_back(instanceEntry(table, "router")); });
    if (const toml::table* table = document["log"].as_table()) {
        standins.push_back(std::make_unique<log_standin>(loop, parseEndpoint(text(*table, "address"))));
        standins.back()->set("retention_ms", (*table)["retention_ms"].value_or<int64_t>(3600000));
    }
    if (const toml::table* table = document["instances"].as_table())
        standins.push_back(
            std::make_unique<instance_list_standin>(loop, parseEndpoint(text(*table, "address")), instances));
    if (const toml::table* table = document["ratings"].as_table())
        standins.push_back(std::make_unique<rating_standin>(loop, parseEndpoint(text(*table, "address"))));
    const signal_handler onTerm(loop, SIGTERM, [&] { loop.stop(); });
    const signal_handler onInt(loop, SIGINT, [&] { loop.stop(); });
    std::printf("ready\n");
    std::fflush(stdout);
    loop.run();
}

} // namespace

int main(int argc, const char** argv)
{
    char* config = nullptr;
    const poptOption options[] = {
        { "config", 'c', POPT_ARG_STRING, &config, 0, "the stand-ins to start", "FILE" },
        POPT_AUTOHELP POPT_TABLEEND,
    };
    const std::unique_ptr<poptContext_s, poptContext (*)(poptContext)> context(
        poptGetContext("standins", argc, argv, options, 0), poptFreeContext);
    if (poptGetNextOpt(context.get()) < -1 || !config) {
        std::fprintf(stderr, "standins: --config FILE is required; see --help\n");
        return 2;
    }
    try {
        serve(toml::parse_file(config));
    } catch (const std::exception& problem) {
        std::fprintf(stderr, "standins: %s\n", problem.what());
        return 1;
    }
    return 0;
}
