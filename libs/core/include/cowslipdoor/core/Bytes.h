#pragma once

/// @file
/// @brief Immutable sequence of bytes that is cheap to copy.

#include <memory>
#include <string>
#include <string_view>
#include <utility>

namespace cowslipdoor {

/// @brief Immutable bytes; copies share one buffer, and comparison is by content.
/// @code
/// const Bytes body("request body");
/// @endcode
class Bytes {
public:
    /// @brief Creates an empty sequence.
    Bytes() = default;

    /// @param content bytes of the sequence
    explicit Bytes(std::string content)
        : content(std::make_shared<const std::string>(std::move(content)))
    {
    }

    /// @return the bytes, valid while a copy of the sequence exists
    [[nodiscard]] std::string_view view() const noexcept
    {
        return this->content ? std::string_view(*this->content) : std::string_view();
    }

    /// @return the number of bytes
    [[nodiscard]] std::size_t size() const noexcept { return this->view().size(); }

    [[nodiscard]] bool operator==(const Bytes& other) const noexcept { return this->view() == other.view(); }

private:
    std::shared_ptr<const std::string> content;
};

}
