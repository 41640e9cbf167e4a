#ifndef CICADALUG_SCHEDULER_BINARY_CODEC_HPP
#define CICADALUG_SCHEDULER_BINARY_CODEC_HPP

#include <cicadalug/base/result.hpp>

#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>

#include <exception>
#include <sstream>
#include <string>
#include <string_view>
#include <utility>

namespace cicadalug {

/** @brief Serializes a value with cereal's portable binary archive. */
template<typename Type>
[[nodiscard]] auto encode_binary(const Type& value) -> std::string
{
    std::ostringstream stream;
    {
        cereal::PortableBinaryOutputArchive archive{stream};
        // One serialize() serves both reading and writing and therefore takes a mutable object.
        archive(const_cast<Type&>(value));
    }
    return std::move(stream).str();
}

/**
 * @brief Deserializes a value.
 * @param bytes Bytes written by encode_binary().
 * @param place Location to report in the finding.
 * @return The value, or a finding if the bytes cannot be decoded.
 */
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

} // namespace cicadalug

#endif
