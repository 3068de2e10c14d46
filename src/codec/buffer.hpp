// The bytes of one connection: grows as needed, is compacted in place, and gives memory back when it runs
// empty.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstring>
#include <memory>
#include <string_view>

namespace irismux {

class Buffer {
public:
    /// Valid until the next call that is not const.
    [[nodiscard]] std::string_view view() const { return {store_.get() + begin_, end_ - begin_}; }
    [[nodiscard]] bool empty() const { return begin_ == end_; }
    [[nodiscard]] std::size_t size() const { return end_ - begin_; }

    /// Room for at least `bytes` more behind the present ones. What is written there counts after commit().
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
    /// Bytes that fit behind the present ones without growing.
    [[nodiscard]] std::size_t free_capacity() const { return capacity_ - end_; }
    void commit(std::size_t bytes) { end_ += bytes; }

    void append(std::string_view bytes) {
        if (bytes.empty()) return;
        std::memcpy(prepare(bytes.size()), bytes.data(), bytes.size());
        commit(bytes.size());
    }
    /// Removes the last bytes.
    void remove_suffix(std::size_t bytes) { end_ -= bytes; }
    /// Removes the first bytes.
    void consume(std::size_t bytes) {
        begin_ += bytes;
        if (begin_ != end_) return;
        begin_ = end_ = 0;
        if (capacity_ <= max_kept_capacity) return;
        // Guards the memory: hundreds of connections would each keep the largest message that they carried.
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
