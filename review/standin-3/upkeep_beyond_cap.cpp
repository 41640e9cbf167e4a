#include "platform.hpp"

// Case: the interface to the machines fails right after it has carried out an order for upkeep, and turns calls away
// for a moment. Another machine of the wave gets its order while the first one is down, beyond the cap of the wave.

namespace {

using namespace review_3;

constexpr std::size_t machine_count{6};
constexpr std::int64_t wave{1};
constexpr std::size_t cap{1};
constexpr std::int64_t upkeep_ms{2'000};
/** @brief How long the interface turns calls away; the bench's trouble lasts 5 s where no time is given. */
constexpr std::int64_t outage_ms{700};
/** @brief The order with which the outage begins. */
constexpr std::size_t lost_order{2};

/** @brief Interface of the platform to the machines. All members but the handler need state_lock. */
class cloud {
public:
    explicit cloud(const bool trouble)
        : m_trouble{trouble}, m_server{[this](const request& received) {
              return handle(received);
          }}
    {
    }

    [[nodiscard]] auto address() const -> std::string { return m_server.address(); }
    [[nodiscard]] auto broken() const -> bool { return m_broken; }
    [[nodiscard]] auto begun() const -> std::size_t { return m_begun; }

    auto add_machine(const std::string& id, worker* on_it) -> void { m_machines[id] = {on_it, "up", 0, false, {}}; }

    /** @brief Brings the machines up whose upkeep is over. */
    auto advance() -> void
    {
        const std::lock_guard guard{state_lock};
        for (auto& [id, machine] : m_machines) {
            if (machine.m_state == "upkeep" && steady::now() >= machine.m_up_at) {
                machine.m_state = "up";
                machine.m_worker->restart();
                record.line("machine " + id + " is up again");
            }
        }
    }

private:
    struct machine_state {
        worker* m_worker{nullptr};
        std::string m_state;
        std::uint64_t m_fence{0};
        bool m_begun{false};
        steady::time_point m_up_at;
    };

    [[nodiscard]] auto handle(const request& received) -> std::unique_ptr<response>
    {
        const auto target = parse_target(std::string{received.target()});
        const auto body = json::parse(received.body(), nullptr, false);
        const std::lock_guard guard{state_lock};
        if (steady::now() < m_outage_until) {
            return std::make_unique<response>(make_response(503, json::object()));
        }
        if (target.m_path == "/cicadalug/machines") {
            return std::make_unique<response>(list());
        }
        if (target.m_path != "/cicadalug/machine-upkeep") {
            return std::make_unique<response>(make_response(409, {{"reason", "busy"}}));
        }
        const auto fence = std::strtoull(std::string{received["X-Fencing-Token"]}.c_str(), nullptr, 10);
        return upkeep(body.at("machine").get<std::string>(), fence);
    }

    [[nodiscard]] auto list() const -> response
    {
        auto machines = json::array();
        for (const auto& [id, machine] : m_machines) {
            const auto& kind = machine.m_worker->kind();
            json row{{"machine", id},
                     {"pool", kind.m_service},
                     {"state", machine.m_state},
                     {"zone", kind.m_zone},
                     {"labels", {"a", kind.m_rack}},
                     {"capacity", {{"cpu", kind.m_cpu}, {"mem_mb", kind.m_mem_mb}, {"gpu", 0}}}};
            if (machine.m_state == "up") {
                row["id"] = machine.m_worker->id();
            }
            machines.push_back(row);
        }
        return make_response(200, {{"machines", machines}});
    }

    [[nodiscard]] auto upkeep(const std::string& id, const std::uint64_t fence) -> std::unique_ptr<response>
    {
        auto& machine = m_machines.at(id);
        if (fence < machine.m_fence) {
            return std::make_unique<response>(make_response(409, {{"reason", "fence"}}));
        }
        machine.m_fence = fence;
        if (machine.m_begun) {
            record.line("order for upkeep of " + id + ", which has begun before -> 200");
            return std::make_unique<response>(make_response(200, json::object()));
        }
        const auto down = static_cast<std::size_t>(std::count_if(
            m_machines.begin(), m_machines.end(), [](const auto& each) { return each.second.m_state == "upkeep"; }));
        m_broken = m_broken || down >= cap;
        machine.m_begun = true;
        machine.m_state = "upkeep";
        machine.m_up_at = steady::now() + milliseconds{upkeep_ms};
        machine.m_worker->crash();
        ++m_begun;
        const bool is_lost = m_trouble && m_begun == lost_order;
        record.line(
            "upkeep of " + id + " begins, while " + std::to_string(down) + " machines of the wave are down" +
            (is_lost ? "; its answer is lost, and calls get 503 for " + std::to_string(outage_ms) + " ms" : ""));
        if (is_lost) {
            m_outage_until = steady::now() + milliseconds{outage_ms};
            return nullptr;
        }
        return std::make_unique<response>(make_response(200, json::object()));
    }

    const bool m_trouble;
    bool m_broken{false};
    std::size_t m_begun{0};
    std::map<std::string, machine_state> m_machines;
    steady::time_point m_outage_until;
    server m_server;
};

} // namespace

auto main(int count, char** values) -> int
{
    const auto arguments = read_arguments(count, values);
    if (!arguments.m_valid) {
        return static_cast<int>(verdict::not_run);
    }
    deployment played{arguments.m_command, arguments.m_directory};
    cloud machines{arguments.m_trouble};
    played.set_cloud(machines.address());
    auto ids = json::array();
    for (std::size_t index = 0; index < machine_count; ++index) {
        played.add_worker(
            {"w-" + std::to_string(index), "accounts", index % 2 == 0 ? "a" : "b", "r1-" + std::to_string(index / 4)},
            [](const std::string&) -> std::int64_t { return 800; });
        const std::lock_guard guard{state_lock};
        machines.add_machine("m-w-" + std::to_string(index), played.workers().back().get());
        ids.push_back("m-w-" + std::to_string(index));
    }
    const json config{{"version", 3},
                      {"routes", {queue_of("invoices", "accounts", 0)}},
                      {"services", {{{"name", "accounts"}, {"enforces_capacity", false}}}},
                      {"limits", json::object()}};
    if (!played.start(config, {"a", "a", "b"})) {
        record.line("the entry VMs were not ready in time");
        finish(played, verdict::not_run);
    }
    sleep_ms(3'000);
    {
        const std::lock_guard guard{state_lock};
        const json requested{{"wave", wave}, {"machines", ids}, {"duration_s", 26}, {"cap", cap}};
        played.registry().put("op/wave/1", requested, 0);
        record.line("op/wave/1 = " + requested.dump());
    }
    const auto begin = steady::now();
    while (ms_since(begin) < 40'000 && machines.begun() < machine_count) {
        machines.advance();
        sleep_ms(10);
    }
    const auto result = machines.begun() < machine_count ? verdict::not_run : verdict::held;
    finish(played, machines.broken() ? verdict::broken : result);
}
