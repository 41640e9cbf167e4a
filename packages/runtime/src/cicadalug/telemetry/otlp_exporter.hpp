#ifndef CICADALUG_TELEMETRY_OTLP_EXPORTER_HPP
#define CICADALUG_TELEMETRY_OTLP_EXPORTER_HPP

#include <cicadalug/base/time.hpp>
#include <cicadalug/http/message.hpp>
#include <cicadalug/telemetry/span.hpp>

#include <boost/asio/io_context.hpp>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

namespace cicadalug {

/** @brief How spans are exported. */
struct otlp_settings {
    tcp_endpoint m_collector;
    std::string m_entry_vm;
    /** @brief Spans that wait for the collector; further ones are dropped. */
    std::size_t m_queue_limit{2'048};
    /** @brief Spans of one export request. */
    std::size_t m_batch_limit{256};
    /** @brief Time between two export requests. */
    milliseconds m_interval{500};
    /** @brief Time for one export request. */
    milliseconds m_timeout{2'000};
};

/**
 * @brief Sends finished spans to a collector by OTLP over HTTP with JSON. Requests never wait for it: a full queue or a
 * failed export drops spans and counts them.
 * @note Thread safety: all functions can be called concurrently.
 */
class otlp_exporter {
public:
    /** @brief State shared with the exporting coroutine. */
    class state;

    /**
     * @brief Starts the export.
     * @param context Runs the export; outlives the exporter.
     * @param settings How spans are exported.
     */
    otlp_exporter(asio::io_context& context, otlp_settings settings);

    otlp_exporter(const otlp_exporter&) = delete;
    otlp_exporter(otlp_exporter&&) = delete;
    auto operator=(const otlp_exporter&) -> otlp_exporter& = delete;
    auto operator=(otlp_exporter&&) -> otlp_exporter& = delete;

    /** @brief Ends the export. Spans that still wait are lost. */
    ~otlp_exporter();

    /**
     * @brief Queues a span, or drops it if the queue is full.
     * @param item The finished span.
     */
    auto add(span item) -> void;

    /**
     * @brief Returns the number of spans that the collector accepted.
     * @return The number since the start.
     */
    [[nodiscard]] auto exported() const noexcept -> std::uint64_t;

    /**
     * @brief Returns the number of spans that were dropped.
     * @return The number since the start.
     */
    [[nodiscard]] auto dropped() const noexcept -> std::uint64_t;

private:
    std::shared_ptr<state> m_state;
};

} // namespace cicadalug

#endif
