#include <benchmark/benchmark.h>
#include <policy/cheapest_sufficient_policy.h>

namespace pollen {

namespace {

constexpr size_t versionCount = 6;

// Versions of one model, all allowed, with the servers spread evenly over them.
fleet_tables makeTables(size_t serverCount)
{
    fleet_document document;
    document.classes = { { class_name("quick"), 0, 0.7, std::chrono::seconds(5) } };
    for (size_t i = 0; i < versionCount; ++i) {
        version_entry entry;
        entry.ref = { model_name("model"), version_name("v" + std::to_string(i)) };
        entry.inputCost = entry.outputCost = static_cast<double>(i + 1);
        entry.promptTokensPerSecond = entry.outputTokensPerSecond = 1000;
        entry.quality = { { class_name("quick"), 0.9 } };
        document.versions.push_back(entry);
    }
    team_entry team;
    team.name = team_name("team");
    team.allowed = { { "*" } };
    document.teams = { team };
    std::vector<listed_server> servers(serverCount);
    for (size_t i = 0; i < serverCount; ++i) {
        servers[i].entry.id = instance_id(std::to_string(i));
        servers[i].entry.versions = { document.versions[i % versionCount].ref };
    }
    fleet_tables tables;
    tables.replaceServers(servers);
    tables.install(std::make_shared<const fleet_document>(std::move(document)));
    return tables;
}

void decide(benchmark::State& state)
{
    const fleet_tables tables = makeTables(static_cast<size_t>(state.range(0)));
    const cheapest_sufficient_policy policy;
    random_source random(1);
    route_request request;
    request.promptTokens = 100;
    request.outputTokens = 100;
    request.timeLeft = std::chrono::seconds(5);
    for (auto _ : state)
        benchmark::DoNotOptimize(policy.decide(request, tables, time_point {}, random));
}

BENCHMARK(decide)->Arg(9)->Arg(40)->Arg(400)->Arg(3800);

} // namespace

} // namespace pollen
