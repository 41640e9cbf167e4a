#include <cicadalug/async/monotonic_now.hpp>
#include <cicadalug/async/spawn.hpp>
#include <cicadalug/entry/relay_paths.hpp>
#include <cicadalug/entry/relay_sessions.hpp>
#include <cicadalug/http/http_pool.hpp>
#include <cicadalug/http/http_server.hpp>

#include <benchmark/benchmark.h>
#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <ctime>
#include <memory>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace cicadalug {

namespace {

constexpr fencing_token token{1};
constexpr int relays{14};
constexpr milliseconds timeout{5'000};

/** @brief Returns the processor time that the calling thread has used, in the kernel as well. */
[[nodiscard]] auto thread_cpu_seconds() -> double
{
    std::timespec time{};
    ::clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) / 1e9;
}

/** @brief Decider's side: workers whose leases are renewed again and again through relays. */
class decider_side {
public:
    decider_side(const std::int64_t calls, const std::int64_t workers) : m_calls{calls}, m_workers{workers}
    {
        m_sessions->start();
        m_sessions->set_admission(relay_admission::open);
    }

    [[nodiscard]] auto endpoint() const -> tcp_endpoint { return m_server.endpoint(); }

    /** @brief Runs all calls. @return The processor time used. */
    [[nodiscard]] auto run() -> double
    {
        while (m_sessions->live_relays() < static_cast<std::size_t>(relays)) {
            m_context.run_one();
        }
        const auto begin = thread_cpu_seconds();
        for (std::int64_t worker = 0; worker < m_workers; ++worker) {
            spawn(m_context.get_executor(), renew(), "renew");
        }
        while (m_ended < m_calls) {
            m_context.run_one();
        }
        const auto used = thread_cpu_seconds() - begin;
        m_sessions->stop();
        m_context.run_for(milliseconds{20});
        return used;
    }

private:
    [[nodiscard]] auto renew() -> asio::awaitable<void>
    {
        while (m_ended < m_calls) {
            worker_call call;
            call.m_worker = worker_id{"worker-0123456789"};
            call.m_address = "10.11.12.13:14000";
            call.m_token = token;
            call.m_timeout = timeout;
            const auto result = co_await m_sessions->perform(std::move(call), availability_zone_id{"north"});
            benchmark::DoNotOptimize(result);
            ++m_ended;
        }
    }

    [[nodiscard]] auto handle(http_exchange& exchange) -> asio::awaitable<void>
    {
        const bool handled = co_await m_sessions->handle(exchange);
        benchmark::DoNotOptimize(handled);
    }

    std::int64_t m_calls;
    std::int64_t m_workers;
    std::int64_t m_ended{0};
    asio::io_context m_context{1};
    std::shared_ptr<relay_sessions> m_sessions{std::make_shared<relay_sessions>(m_context.get_executor(), token)};
    http_server m_server{m_context,
                         {asio::ip::address_v4::loopback(), 0},
                         {},
                         [this](http_exchange& exchange) { return handle(exchange); },
                         server_threads::single};
};

/** @brief Relays that answer each call at once, on a thread of their own. */
class relay_side {
public:
    explicit relay_side(const tcp_endpoint& decider) : m_decider{decider}
    {
        for (int relay = 0; relay < relays; ++relay) {
            spawn(m_context.get_executor(), run("front-" + std::to_string(relay), "zone-" + std::to_string(relay)),
                  "relay");
        }
        m_thread = std::thread{[this] {
            m_context.run();
        }};
    }

    relay_side(const relay_side&) = delete;
    relay_side(relay_side&&) = delete;
    auto operator=(const relay_side&) -> relay_side& = delete;
    auto operator=(relay_side&&) -> relay_side& = delete;

    ~relay_side()
    {
        m_context.stop();
        m_thread.join();
    }

private:
    [[nodiscard]] static auto make_request(const std::string_view path, const std::string& name,
                                           const std::string& zone) -> http_request
    {
        http_request request{http::verb::post, std::string{path} + name, 11};
        request.set(http::field::host, "decider");
        request.set(std::string{internal::relay_zone_header}, zone);
        request.set(std::string{internal::relay_token_header}, std::to_string(token.value()));
        return request;
    }

    [[nodiscard]] auto return_results(const std::shared_ptr<http_pool> pool, http_request request)
        -> asio::awaitable<void>
    {
        const auto response = co_await pool->exchange(std::move(request), timeout);
        benchmark::DoNotOptimize(response);
    }

    [[nodiscard]] auto run(const std::string name, const std::string zone) -> asio::awaitable<void>
    {
        const auto pool = std::make_shared<http_pool>(m_context.get_executor(), m_decider);
        for (;;) {
            auto poll = make_request(internal::relay_poll_path, name, zone);
            const auto response = co_await pool->exchange(std::move(poll), timeout);
            if (!response || response.assume_value().body().empty()) {
                continue;
            }
            const auto calls = decode_worker_calls(response.assume_value().body());
            std::vector<worker_call_result> results;
            for (const auto& call : calls.assume_value()) {
                worker_call_result result{call.m_number, command_result::accepted, {}};
                result.m_report.m_running.resize(4);
                result.m_report.m_ended.resize(1);
                results.push_back(std::move(result));
            }
            auto message = make_request(internal::relay_results_path, name, zone);
            message.body() = encode(results);
            spawn(m_context.get_executor(), return_results(pool, std::move(message)), "return_results");
        }
    }

    tcp_endpoint m_decider;
    asio::io_context m_context{1};
    std::thread m_thread;
};

/** @brief Processor time of the decider's thread for a call through a relay, the messages included. The number of
 * workers determines how many calls share a message. */
auto relayed_call(benchmark::State& bench) -> void
{
    const auto calls = bench.range(0) * 50;
    for (auto _ : bench) {
        decider_side decider{calls, bench.range(0)};
        const relay_side relay{decider.endpoint()};
        bench.SetIterationTime(decider.run());
    }
    bench.SetItemsProcessed(bench.iterations() * calls);
}

BENCHMARK(relayed_call)->Arg(28)->Arg(140)->Arg(1'100)->UseManualTime()->Iterations(3);

} // namespace

} // namespace cicadalug

BENCHMARK_MAIN();
