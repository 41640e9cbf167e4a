#include <cicadalug/scheduler/binary_codec.hpp>
#include <cicadalug/scheduler/compact_progress.hpp>
#include <cicadalug/scheduler/progress.hpp>

#include <exception>
#include <sstream>
#include <string>
#include <utility>

namespace cicadalug {

auto encode(const job_record& record) -> std::string
{
    return encode_binary(record);
}

auto encode(const job_progress& progress) -> std::string
{
    std::ostringstream stream;
    {
        cereal::PortableBinaryOutputArchive archive{stream};
        // One serialize() serves both reading and writing and therefore takes a mutable object.
        auto& written = const_cast<job_progress&>(progress);
        archive(written);
        if (!written.m_crashes.empty() || !written.m_places.empty()) {
            archive(written.m_crashes);
        }
        if (!written.m_places.empty()) {
            archive(written.m_places);
        }
    }
    return std::move(stream).str();
}

auto decode_job_record(const std::string_view bytes) -> result<job_record>
{
    return decode_binary<job_record>(bytes, "job record");
}

auto decode_job_progress(const std::string_view bytes) -> result<job_progress>
{
    if (is_compact(bytes)) {
        return decode_compact_progress(bytes);
    }
    std::istringstream stream{std::string{bytes}};
    try {
        job_progress progress;
        cereal::PortableBinaryInputArchive archive{stream};
        archive(progress);
        if (stream.peek() != std::istringstream::traits_type::eof()) {
            archive(progress.m_crashes);
        }
        if (stream.peek() != std::istringstream::traits_type::eof()) {
            archive(progress.m_places);
        }
        return progress;
    }
    catch (const std::exception& exception) {
        return findings{"job progress", std::string{"cannot be decoded: "} + exception.what()};
    }
}

} // namespace cicadalug
