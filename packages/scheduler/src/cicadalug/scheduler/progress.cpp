#include <cicadalug/scheduler/progress.hpp>

#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>

#include <exception>
#include <sstream>

namespace cicadalug {

namespace {

template<typename Type>
[[nodiscard]] auto encode_binary(const Type& value) -> std::string
{
    std::ostringstream stream;
    {
        cereal::PortableBinaryOutputArchive archive{stream};
        // serialize() is one function for both directions and so takes a mutable object.
        archive(const_cast<Type&>(value));
    }
    return std::move(stream).str();
}

template<typename Type>
[[nodiscard]] auto decode_binary(const std::string_view bytes, const char* place) -> result<Type>
{
    std::istringstream stream{std::string{bytes}};
    try {
        Type value;
        cereal::PortableBinaryInputArchive archive{stream};
        archive(value);
        return value;
    }
    catch (const std::exception& exception) {
        return findings{place, std::string{"cannot be decoded: "} + exception.what()};
    }
}

} // namespace

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
