// A byte buffer for the input or output of a connection. Grows as needed, compacts its content in place, and
// releases large memory when it becomes empty.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstring>
#include <memory>
#include <string_view>

namespace irismux {

class Buffer {
public:
    /// Returns the content. The view is valid until the next call of a non-const function.
    [[nodiscard]] std::string_view view() const { return {store_.get() + begin_, end_ - begin_}; }
    [[nodiscard]] bool empty() const { return begin_ == end_; }
    [[nodiscard]] std::size_t size() const { return end_ - begin_; }

    /// Returns room for at least `bytes` more bytes after the content. Bytes written there become part of the
    /// content with commit().
    [[nodiscard]] char* prepare(std::size_t bytes) {
        if (capacity_ - end_ >= bytes) return store_.get() + end_;
        if (begin_ > 0 && capacity_ - size() >= bytes) {
            std::memmove(store_.get(), store_.get() + begin_, size());
        } else {
            const std::size_t new_capacity = std::max(size() + bytes, capacity_ * 2);
            auto grown = std::make_unique_for_overwrite<char[]>(new_capacity);
            if (!empty()) std::memcpy(grown.get(), store_.get() + begin_, size());
            store_ = std::move(grown);
            capacity_ = new_capacity;
        }
        end_ = size();
        begin_ = 0;
        return store_.get() + end_;
    }
    /// Number of bytes that fit after the content without growing the buffer.
    [[nodiscard]] std::size_t free_capacity() const { return capacity_ - end_; }
    /// Number of bytes of memory that the buffer uses.
    [[nodiscard]] std::size_t capacity() const { return capacity_; }
    void commit(std::size_t bytes) { end_ += bytes; }

    void append(std::string_view bytes) {
        if (bytes.empty()) return;
        std::memcpy(prepare(bytes.size()), bytes.data(), bytes.size());
        commit(bytes.size());
    }
    /// Removes bytes from the end.
    void remove_suffix(std::size_t bytes) { end_ -= bytes; }
    /// Removes bytes from the front.
    void consume(std::size_t bytes) {
        begin_ += bytes;
        if (begin_ != end_) return;
        begin_ = end_ = 0;
        if (capacity_ <= max_kept_capacity) return;
        // Limits memory: otherwise each of hundreds of connections would keep room for its largest message.
        store_.reset();
        capacity_ = 0;
    }

private:
    static constexpr std::size_t max_kept_capacity = 16'384;
    std::unique_ptr<char[]> store_;
    std::size_t capacity_ = 0;
    std::size_t begin_ = 0;
    std::size_t end_ = 0;
};

}  // namespace irismux
