#include <cicadalug/scheduler/binary_codec.hpp>
#include <cicadalug/scheduler/progress.hpp>

namespace cicadalug {

auto encode(const job_record& record) -> std::string
{
    return encode_binary(record);
}

auto encode(const job_progress& progress) -> std::string
{
    return encode_binary(progress);
}

auto decode_job_record(const std::string_view bytes) -> result<job_record>
{
    return decode_binary<job_record>(bytes, "job record");
}

auto decode_job_progress(const std::string_view bytes) -> result<job_progress>
{
    return decode_binary<job_progress>(bytes, "job progress");
}

} // namespace cicadalug
