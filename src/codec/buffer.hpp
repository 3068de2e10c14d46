// Bytes of one connection: grows as it needs, is compacted in place, gives memory back when it runs empty.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstring>
#include <memory>
#include <string_view>

namespace irismux {

class Buffer {
public:
    std::string_view view() const { return {store_.get() + head_, tail_ - head_}; }
    bool empty() const { return head_ == tail_; }
    std::size_t size() const { return tail_ - head_; }

    // Room for so many more bytes behind what is held.
    char* prepare(std::size_t n) {
        if (capacity_ - tail_ >= n) return store_.get() + tail_;
        if (head_ > 0 && capacity_ - size() >= n) {
            std::memmove(store_.get(), store_.get() + head_, size());
        } else {
            const std::size_t more = std::max(size() + n, capacity_ * 2);
            auto grown = std::make_unique_for_overwrite<char[]>(more);
            if (!empty()) std::memcpy(grown.get(), store_.get() + head_, size());
            store_ = std::move(grown);
            capacity_ = more;
        }
        tail_ = size();
        head_ = 0;
        return store_.get() + tail_;
    }
    std::size_t free_room() const { return capacity_ - tail_; }
    void commit(std::size_t n) { tail_ += n; }

    void append(std::string_view bytes) {
        if (bytes.empty()) return;
        std::memcpy(prepare(bytes.size()), bytes.data(), bytes.size());
        commit(bytes.size());
    }
    // Takes back the last bytes appended.
    void consume(std::size_t n) { tail_ -= n; }
    void consumed(std::size_t n) {
        head_ += n;
        if (head_ != tail_) return;
        head_ = tail_ = 0;
        if (capacity_ <= capacity) return;
        // Hundreds of connections would each keep the largest message that they ever carried.
        store_.reset();
        capacity_ = 0;
    }

private:
    static constexpr std::size_t capacity = 16 * 1024;
    std::unique_ptr<char[]> store_;
    std::size_t capacity_ = 0, head_ = 0, tail_ = 0;
};

}  // namespace irismux
