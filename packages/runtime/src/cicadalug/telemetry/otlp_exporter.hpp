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

/** @brief Settings of the span export. */
struct otlp_settings {
    tcp_endpoint m_collector;
    std::string m_entry_vm;
    /** @brief Maximum number of queued spans; further ones are dropped. */
    std::size_t m_queue_limit{2'048};
    /** @brief Maximum number of spans in one export request. */
    std::size_t m_batch_limit{256};
    /** @brief Interval between exports; each export sends the queue in batches. */
    milliseconds m_interval{500};
    /** @brief Timeout of one export request. */
    milliseconds m_timeout{2'000};
};

/**
 * @brief Exports finished spans to a collector as OTLP over HTTP with JSON. Requests never wait for the export: if the
 * queue is full or an export fails, spans are dropped and counted.
 * @note Thread safety: all functions can be called concurrently.
 */
class otlp_exporter {
public:
    /** @brief State shared with the exporting coroutine. */
    class state;

    /**
     * @brief Starts the export.
     * @param context Context that runs the export; outlives the exporter.
     * @param settings Settings of the export.
     */
    otlp_exporter(asio::io_context& context, otlp_settings settings);

    otlp_exporter(const otlp_exporter&) = delete;
    otlp_exporter(otlp_exporter&&) = delete;
    auto operator=(const otlp_exporter&) -> otlp_exporter& = delete;
    auto operator=(otlp_exporter&&) -> otlp_exporter& = delete;

    /** @brief Stops the export. Spans that are still queued are lost. */
    ~otlp_exporter();

    /**
     * @brief Queues a span, or drops it if the queue is full.
     * @param item Finished span.
     */
    auto add(span item) -> void;

    /**
     * @brief Returns the number of spans that the collector accepted.
     * @return Number of spans since construction.
     */
    [[nodiscard]] auto exported() const noexcept -> std::uint64_t;

    /**
     * @brief Returns the number of spans that were dropped.
     * @return Number of spans since construction.
     */
    [[nodiscard]] auto dropped() const noexcept -> std::uint64_t;

private:
    std::shared_ptr<state> m_state;
};

} // namespace cicadalug

#endif
