#include <cicadalug/scheduler/byte_codec.hpp>
#include <cicadalug/scheduler/worker_call.hpp>

#include <cstddef>
#include <limits>
#include <utility>

namespace cicadalug {

namespace {

/** @brief First byte of all messages; changed with each incompatible change of the format. */
constexpr char format_version{1};

/** @brief Number of an additional last end that marks a report as incomplete. Deciders of the last release ignore it,
 * as workers number their ends from 1, so that the version of the format stays the same. */
constexpr auto incomplete_mark = std::numeric_limits<std::int64_t>::min();

auto write_task(byte_writer& bytes, const task_ref& task) -> void
{
    bytes.text(task.m_job.view());
    bytes.integer(task.m_occurrence);
    bytes.integer(task.m_step);
    bytes.integer(task.m_index);
}

[[nodiscard]] auto read_task(byte_reader& bytes) -> task_ref
{
    task_ref task;
    task.m_job = job_id{bytes.view()};
    task.m_occurrence = bytes.integer();
    task.m_step = bytes.integer();
    task.m_index = bytes.integer();
    return task;
}

auto write_call(byte_writer& bytes, const worker_call& call) -> void
{
    bytes.number(call.m_number.value());
    bytes.number(static_cast<std::uint64_t>(call.m_kind));
    bytes.text(call.m_worker.str());
    bytes.text(call.m_address);
    bytes.number(call.m_token.value());
    bytes.integer(call.m_timeout.count());
    bytes.integer(call.m_lease_until_ms);
    if (call.m_kind == worker_call_kind::renew) {
        bytes.integer(call.m_acknowledged_end);
        bytes.integer(call.m_wait.count());
        return;
    }
    write_task(bytes, call.m_task);
    bytes.integer(call.m_run.value());
    bytes.text(call.m_text);
    bytes.text(call.m_checkpoint);
    bytes.text(call.m_permit);
    bytes.integer(call.m_speed_percent);
}

[[nodiscard]] auto read_call(byte_reader& bytes) -> worker_call
{
    worker_call call;
    call.m_number = call_number{bytes.number()};
    call.m_kind = bytes.enumerator(worker_call_kind::set_speed);
    call.m_worker = worker_id{bytes.text()};
    call.m_address = bytes.text();
    call.m_token = fencing_token{bytes.number()};
    call.m_timeout = milliseconds{bytes.integer()};
    call.m_lease_until_ms = bytes.integer();
    if (call.m_kind == worker_call_kind::renew) {
        call.m_acknowledged_end = bytes.integer();
        call.m_wait = milliseconds{bytes.integer()};
        return call;
    }
    call.m_task = read_task(bytes);
    call.m_run = run_number{bytes.integer()};
    call.m_text = bytes.text();
    call.m_checkpoint = bytes.text();
    call.m_permit = bytes.text();
    call.m_speed_percent = bytes.integer();
    return call;
}

auto write_end(byte_writer& bytes, const ended_report& ended) -> void
{
    bytes.integer(ended.m_number);
    write_task(bytes, ended.m_task);
    bytes.integer(ended.m_run.value());
    bytes.number(static_cast<std::uint64_t>(ended.m_outcome));
    bytes.text(ended.m_checkpoint);
}

auto write_result(byte_writer& bytes, const worker_call_result& result) -> void
{
    bytes.number(result.m_number.value());
    bytes.number(static_cast<std::uint64_t>(result.m_result));
    const auto& report = result.m_report;
    bytes.integer(report.m_incarnation_start_unix_ms);
    bytes.integer(report.m_clock_ms);
    bytes.number(report.m_running.size());
    for (const auto& running : report.m_running) {
        write_task(bytes, running.m_task);
        bytes.integer(running.m_run.value());
        bytes.text(running.m_checkpoint);
        bytes.integer(running.m_percent);
        bytes.integer(running.m_usage);
    }
    bytes.number(report.m_ended.size() + (report.m_incomplete ? 1 : 0));
    for (const auto& ended : report.m_ended) {
        write_end(bytes, ended);
    }
    if (report.m_incomplete) {
        ended_report mark;
        mark.m_number = incomplete_mark;
        write_end(bytes, mark);
    }
}

[[nodiscard]] auto read_result(byte_reader& bytes) -> worker_call_result
{
    worker_call_result read;
    read.m_number = call_number{bytes.number()};
    read.m_result = bytes.enumerator(command_result::withdrawn);
    auto& report = read.m_report;
    report.m_incarnation_start_unix_ms = bytes.integer();
    report.m_clock_ms = bytes.integer();
    report.m_running.resize(bytes.count());
    for (auto& running : report.m_running) {
        running.m_task = read_task(bytes);
        running.m_run = run_number{bytes.integer()};
        running.m_checkpoint = bytes.text();
        running.m_percent = bytes.integer();
        running.m_usage = bytes.integer();
    }
    report.m_ended.resize(bytes.count());
    for (auto& ended : report.m_ended) {
        ended.m_number = bytes.integer();
        ended.m_task = read_task(bytes);
        ended.m_run = run_number{bytes.integer()};
        ended.m_outcome = bytes.enumerator(run_end::gang_timeout);
        ended.m_checkpoint = bytes.text();
    }
    report.m_incomplete = !report.m_ended.empty() && report.m_ended.back().m_number == incomplete_mark;
    if (report.m_incomplete) {
        report.m_ended.pop_back();
    }
    return read;
}

template<typename Element, typename Write>
[[nodiscard]] auto encode_list(const std::vector<Element>& list, const Write& write) -> std::string
{
    byte_writer bytes{format_version};
    bytes.number(list.size());
    for (const auto& element : list) {
        write(bytes, element);
    }
    return bytes.take();
}

template<typename Element, typename Read>
[[nodiscard]] auto decode_list(const std::string_view encoded, const char* place, const Read& read)
    -> result<std::vector<Element>>
{
    byte_reader bytes{encoded, format_version};
    std::vector<Element> list(bytes.count());
    for (auto& element : list) {
        element = read(bytes);
    }
    if (!bytes.is_complete()) {
        return findings{place, "cannot be decoded, " + std::to_string(encoded.size()) + " bytes"};
    }
    return list;
}

} // namespace

auto encode(const std::vector<worker_call>& calls) -> std::string
{
    return encode_list(calls, write_call);
}

auto encode(const std::vector<worker_call_result>& results) -> std::string
{
    return encode_list(results, write_result);
}

auto decode_worker_calls(const std::string_view bytes) -> result<std::vector<worker_call>>
{
    return decode_list<worker_call>(bytes, "worker calls", read_call);
}

auto decode_worker_call_results(const std::string_view bytes) -> result<std::vector<worker_call_result>>
{
    return decode_list<worker_call_result>(bytes, "worker call results", read_result);
}

} // namespace cicadalug
