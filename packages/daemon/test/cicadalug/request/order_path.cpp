#include <cicadalug/http/http_connection.hpp>
#include <cicadalug/request/order_path.hpp>

#include <boost/asio/io_context.hpp>
#include <gtest/gtest.h>

#include <atomic>
#include <map>
#include <memory>
#include <string>
#include <thread>

namespace {

using namespace cicadalug;

/** @brief In-memory claims shared by all entry VMs of a test. */
class claim_table {
public:
    std::atomic<bool> m_available{true};
    std::map<key_digest, claim> m_claims;
};

class memory_claim_store : public claim_store {
public:
    memory_claim_store(std::shared_ptr<claim_table> table, entry_vm_id self)
        : m_table{std::move(table)}, m_self{std::move(self)}
    {
    }

    [[nodiscard]] auto acquire(const key_digest key, milliseconds)
        -> asio::awaitable<result<claim_grant, claim_failure>> override
    {
        if (!m_table->m_available) {
            co_return claim_failure::unavailable;
        }
        const claim requested{key, {}, m_self, incarnation{1}, {}};
        const auto [found, added] = m_table->m_claims.emplace(key, requested);
        co_return claim_grant{found->second, added};
    }

private:
    std::shared_ptr<claim_table> m_table;
    entry_vm_id m_self;
};

/** @brief Order path of one entry VM behind an HTTP server. All entry VMs of a test run on one thread. */
struct entry_vm {
    entry_vm(asio::io_context& context, const std::shared_ptr<claim_table>& claims, const std::string& name)
        : m_id{name}, m_orders{make_journal(m_id), std::make_shared<memory_claim_store>(claims, m_id),
                               [this](http_exchange& exchange, const presented_order&) {
                                   return run(exchange);
                               }},
          m_server{context, {asio::ip::address_v4::loopback(), 0}, {}, [this](http_exchange& exchange) {
                       return handle(exchange);
                   }}
    {
    }

    [[nodiscard]] static auto make_journal(const entry_vm_id& id) -> journal_state
    {
        journal_state journal;
        journal.m_self = id;
        journal.m_incarnation = incarnation{1};
        return journal;
    }

    [[nodiscard]] auto run(http_exchange& exchange) -> asio::awaitable<request_outcome>
    {
        request_outcome outcome;
        outcome.m_kind = outcome_kind::answered;
        outcome.m_response.emplace(http::status::ok, 11U);
        outcome.m_response->body() = m_id.str() + " ran " + exchange.request().body();
        ++m_runs;
        co_return outcome;
    }

    [[nodiscard]] auto handle(http_exchange& exchange) -> asio::awaitable<void>
    {
        presented_order order;
        order.m_request.m_service = service_id{"quotes"};
        order.m_request.m_idempotency_key = std::string{exchange.request()["Idempotency-Key"]};
        order.m_deadline = std::chrono::steady_clock::now() + seconds{5};
        order.m_forwarded = exchange.request().target().starts_with("/internal/");
        auto outcome = co_await m_orders.present(exchange, order);
        co_await exchange.respond(to_response(std::move(outcome)));
    }

    [[nodiscard]] auto send(const std::string& key, const std::string& body) const -> http_response
    {
        http_request request{http::verb::post, "/", 11};
        request.set("Idempotency-Key", key);
        request.body() = body;
        auto response = http_fetch_blocking(m_server.endpoint(), std::move(request), milliseconds{5'000});
        return response ? std::move(response).assume_value() : http_response{};
    }

    entry_vm_id m_id;
    std::atomic<int> m_runs{0};
    order_path m_orders;
    http_server m_server;
};

class order_path_test : public ::testing::Test {
protected:
    order_path_test()
    {
        m_second.m_orders.apply_peers({{m_first.m_id, {}, incarnation{1}, m_first.m_server.endpoint(), true}});
    }

    ~order_path_test() override
    {
        m_context.stop();
        m_thread.join();
    }

    asio::io_context m_context;
    asio::executor_work_guard<asio::io_context::executor_type> m_work{m_context.get_executor()};
    std::shared_ptr<claim_table> m_claims{std::make_shared<claim_table>()};
    entry_vm m_first{m_context, m_claims, "first"};
    entry_vm m_second{m_context, m_claims, "second"};
    std::thread m_thread{[this] {
        m_context.run();
    }};
};

// Guards against a second run of a claimed order at another entry VM.
TEST_F(order_path_test, repeat_of_a_claimed_key_is_forwarded_to_its_owner)
{
    EXPECT_EQ(m_first.send("k1", "order").body(), "first ran order");
    const auto repeat = m_second.send("k1", "order");
    EXPECT_EQ(repeat["X-Outcome"], "answered");
    EXPECT_EQ(repeat.body(), "first ran order");
    EXPECT_EQ(m_first.m_runs + m_second.m_runs, 1);
}

// Guards against running the order, or reporting "not-run", when the entry VM that owns the claim cannot be reached.
TEST_F(order_path_test, outcome_is_unknown_when_the_owner_of_the_key_is_unknown)
{
    EXPECT_EQ(m_second.send("k1", "order")["X-Outcome"], "answered");
    EXPECT_EQ(m_first.send("k1", "order")["X-Outcome"], "unknown");
    EXPECT_EQ(m_first.m_runs, 0);
}

// Guards against running an order without a claim.
TEST_F(order_path_test, key_is_not_run_while_the_platform_is_down)
{
    m_claims->m_available = false;
    EXPECT_EQ(m_first.send("k1", "order")["X-Outcome"], "not-run");
    m_claims->m_available = true;
    EXPECT_EQ(m_first.send("k1", "order")["X-Outcome"], "answered");
    EXPECT_EQ(m_first.m_runs, 1);
}

// Guards against accepting one key for two different orders.
TEST_F(order_path_test, key_with_other_content_is_rejected)
{
    EXPECT_EQ(m_first.send("k1", "order")["X-Outcome"], "answered");
    EXPECT_EQ(m_first.send("k1", "other order").result_int(), 400U);
    EXPECT_EQ(m_first.m_runs, 1);
}

} // namespace
