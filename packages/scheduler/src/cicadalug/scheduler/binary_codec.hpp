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

/** @brief Encodes a value as portable bytes. */
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

/**
 * @brief Decodes a value.
 * @param bytes Bytes that encode_binary() made.
 * @param place Place for the finding.
 * @return The value, or a finding if the bytes are something else.
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
