#pragma once

/// @file
/// @brief Values of a JSON text while it is read, within a limit of their memory.

#include <nlohmann/json.hpp>
#include <string>
#include <utility>
#include <vector>

namespace cowslipdoor {

/// @brief Builds values from the events of a parser. It counts memory before it allocates, and leaves out what does not fit.
class JsonTree {
public:
    using Json = nlohmann::json;

    /// Memory of a string beside its characters, in bytes.
    static constexpr std::size_t bytesPerString = 64;

    /// @param bytes maximum memory of the values
    explicit JsonTree(std::size_t bytes)
        : bytesLeft(bytes)
    {
    }

    /// @brief Adds a value that is neither a list nor an object.
    /// @param value the value
    /// @param bytes its memory beyond that of a number
    /// @return whether it fits, or belongs to a list or object that has been left out
    template <typename Value>
    bool add(Value&& value, std::size_t bytes)
    {
        if (this->skipped > 0)
            return true;
        if (!this->hasPlace() || !this->spend(bytesPerValue + bytes))
            return false;
        (void)this->store(std::forward<Value>(value));
        return true;
    }

    /// @brief Opens a list or an object.
    /// @param type which of the two
    /// @return whether it fits, or belongs to one that has been left out
    bool open(Json::value_t type)
    {
        if (this->skipped > 0) {
            ++this->skipped;
            return true;
        }
        if (!this->hasPlace() || !this->spend(bytesPerValue + bytesPerContainer)) {
            this->skipped = 1;
            return false;
        }
        this->containers.push_back(this->store(type));
        return true;
    }

    /// @brief Closes the innermost open list or object.
    void close()
    {
        if (this->skipped > 0)
            --this->skipped;
        else
            this->containers.pop_back();
    }

    /// @brief Begins a field of the innermost open object.
    /// @param name its name
    /// @return whether it fits, or belongs to an object that has been left out
    bool key(const std::string& name)
    {
        if (this->skipped > 0)
            return true;
        this->field = nullptr;
        if (!this->spend(bytesPerField + name.size()))
            return false;
        this->field = &(*this->containers.back())[name];
        return true;
    }

    /// @return memory that is left, in bytes
    [[nodiscard]] std::size_t left() const noexcept { return this->bytesLeft; }

    /// @return the root value; the tree is empty afterwards
    [[nodiscard]] Json take() { return std::move(this->root); }

private:
    /// Memory of a value in a list or an object, in bytes: its 16 bytes, three times while a growing list is copied.
    static constexpr std::size_t bytesPerValue = 48;

    /// Memory of an empty list or object, or of a field of an object without its name, in bytes.
    static constexpr std::size_t bytesPerContainer = 64;
    static constexpr std::size_t bytesPerField = 128;

    /// Whether the next value has a place; the value of a field that does not fit has none.
    [[nodiscard]] bool hasPlace() const
    {
        return this->containers.empty() || this->containers.back()->is_array() || this->field;
    }

    /// Stores a value where the text has it, and returns its place, which is valid until its list or object gets another.
    template <typename Value>
    Json* store(Value&& value)
    {
        if (this->containers.empty()) {
            this->root = std::forward<Value>(value);
            return &this->root;
        }
        if (this->containers.back()->is_array())
            return &this->containers.back()->emplace_back(std::forward<Value>(value));
        *this->field = std::forward<Value>(value);
        return this->field;
    }

    bool spend(std::size_t bytes) noexcept
    {
        if (bytes > this->bytesLeft)
            return false;
        this->bytesLeft -= bytes;
        return true;
    }

    std::size_t bytesLeft;
    Json root;
    /// Open lists and objects, from the root inwards, without those that have been left out.
    std::vector<Json*> containers;
    /// Place of the value that follows the last key; null if there is none.
    Json* field = nullptr;
    /// Number of open lists and objects that have been left out.
    std::size_t skipped = 0;
};

}
